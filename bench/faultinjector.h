#pragma once

#include "cluster.h"
#include "fault.h"
#include "targetview.h"

#include <carobjunction/process/clock.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Carries out the planned disturbances of one run, on the thread that owns the cluster. */
class FaultInjector
{
public:
    /**
     * @param cluster  processes to disturb
     * @param view  told of each disturbance, for the oracle
     * @param actions  by time
     * @param startedAt  time from which the actions' times count
     */
    FaultInjector(Cluster &cluster, TargetView &oracle, const std::vector<FaultAction> &actions, TimePoint startedAt);

    /** Carries out all actions that are due. A rolling restart blocks until it is over or @p isStopRequested returns true. */
    void runDue(const std::function<bool()> &isStopRequested);

    /** @return how often a daemon didn't stop in time or with an error */
    std::size_t failedStops() const
    {
        return m_failedStops;
    }

    /** @return how many actions a stand-in or a program didn't accept */
    std::size_t failedActions() const
    {
        return m_failedActions;
    }

    /** @return how many daemons and backend servers a rolling restart has replaced */
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
    TargetView &m_oracle;
    std::vector<FaultAction> m_actions;
    std::size_t m_nextAction = 0;
    const TimePoint m_startedAt;
    std::multimap<TimePoint, std::function<void()>> m_scheduledSteps;
    std::size_t m_failedStops = 0;
    std::size_t m_failedActions = 0;
    std::size_t m_replacedNodes = 0;
};

} // namespace carobjunction::bench
