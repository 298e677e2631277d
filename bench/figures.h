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

/** Measured values by name. Names that end in `-ms`, `-mb` or `-per-s` carry their unit. */
using Figures = std::map<std::string, double>;

/** State of all daemons at one point in time. */
struct DaemonSnapshot {
    TimePoint at {};
    std::vector<ProcessUsage> usage;
    std::vector<std::map<std::string, double>> metrics;
};

/** Derives figures from what was recorded. All quantiles are exact. */
class FigureCalculator
{
public:
    explicit FigureCalculator(const Experiment &experiment) : m_experiment(experiment)
    {
    }

    /**
     * @param samples  calls of one variant
     * @return latencies and shares; calls of the warm-up are left out
     */
    Figures callFigures(const std::vector<Sample> &samples) const;

    /**
     * Compares what callers were told with what the backend servers recorded. Includes the warm-up.
     * @param samples  all calls of the run, in planned order
     * @param runs  requests that the backend servers started
     */
    Figures auditRuns(const std::vector<Sample> &samples, const std::vector<std::pair<std::size_t, RunRecord>> &runs) const;

    /** @return cost of the daemons between two points in time */
    static Figures daemonFigures(const DaemonSnapshot &before, const DaemonSnapshot &after);

    /**
     * @param rounds  figures of single rounds
     * @return counts of the audit added up, maxima kept, everything else averaged
     */
    static Figures combineRounds(const std::vector<Figures> &rounds);

private:
    const Experiment &m_experiment;
};

} // namespace carobjunction::bench
