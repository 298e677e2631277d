#include "htmlreport.h"

#include "loadseries.h"
#include "quantiles.h"
#include "svgchart.h"

#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace carobjunction::bench
{

namespace
{

constexpr std::size_t LoadSeriesIntervals = 120;
constexpr std::size_t TailCurvePoints = 200;

constexpr const char *StyleSheet = R"(<style>
:root{color-scheme:light dark;--fg:#1c1c1c;--bg:#fff;--grid:#ddd;--good:#00704a;--bad:#b3261e}
@media(prefers-color-scheme:dark){:root{--fg:#e6e6e6;--bg:#161616;--grid:#3a3a3a;--good:#5fd3a4;--bad:#ff8a80}}
body{font:14px/1.45 system-ui,sans-serif;color:var(--fg);background:var(--bg);max-width:1200px;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:.6em 0;display:block;overflow-x:auto}
th,td{padding:.2em .7em;border-bottom:1px solid var(--grid);text-align:right;white-space:nowrap}
th:first-child,td:first-child{text-align:left}
.met{color:var(--good)}.missed{color:var(--bad);font-weight:600}
svg text{font-size:10px;fill:var(--fg)}svg .title{font-size:12px;font-weight:600}svg .grid{stroke:var(--grid);stroke-width:1}
svg{max-width:100%;height:auto}
.charts{display:flex;flex-wrap:wrap;gap:1em}.legend span{margin-right:1em;font-size:12px}
.legend span::before{content:'';display:inline-block;width:14px;height:3px;margin-right:5px;vertical-align:middle;background:var(--c)}
</style>)";

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << std::setprecision(4) << value;
    return text.str();
}

/** @return complementary cumulative distribution of the latency: the share of calls that are slower than each latency */
SvgChart::Line latencyTailLine(const Cell &cell, Duration warmUp)
{
    std::vector<double> latencies;
    for (const auto &round : cell.rounds) {
        for (const Sample &sample : round) {
            if (sample.plan.at >= warmUp && sample.isSuccessful()) {
                latencies.push_back(sample.latencyMs());
            }
        }
    }
    const Quantiles quantiles(std::move(latencies));
    const auto count = static_cast<double>(quantiles.sorted().size());
    SvgChart::Line line { cell.variant, {} };
    for (std::size_t i = 0; i <= TailCurvePoints && count > 0; ++i) {
        const double slowerShare = std::pow(10.0, -4.0 * static_cast<double>(i) / TailCurvePoints);
        if (slowerShare * count >= 1) {
            line.points.emplace_back(quantiles.at(1 - slowerShare), slowerShare);
        }
    }
    return line;
}

void writeCheckResults(std::ostringstream &html, const Results &results)
{
    html << "<h2>Performance targets</h2><table><tr><th>Target</th><th>Scenario</th><th>Load</th><th>Measured</th><th>At most</th><th>Verdict</th></tr>";
    for (const CheckResult &checkResult : results.checkResults) {
        const char *verdict = !checkResult.isMeasurable ? "not measured" : checkResult.isMet() ? "met" : "missed";
        html << "<tr><td>" << SvgChart::escape(checkResult.name) << "</td><td>" << SvgChart::escape(checkResult.scenario) << "</td><td>"
             << SvgChart::escape(checkResult.load) << "</td><td>" << (checkResult.isMeasurable ? formatNumber(checkResult.measured) : "-") << "</td><td>"
             << formatNumber(checkResult.atMost) << "</td><td class='" << (checkResult.isMet() ? "met" : "missed") << "'>" << verdict << "</td></tr>";
    }
    html << "</table>";
}

void writeFigures(std::ostringstream &html, const std::vector<const Cell *> &cells)
{
    html << "<table><tr><th>Figure</th>";
    std::map<std::string, bool> names;
    for (const Cell *cell : cells) {
        html << "<th>" << SvgChart::escape(cell->variant) << "</th>";
        for (const auto &[name, value] : cell->figures) {
            names[name] = names[name] || value != 0;
        }
    }
    html << "</tr>";
    for (const auto &[name, hasNonZeroValue] : names) {
        if (!hasNonZeroValue) {
            continue;
        }
        html << "<tr><td>" << SvgChart::escape(name) << "</td>";
        for (const Cell *cell : cells) {
            const auto found = cell->figures.find(name);
            html << "<td>" << (found == cell->figures.end() ? "-" : formatNumber(found->second)) << "</td>";
        }
        html << "</tr>";
    }
    html << "</table><p>Figures that are 0 for all variants are omitted.</p>";
}

void writeCharts(std::ostringstream &html, const std::vector<const Cell *> &cells, Duration warmUp)
{
    std::vector<SvgChart::Line> tailLines;
    tailLines.reserve(cells.size());
    for (const Cell *cell : cells) {
        tailLines.push_back(latencyTailLine(*cell, warmUp));
    }
    html << "<div class='charts'><div>"
         << SvgChart::draw({ "Latency of successful responses",
                             "latency in ms",
                             "share of slower calls",
                             SvgChart::Scale::Logarithmic,
                             SvgChart::Scale::Logarithmic,
                             760,
                             380 },
                           tailLines)
         << "</div>";
    for (const Cell *cell : cells) {
        if (cell->rounds.empty()) {
            continue;
        }
        const LoadSeries series = LoadSeries::of(cell->rounds.front(), LoadSeriesIntervals);
        std::vector<SvgChart::Line> lines;
        for (const auto &[target, values] : series.targets) {
            SvgChart::Line line { "target " + std::to_string(target), {} };
            for (std::size_t i = 0; i < values.size(); ++i) {
                line.points.emplace_back(static_cast<double>(i) * series.intervalSeconds, values[i]);
            }
            lines.push_back(std::move(line));
        }
        html << "<div>" << SvgChart::draw({ cell->variant + ": load per target, first round", "time in s", "calls in progress", {}, {}, 560, 260 }, lines)
             << "</div>";
    }
    html << "</div>";
}

} // namespace

std::string HtmlReport::write(const Results &results)
{
    const Experiment &experiment = *results.experiment;
    std::ostringstream html;
    html << "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>" << SvgChart::escape(experiment.name) << "</title>" << StyleSheet
         << "</head><body><h1>" << SvgChart::escape(experiment.name) << "</h1><p>" << SvgChart::escape(experiment.description) << "</p><p>Command: <code>"
         << SvgChart::escape(results.command) << "</code><br>Machine: " << SvgChart::escape(results.machine) << "<br>Started: " << results.startedAt
         << "<br>Seed: " << experiment.seed << ", rounds: " << experiment.rounds << "<br>" << SvgChart::escape(results.remark)
         << "</p><p>Quantiles are exact (nearest rank over all samples). Latency is measured from the planned time of a call to its response. In "
            "<code>p..-ms</code> "
            "a call without a successful response counts with at least its deadline; <code>p..-good-ms</code> covers successful responses only. "
            "<code>lag-p99-ms</code> is the delay with which the "
            "bench "
            "itself sent its calls, at the 99th percentile.</p>";
    for (const std::string &failure : results.failures) {
        html << "<p class='missed'>" << SvgChart::escape(failure) << "</p>";
    }
    writeCheckResults(html, results);
    for (const Scenario &scenario : experiment.scenarios) {
        for (const LoadLevel &load : experiment.loads) {
            std::vector<const Cell *> cells;
            for (const Cell &cell : results.cells) {
                if (cell.scenario == scenario.name && cell.load == load.name) {
                    cells.push_back(&cell);
                }
            }
            if (!cells.empty()) {
                html << "<h2>" << SvgChart::escape(scenario.name) << ", load " << SvgChart::escape(load.name) << "</h2>";
                writeCharts(html, cells, experiment.warmUp);
                writeFigures(html, cells);
            }
        }
    }
    html << "</body></html>\n";
    return html.str();
}

} // namespace carobjunction::bench
