#pragma once

#include "experiment.h"
#include "figures.h"
#include "sample.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Defines one run: a cluster that is measured under one scenario and one load. */
struct ExperimentRun {
    const Scenario *scenario = nullptr;
    const LoadLevel *load = nullptr;
    std::vector<std::size_t> variants; /**< Indices of the variants. Variants of one run differ only in their call path, and their calls are interleaved. */
    std::size_t round = 0;
};

/** Measurements of one run. */
struct ExperimentRunResult {
    std::map<std::size_t, std::vector<Sample>> samples; /**< By variant index. */
    std::map<std::size_t, Figures> figures; /**< By variant index. */
};

/** Executes runs of an experiment, each on a new cluster. Not thread-safe. */
class ExperimentRunner
{
public:
    /**
     * @param experiment  experiment to run; must outlive this object
     * @param buildDirectory  root of the build tree
     * @param directory  existing directory, in which each run creates a subdirectory for its files
     * @param isStopRequested  polled during a run; if it returns true, the run is aborted
     */
    ExperimentRunner(const Experiment &experiment, std::string buildDirectory, std::string directory, std::function<bool()> isStopRequested);

    /** @return measurements of the run, or empty if the cluster failed to start or the run was aborted; see LastError<ClusterError> */
    std::optional<ExperimentRunResult> run(const ExperimentRun &experimentRun);

private:
    ClusterSpec makeClusterSpec(const ExperimentRun &experimentRun) const;
    ClusterOptions makeClusterOptions(const ExperimentRun &experimentRun, const std::vector<FaultAction> &actions);
    std::vector<PlannedCall> planCalls(const ExperimentRun &experimentRun, const ClusterSpec &spec, uint64_t seed) const;
    double callsPerSecond(const LoadLevel &load, const ClusterSpec &spec) const;

    const Experiment &m_experiment;
    const std::string m_buildDirectory;
    const std::string m_directory;
    const std::function<bool()> m_isStopRequested;
    std::size_t m_runCount = 0;
};

} // namespace carobjunction::bench
