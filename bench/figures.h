#pragma once

#include "cluster.h"
#include "experiment.h"
#include "sample.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** Measured values by name. The unit is part of the name, as in `-ms`, `-mb` and `-per-s`. */
using Figures = std::map<std::string, double>;

/** Metrics and resource usage of all daemons at one point in time. */
struct DaemonSnapshot {
    TimePoint at {};
    std::vector<ProcessUsage> usage; /**< By target index. */
    std::vector<std::map<std::string, double>> metrics; /**< By target index. */
};

/** Computes figures from the recorded calls, backend logs and daemon metrics. All quantiles are exact. */
class FigureCalculator
{
public:
    explicit FigureCalculator(const Experiment &experiment) : m_experiment(experiment)
    {
    }

    /**
     * Computes latencies, failure shares and response counts.
     * @param samples  calls of one variant
     * @return figures of the calls that were planned after the warm-up
     */
    Figures callFigures(const std::vector<Sample> &samples) const;

    /**
     * Compares the outcomes that callers received with the logs of the backend servers and counts the contradictions. Includes the warm-up.
     * @param samples  all calls of the run, in planned order
     * @param runs  requests that the backend servers started to run, each with its target index
     * @return numbers of lost calls, calls that ran twice and calls with a false outcome, and the runs per call
     */
    Figures outcomeFigures(const std::vector<Sample> &samples, const std::vector<std::pair<std::size_t, RunRecord>> &runs) const;

    /**
     * Computes the resource usage and control traffic of the daemons.
     * @param before  state at the start of the period
     * @param after  state at the end of the period
     * @return mean and maximum over the daemons
     */
    static Figures daemonFigures(const DaemonSnapshot &before, const DaemonSnapshot &after);

    /**
     * Combines the figures of several rounds.
     * @param rounds  figures of the individual rounds
     * @return sums of the counts, maxima of the figures whose names end in `-max`, and averages of all others
     */
    static Figures combineRounds(const std::vector<Figures> &rounds);

private:
    const Experiment &m_experiment;
};

} // namespace carobjunction::bench
