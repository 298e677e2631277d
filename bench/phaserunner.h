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
struct Phase {
    const Scenario *scenario = nullptr;
    const LoadLevel *load = nullptr;
    std::vector<std::size_t> variants; /**< Several only if they differ in the path alone; their calls are mixed. */
    std::size_t round = 0;
};

/** What one run of one cluster gave. */
struct PhaseResult {
    std::map<std::size_t, std::vector<Sample>> samples; /**< By variant. */
    std::map<std::size_t, Figures> figures; /**< By variant. */
};

/** Runs phases of an experiment on fresh clusters. Used by one thread. */
class PhaseRunner
{
public:
    /**
     * @param experiment  what to run
     * @param binaries  root of the build tree
     * @param directory  existing directory for files of the runs
     * @param isStopped  asked often; true ends the run early
     */
    PhaseRunner(const Experiment &experiment, std::string binaries, std::string directory, std::function<bool()> isStopped);

    /** @return the result; empty if the cluster doesn't start or the run was stopped, see LastReason<ClusterFault> */
    std::optional<PhaseResult> run(const Phase &phase);

private:
    ClusterSpec specOf(const Phase &phase) const;
    ClusterOptions optionsOf(const Phase &phase, const std::vector<FaultAction> &actions);
    std::vector<PlannedCall> planCalls(const Phase &phase, const ClusterSpec &spec, uint64_t seed) const;
    double callsPerSecond(const LoadLevel &load, const ClusterSpec &spec) const;

    const Experiment &m_experiment;
    const std::string m_binaries;
    const std::string m_directory;
    const std::function<bool()> m_isStopped;
    std::size_t m_runs = 0;
};

} // namespace carobjunction::bench
