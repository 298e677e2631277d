#include "faultinjector.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>
#include <utility>

namespace carobjunction::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr auto DaemonStopTimeout = milliseconds(35000);
constexpr auto DaemonStartTimeout = milliseconds(10000);
// Backend servers announce themselves once per second, and other daemons receive the state of a new target within 3 s.
constexpr auto RejoinPropagationTime = milliseconds(2000);
// Requests in progress at a leaving backend server normally finish within this period. Stopping the daemon also waits for them.
constexpr auto LeaveGracePeriod = milliseconds(500);

int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/** @return duration of a fault in ms as expected by the stand-in backend server, which treats a negative value as unlimited */
int64_t durationMs(const FaultAction &action)
{
    return action.length > Duration::zero() ? toMs(action.length) : -1;
}

TimePoint endTime(const FaultAction &action)
{
    return action.length > Duration::zero() ? std::chrono::steady_clock::now() + action.length : TimePoint::max();
}

} // namespace

FaultInjector::FaultInjector(Cluster &cluster, TargetOracle &oracle, const std::vector<FaultAction> &actions, TimePoint startedAt)
    : m_cluster(cluster), m_oracle(oracle), m_actions(actions), m_startedAt(startedAt)
{
    for (const FaultAction &action : m_actions) {
        if (action.kind == FaultKind::ColdStart) {
            m_oracle.setAvailable(action.target, false);
        }
    }
}

void FaultInjector::runDue(const std::function<bool()> &isStopRequested)
{
    const TimePoint now = std::chrono::steady_clock::now();
    while (m_nextAction < m_actions.size() && m_startedAt + m_actions[m_nextAction].at <= now) {
        execute(m_actions[m_nextAction++], isStopRequested);
    }
    while (!m_scheduledSteps.empty() && m_scheduledSteps.begin()->first <= now) {
        const auto step = std::move(m_scheduledSteps.begin()->second);
        m_scheduledSteps.erase(m_scheduledSteps.begin());
        step();
    }
}

void FaultInjector::execute(const FaultAction &action, const std::function<bool()> &isStopRequested)
{
    switch (action.kind) {
    case FaultKind::Straggler:
    case FaultKind::Slow:
        applySlowdown(action);
        break;
    case FaultKind::FailFast:
        recordOutcome(
            m_cluster.sendBackendControl(action.target, nlohmann::json { { "fail_status", action.status }, { "fail_ms", durationMs(action) } }.dump()));
        m_oracle.setUnavailableUntil(action.target, endTime(action));
        break;
    case FaultKind::ColdStart:
        recordOutcome(m_cluster.startBackend(action.target, static_cast<double>(toMs(action.length)), action.factor));
        m_oracle.setSlowdown(action.target, action.factor, endTime(action));
        m_oracle.setAvailable(action.target, true);
        break;
    case FaultKind::KillBackend:
        killAndRestart(action, false);
        break;
    case FaultKind::KillNode:
        killAndRestart(action, true);
        break;
    case FaultKind::Leave:
        m_oracle.setAvailable(action.target, false);
        recordOutcome(m_cluster.sendBackendControl(action.target, R"({"leave":true})"));
        break;
    case FaultKind::StoreOutage:
        recordOutcome(m_cluster.controlStore(R"({"mode":"down"})"));
        if (action.length > Duration::zero()) {
            scheduleStep(action.length, [this] { recordOutcome(m_cluster.controlStore(R"({"mode":"up"})")); });
        }
        break;
    case FaultKind::RollingRestart:
        rollingRestart(isStopRequested);
        break;
    }
}

void FaultInjector::applySlowdown(const FaultAction &action)
{
    recordOutcome(m_cluster.sendBackendControl(action.target, nlohmann::json { { "slow_factor", action.factor }, { "slow_ms", durationMs(action) } }.dump()));
    m_oracle.setSlowdown(action.target, action.factor, endTime(action));
}

void FaultInjector::killAndRestart(const FaultAction &action, bool withDaemon)
{
    const std::size_t target = action.target;
    m_oracle.setAvailable(target, false);
    m_cluster.killBackend(target);
    if (withDaemon) {
        m_cluster.killDaemon(target);
    }
    if (action.length <= Duration::zero()) {
        return;
    }
    scheduleStep(action.length, [this, target, withDaemon] {
        if (withDaemon) {
            recordOutcome(m_cluster.startDaemon(target));
        }
        recordOutcome(m_cluster.startBackend(target));
        m_oracle.setAvailable(target, true);
    });
}

void FaultInjector::rollingRestart(const std::function<bool()> &isStopRequested)
{
    for (std::size_t target = 0; target < m_cluster.size() && !isStopRequested(); ++target) {
        std::cerr << "  rolling restart: replacing daemon and backend server " << target << '\n';
        replaceNode(target);
    }
}

/** Replaces a VM as an operator does: the backend server announces its leave, the daemon drains and stops, and new processes are started. */
void FaultInjector::replaceNode(std::size_t target)
{
    m_oracle.setAvailable(target, false);
    recordOutcome(m_cluster.sendBackendControl(target, R"({"leave":true})"));
    std::this_thread::sleep_for(LeaveGracePeriod);
    if (!m_cluster.stopDaemon(target, DaemonStopTimeout)) {
        ++m_failedStops;
    }
    m_cluster.killDaemon(target);
    m_cluster.killBackend(target);
    recordOutcome(m_cluster.startDaemon(target));
    const TimePoint end = std::chrono::steady_clock::now() + DaemonStartTimeout;
    while (!m_cluster.isDaemonUp(target) && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    recordOutcome(m_cluster.startBackend(target));
    std::this_thread::sleep_for(RejoinPropagationTime);
    m_oracle.setAvailable(target, true);
    ++m_replacedNodes;
}

void FaultInjector::recordOutcome(bool succeeded)
{
    m_failedActions += succeeded ? 0 : 1;
}

void FaultInjector::scheduleStep(Duration delay, std::function<void()> step)
{
    m_scheduledSteps.emplace(std::chrono::steady_clock::now() + delay, std::move(step));
}

} // namespace carobjunction::bench
