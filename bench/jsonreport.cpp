#include "jsonreport.h"

#include "loadseries.h"
#include "quantiles.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace carobjunction::bench
{

namespace
{

constexpr std::size_t LoadSeriesIntervals = 60;

double roundToFourDecimals(double value)
{
    return std::round(value * 1e4) / 1e4;
}

nlohmann::json latencyQuantilesToJson(const Cell &cell, Duration warmUp)
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
    nlohmann::json list = nlohmann::json::array();
    for (const double share : { 0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0 }) {
        list.push_back({ share, roundToFourDecimals(quantiles.at(share)) });
    }
    return list;
}

nlohmann::json loadSeriesToJson(const Cell &cell)
{
    nlohmann::json json = nlohmann::json::object();
    if (!cell.rounds.empty()) {
        const LoadSeries series = LoadSeries::of(cell.rounds.front(), LoadSeriesIntervals);
        json["interval_s"] = roundToFourDecimals(series.intervalSeconds);
        for (const auto &[target, values] : series.targets) {
            for (const double value : values) {
                json["targets"][std::to_string(target)].push_back(roundToFourDecimals(value));
            }
        }
    }
    return json;
}

nlohmann::json cellToJson(const Cell &cell, Duration warmUp)
{
    return { { "scenario", cell.scenario },
             { "load", cell.load },
             { "variant", cell.variant },
             { "figures", cell.figures },
             { "rounds", cell.roundFigures },
             { "good_latency_quantiles_ms", latencyQuantilesToJson(cell, warmUp) },
             { "calls_in_progress_by_target", loadSeriesToJson(cell) } };
}

} // namespace

std::string JsonReport::write(const Results &results)
{
    const Experiment &experiment = *results.experiment;
    nlohmann::json json { { "experiment", experiment.name },
                          { "description", experiment.description },
                          { "seed", experiment.seed },
                          { "command", results.command },
                          { "machine", results.machine },
                          { "started_at", results.startedAt },
                          { "remark", results.remark },
                          { "quantiles", "exact: every sample is kept; nearest rank" },
                          { "latency", "from the planned time of the call to its answer; in p..-ms a call without a good answer counts as its deadline" },
                          { "failures", results.failures },
                          { "cells", nlohmann::json::array() },
                          { "judgements", nlohmann::json::array() } };
    for (const Cell &cell : results.cells) {
        json["cells"].push_back(cellToJson(cell, experiment.warmUp));
    }
    for (const CheckResult &checkResult : results.checkResults) {
        json["judgements"].push_back({ { "name", checkResult.name },
                                       { "scenario", checkResult.scenario },
                                       { "load", checkResult.load },
                                       { "measured", checkResult.isMeasurable ? nlohmann::json(checkResult.measured) : nlohmann::json() },
                                       { "at_most", checkResult.atMost },
                                       { "met", checkResult.isMet() } });
    }
    return json.dump(1) + '\n';
}

} // namespace carobjunction::bench
