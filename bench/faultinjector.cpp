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

constexpr auto DaemonStopLimit = milliseconds(35000);
constexpr auto DaemonStartLimit = milliseconds(10000);
// Announcements come once a second, and other daemons learn of a new target within three.
constexpr auto SettleTime = milliseconds(2000);
// Requests in progress at a backend server that has announced its leave end in this time; the daemon's stop waits for them as well.
constexpr auto LeaveTime = milliseconds(500);

int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/** Length of a disturbance for the stand-ins, where a negative value stands for "until the end". */
int64_t lengthMs(const FaultAction &action)
{
    return action.length > Duration::zero() ? toMs(action.length) : -1;
}

TimePoint endOf(const FaultAction &action)
{
    return action.length > Duration::zero() ? std::chrono::steady_clock::now() + action.length : TimePoint::max();
}

} // namespace

FaultInjector::FaultInjector(Cluster &cluster, TargetView &view, const std::vector<FaultAction> &actions, TimePoint startedAt)
    : m_cluster(cluster), m_view(view), m_actions(actions), m_startedAt(startedAt)
{
    for (const FaultAction &action : m_actions) {
        if (action.kind == FaultKind::ColdStart) {
            m_view.setUsable(action.target, false);
        }
    }
}

void FaultInjector::runDue(const std::function<bool()> &isStopped)
{
    const TimePoint now = std::chrono::steady_clock::now();
    while (m_next < m_actions.size() && m_startedAt + m_actions[m_next].at <= now) {
        carryOut(m_actions[m_next++], isStopped);
    }
    while (!m_later.empty() && m_later.begin()->first <= now) {
        const auto step = std::move(m_later.begin()->second);
        m_later.erase(m_later.begin());
        step();
    }
}

void FaultInjector::carryOut(const FaultAction &action, const std::function<bool()> &isStopped)
{
    switch (action.kind) {
    case FaultKind::Straggler:
    case FaultKind::Slow:
        slow(action);
        break;
    case FaultKind::FailFast:
        expect(m_cluster.control(action.target, nlohmann::json { { "fail_status", action.status }, { "fail_ms", lengthMs(action) } }.dump()));
        m_view.setUnusableUntil(action.target, endOf(action));
        break;
    case FaultKind::ColdStart:
        expect(m_cluster.startBackend(action.target, static_cast<double>(toMs(action.length)), action.factor));
        m_view.setFactor(action.target, action.factor, endOf(action));
        m_view.setUsable(action.target, true);
        break;
    case FaultKind::Kill:
        restart(action, false);
        break;
    case FaultKind::KillDaemon:
        restart(action, true);
        break;
    case FaultKind::Leave:
        m_view.setUsable(action.target, false);
        expect(m_cluster.control(action.target, R"({"leave":true})"));
        break;
    case FaultKind::StoreOutage:
        expect(m_cluster.controlStore(R"({"mode":"down"})"));
        if (action.length > Duration::zero()) {
            later(action.length, [this] { expect(m_cluster.controlStore(R"({"mode":"up"})")); });
        }
        break;
    case FaultKind::RollingRestart:
        rollingRestart(isStopped);
        break;
    }
}

void FaultInjector::slow(const FaultAction &action)
{
    expect(m_cluster.control(action.target, nlohmann::json { { "slow_factor", action.factor }, { "slow_ms", lengthMs(action) } }.dump()));
    m_view.setFactor(action.target, action.factor, endOf(action));
}

void FaultInjector::restart(const FaultAction &action, bool withDaemon)
{
    const std::size_t target = action.target;
    m_view.setUsable(target, false);
    m_cluster.killBackend(target);
    if (withDaemon) {
        m_cluster.killDaemon(target);
    }
    if (action.length <= Duration::zero()) {
        return;
    }
    later(action.length, [this, target, withDaemon] {
        if (withDaemon) {
            expect(m_cluster.startDaemon(target));
        }
        expect(m_cluster.startBackend(target));
        m_view.setUsable(target, true);
    });
}

void FaultInjector::rollingRestart(const std::function<bool()> &isStopped)
{
    for (std::size_t target = 0; target < m_cluster.size() && !isStopped(); ++target) {
        std::cerr << "  replacing daemon and backend server " << target << '\n';
        replace(target);
    }
}

/** As an operator replaces a VM: the backend server leaves, the daemon stops once it is drained, and both start anew. */
void FaultInjector::replace(std::size_t target)
{
    m_view.setUsable(target, false);
    expect(m_cluster.control(target, R"({"leave":true})"));
    std::this_thread::sleep_for(LeaveTime);
    if (!m_cluster.stopDaemon(target, DaemonStopLimit)) {
        ++m_failedStops;
    }
    m_cluster.killDaemon(target);
    m_cluster.killBackend(target);
    expect(m_cluster.startDaemon(target));
    const TimePoint end = std::chrono::steady_clock::now() + DaemonStartLimit;
    while (!m_cluster.isDaemonUp(target) && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    expect(m_cluster.startBackend(target));
    std::this_thread::sleep_for(SettleTime);
    m_view.setUsable(target, true);
    ++m_replaced;
}

void FaultInjector::expect(bool accepted)
{
    m_failedActions += accepted ? 0 : 1;
}

void FaultInjector::later(Duration delay, std::function<void()> step)
{
    m_later.emplace(std::chrono::steady_clock::now() + delay, std::move(step));
}

} // namespace carobjunction::bench
