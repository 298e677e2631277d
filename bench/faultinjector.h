#pragma once

#include "cluster.h"
#include "fault.h"
#include "targetoracle.h"

#include <carobjunction/process/clock.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Executes the planned faults of one run. Used by the thread that owns the cluster. */
class FaultInjector
{
public:
    /**
     * @param cluster  cluster in which the faults are injected
     * @param oracle  receives the state of each affected target; targets with a cold start are marked as unavailable at once
     * @param actions  faults, sorted by time
     * @param startedAt  start of the run, to which the times of @p actions are relative
     */
    FaultInjector(Cluster &cluster, TargetOracle &oracle, const std::vector<FaultAction> &actions, TimePoint startedAt);

    /**
     * Executes all actions that are due. A rolling restart blocks until all targets are replaced or a stop is requested.
     * @param isStopRequested  checked before each replacement of a rolling restart
     */
    void runDue(const std::function<bool()> &isStopRequested);

    /** @return number of daemons that didn't stop in time or exited with an error */
    std::size_t failedStops() const
    {
        return m_failedStops;
    }

    /** @return number of control requests that were rejected and programs that failed to start */
    std::size_t failedActions() const
    {
        return m_failedActions;
    }

    /** @return number of nodes (a daemon and its backend server) that rolling restarts have replaced */
    std::size_t replacedNodes() const
    {
        return m_replacedNodes;
    }

private:
    void execute(const FaultAction &action, const std::function<bool()> &isStopRequested);
    void applySlowdown(const FaultAction &action);
    void killAndRestart(const FaultAction &action, bool withDaemon);
    void rollingRestart(const std::function<bool()> &isStopRequested);
    void replaceNode(std::size_t target);
    void recordOutcome(bool succeeded);
    void scheduleStep(Duration delay, std::function<void()> step);

    Cluster &m_cluster;
    TargetOracle &m_oracle;
    std::vector<FaultAction> m_actions;
    std::size_t m_nextAction = 0;
    const TimePoint m_startedAt;
    std::multimap<TimePoint, std::function<void()>> m_scheduledSteps;
    std::size_t m_failedStops = 0;
    std::size_t m_failedActions = 0;
    std::size_t m_replacedNodes = 0;
};

} // namespace carobjunction::bench
