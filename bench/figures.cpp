#include "figures.h"

#include "quantiles.h"

#include <algorithm>
#include <set>

namespace carobjunction::bench
{

namespace
{

void addQuantiles(Figures &figures, const std::string &suffix, std::vector<double> latencies)
{
    const Quantiles quantiles(std::move(latencies));
    figures["p50" + suffix] = quantiles.at(0.5);
    figures["p90" + suffix] = quantiles.at(0.9);
    figures["p99" + suffix] = quantiles.at(0.99);
    figures["p999" + suffix] = quantiles.at(0.999);
    figures["max" + suffix] = quantiles.at(1);
}

double counterIncrease(const std::map<std::string, double> &before, const std::map<std::string, double> &after, const std::string &name)
{
    const auto first = before.find(name);
    const auto last = after.find(name);
    const double start = first == before.end() ? 0 : first->second;
    // If the daemon was replaced by a new process, its counters restarted at 0, so the last value is the whole increase.
    return last == after.end() ? 0 : std::max(0.0, last->second - (last->second < start ? 0 : start));
}

/** Adds the mean and the maximum of a value over all daemons. */
void addMeanAndMaximum(Figures &figures, const std::string &name, const std::vector<double> &values)
{
    double sum = 0;
    double maximum = 0;
    for (const double value : values) {
        sum += value;
        maximum = std::max(maximum, value);
    }
    figures[name] = values.empty() ? 0 : sum / static_cast<double>(values.size());
    figures[name + "-max"] = maximum;
}

/** @return names of the figures that are summed over the rounds instead of averaged */
const std::set<std::string> &summedFigureNames()
{
    static const std::set<std::string> names { "calls",      "lost",    "doubled",       "false-not-run", "ran-without-run",
                                               "unanswered", "unknown", "wrong-answers", "failed-stops",  "failed-actions" };
    return names;
}

} // namespace

Figures FigureCalculator::callFigures(const std::vector<Sample> &samples) const
{
    const double deadlineMs = std::chrono::duration<double, std::milli>(m_experiment.deadline).count();
    std::vector<double> successfulLatencies;
    std::vector<double> allLatencies;
    std::vector<double> lags;
    Figures figures { { "wrong-answers", 0 }, { "unanswered", 0 }, { "unknown", 0 }, { "not-run-share", 0 }, { "resent-share", 0 } };
    for (const Sample &sample : samples) {
        if (sample.plan.at < m_experiment.warmUp || sample.sendCount == 0) {
            continue;
        }
        if (sample.isSuccessful()) {
            successfulLatencies.push_back(sample.latencyMs());
        }
        // A call without a successful response counts with at least its deadline, so that fast errors don't improve the distribution.
        allLatencies.push_back(sample.isSuccessful() ? sample.latencyMs() : std::max(deadlineMs, sample.latencyMs()));
        lags.push_back(std::chrono::duration<double, std::milli>(sample.sent - sample.plan.at).count());
        figures["wrong-answers"] += sample.hasWrongAnswer ? 1 : 0;
        figures["unanswered"] += sample.status == 0 ? 1 : 0;
        figures["unknown"] += sample.outcome == "unknown" ? 1 : 0;
        figures["not-run-share"] += sample.outcome == "not-run" ? 1 : 0;
        figures["resent-share"] += sample.sendCount > 1 ? 1 : 0;
    }
    const double count = std::max(1.0, static_cast<double>(allLatencies.size()));
    figures["calls"] = static_cast<double>(allLatencies.size());
    figures["calls-per-s"] = static_cast<double>(allLatencies.size()) / std::chrono::duration<double>(m_experiment.length).count();
    figures["failed-share"] = static_cast<double>(allLatencies.size() - successfulLatencies.size()) / count;
    figures["not-run-share"] /= count;
    figures["resent-share"] /= count;
    figures["lag-p99-ms"] = Quantiles(std::move(lags)).at(0.99);
    addQuantiles(figures, "-good-ms", std::move(successfulLatencies));
    addQuantiles(figures, "-ms", std::move(allLatencies));
    return figures;
}

Figures FigureCalculator::outcomeFigures(const std::vector<Sample> &samples, const std::vector<std::pair<std::size_t, RunRecord>> &runs) const
{
    std::vector<std::size_t> runCounts(samples.size());
    std::set<std::string> requestIds;
    for (const auto &[target, run] : runs) {
        if (run.call < runCounts.size()) {
            ++runCounts[run.call];
        }
        requestIds.insert(run.requestId);
    }
    Figures figures { { "lost", 0 }, { "doubled", 0 }, { "false-not-run", 0 }, { "ran-without-run", 0 } };
    for (std::size_t i = 0; i < samples.size(); ++i) {
        const Sample &sample = samples[i];
        if (sample.sendCount == 0) {
            continue;
        }
        const bool idempotent = m_experiment.calls[sample.plan.kind].idempotent;
        const bool lacksLoggedRun = sample.isSuccessful() && runCounts[i] == 0;
        // After a resend, the outcome "not-run" refers to the last attempt only, which is identified by its request ID.
        const bool hasRun = sample.sendCount == 1 ? runCounts[i] > 0 : requestIds.count(sample.requestId) > 0;
        figures["ran-without-run"] += lacksLoggedRun ? 1 : 0;
        figures["false-not-run"] += sample.outcome == "not-run" && hasRun ? 1 : 0;
        figures["doubled"] += !idempotent && runCounts[i] > 1 ? 1 : 0;
        figures["lost"] += lacksLoggedRun || (!idempotent && (sample.status == 0 || sample.outcome == "unknown")) ? 1 : 0;
    }
    figures["runs-per-call"] = samples.empty() ? 0 : static_cast<double>(runs.size()) / static_cast<double>(samples.size());
    return figures;
}

Figures FigureCalculator::daemonFigures(const DaemonSnapshot &before, const DaemonSnapshot &after)
{
    const double seconds = std::max(1e-3, std::chrono::duration<double>(after.at - before.at).count());
    std::map<std::string, std::vector<double>> values;
    for (std::size_t i = 0; i < after.usage.size(); ++i) {
        const auto rate = [&](const std::string &name) {
            return counterIncrease(before.metrics[i], after.metrics[i], "carobjunction_" + name + "_total") / seconds;
        };
        values["cpu-share"].push_back(std::max(0.0, after.usage[i].cpuSeconds - before.usage[i].cpuSeconds) / seconds);
        values["resident-mb"].push_back(after.usage[i].residentMib);
        values["control-bytes-per-s"].push_back(rate("gossip_bytes_sent") + rate("gossip_bytes_received") + rate("probe_bytes"));
        values["probes-per-s"].push_back(rate("probes"));
        values["probe-bytes-per-s"].push_back(rate("probe_bytes"));
        values["probe-bytes-cross-region-per-s"].push_back(rate("probe_bytes_cross_region"));
        values["dispatch-bytes-cross-region-per-s"].push_back(rate("dispatch_bytes_cross_region"));
        values["probes-skipped-per-s"].push_back(rate("probes_skipped"));
        values["reroutes-per-s"].push_back(rate("reroutes"));
        values["retries-per-s"].push_back(rate("retries"));
        values["hedges-per-s"].push_back(rate("hedges"));
        values["refusals-per-s"].push_back(rate("refusals"));
    }
    Figures figures;
    for (const auto &[name, list] : values) {
        addMeanAndMaximum(figures, name, list);
    }
    return figures;
}

Figures FigureCalculator::combineRounds(const std::vector<Figures> &rounds)
{
    Figures combined;
    for (const Figures &round : rounds) {
        for (const auto &[name, value] : round) {
            const bool isMaximum = name.size() > 4 && name.compare(name.size() - 4, 4, "-max") == 0;
            if (isMaximum) {
                combined[name] = std::max(combined[name], value);
            } else {
                combined[name] += summedFigureNames().count(name) > 0 ? value : value / static_cast<double>(rounds.size());
            }
        }
    }
    return combined;
}

} // namespace carobjunction::bench
