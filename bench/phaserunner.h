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

/** One run of one cluster under one load. */
struct ExperimentRun {
    const Scenario *scenario = nullptr;
    const LoadLevel *load = nullptr;
    std::vector<std::size_t> variants; /**< Several only if they differ in the path alone; their calls are mixed. */
    std::size_t round = 0;
};

/** What one run of one cluster gave. */
struct ExperimentRunResult {
    std::map<std::size_t, std::vector<Sample>> samples; /**< By variant. */
    std::map<std::size_t, Figures> figures; /**< By variant. */
};

/** Runs phases of an experiment on fresh clusters. Used by one thread. */
class ExperimentRunner
{
public:
    /**
     * @param experiment  what to run
     * @param binaries  root of the build tree
     * @param directory  existing directory for files of the runs
     * @param isStopRequested  asked often; true ends the run early
     */
    ExperimentRunner(const Experiment &experiment, std::string binaries, std::string directory, std::function<bool()> isStopRequested);

    /** @return the result; empty if the cluster doesn't start or the run was stopped, see LastReason<ClusterFault> */
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
