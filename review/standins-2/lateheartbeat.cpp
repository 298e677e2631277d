// All daemons are killed while the store is down. A late heartbeat of a backend server that has left arrives before the store is back.

#include "reviewcluster.h"

#include "connection/messagefields.h"

#include <carobjunction/process/durations.h>

#include <iostream>
#include <set>

using namespace carobjunction;
using namespace carobjunction::review;

namespace
{

constexpr size_t VmCount = 12;
constexpr size_t LeavingCount = 3; // a quarter of the backend servers
constexpr Duration DrainTime = 2500ms;
constexpr Duration OutageTime = 8s;
constexpr Duration KillDelay = 500ms; // from the begin of the outage
constexpr Duration DownTime = 1s;
constexpr Duration HeartbeatDelay = 5500ms; // from the begin of the outage
constexpr Duration RequestInterval = 100ms;
constexpr Duration Deadline = 3s;

/** Scenario of the case. */
class LateHeartbeat
{
public:
    explicit LateHeartbeat(ReviewCluster &cluster) : m_cluster(cluster)
    {
        for (size_t i = 0; i < VmCount; ++i) {
            ReviewVm &vm = m_cluster.addVm(i % 2 == 0 ? "pil-a" : "sw-a", i / 2 % 2 == 0 ? "ordering" : "dispatch");
            vm.backend->serviceTime = 50ms;
        }
        m_cluster.onRun = [this](ReviewVm &vm, const HttpRequest &message) {
            onRun(vm, message);
        };
    }

    Task<int> run()
    {
        m_cluster.start(1, { { "/look/", "idempotent", "ordering", 1500 }, { "/ship/", "idempotent", "dispatch", 3000 } });
        if (!co_await m_cluster.waitUntilReady(15s)) {
            co_return CouldNotRun;
        }
        co_await m_cluster.pause(4s);
        for (size_t i = 0; i < VmCount; ++i) {
            m_cluster.spawn(sendRequests(i));
        }
        co_await m_cluster.pause(2s);
        for (size_t i = 0; i < LeavingCount; ++i) {
            if (!co_await leave(*m_cluster.vms()[i])) {
                co_return CouldNotRun;
            }
        }
        if (hasTrouble()) {
            co_await killDuringOutage();
        } else {
            co_await m_cluster.pause(HeartbeatDelay);
            co_await sendLateHeartbeats();
            co_await m_cluster.pause(OutageTime - HeartbeatDelay);
        }
        co_await m_cluster.pause(5s);
        m_cluster.record("runs at backend servers that had left, later than the drain time: " + std::to_string(m_lateRuns));
        std::cout << "late runs " << m_lateRuns << std::endl;
        co_return m_lateRuns > 0 ? RuleBroken : RuleHeld;
    }

private:
    void onRun(ReviewVm &vm, const HttpRequest &message)
    {
        const auto left = m_leftAt.find(vm.name);
        if (left == m_leftAt.end() || SteadyClock().now() <= left->second + DrainTime) {
            return;
        }
        const std::string id = fieldValue(message, "X-Attempt-Id");
        const std::string entry = id.substr(0, id.find('/'));
        // The rule binds the machine that has acknowledged the leave itself also while the store is in disruption.
        const bool isOwnRequest = entry == vm.name;
        m_cluster.record("LATE RUN at " + vm.backend->id + ", " + std::to_string(toMs(SteadyClock().now() - left->second))
                         + " ms after its leave was acknowledged: " + id + (isOwnRequest ? "" : " (not counted: sent by another machine)"));
        m_lateRuns += isOwnRequest ? 1 : 0;
    }

    /** Lets a backend server leave, which serves on. @return whether the leave was acknowledged */
    Task<bool> leave(ReviewVm &vm)
    {
        vm.isSendingHeartbeats = false;
        const unsigned status = co_await m_cluster.sendLeave(vm);
        m_leftAt[vm.name] = SteadyClock().now();
        co_return status == 200;
    }

    Task<void> killDuringOutage()
    {
        m_cluster.record("the store is down");
        m_cluster.store().isDown = true;
        co_await m_cluster.pause(KillDelay);
        for (const auto &vm : m_cluster.vms()) {
            m_cluster.record("SIGKILL to daemon " + vm->name);
            vm->daemon->kill();
        }
        co_await m_cluster.pause(DownTime);
        for (const auto &vm : m_cluster.vms()) {
            m_cluster.startDaemon(*vm);
        }
        co_await m_cluster.pause(HeartbeatDelay - DownTime - KillDelay);
        co_await sendLateHeartbeats();
        co_await m_cluster.pause(OutageTime - HeartbeatDelay);
        m_cluster.record("the store is up");
        m_cluster.store().isDown = false;
    }

    /** Sends the last heartbeats of the backend servers that have left, which were due before their leave. */
    Task<void> sendLateHeartbeats()
    {
        for (size_t i = 0; i < LeavingCount; ++i) {
            ReviewVm &vm = *m_cluster.vms()[i];
            const unsigned status = co_await m_cluster.sendHeartbeat(vm, vm.backend->id, vm.backendStartedAtMs, "ready", vm.sequence + 1);
            m_cluster.record("late heartbeat of " + vm.backend->id + ": " + std::to_string(status));
        }
    }

    /** Sends requests for both services at a steady rate, about that of the site. The id of a request begins with the name of the VM. */
    Task<void> sendRequests(size_t vmIndex)
    {
        ReviewVm &vm = *m_cluster.vms()[vmIndex];
        for (int i = 0; true; ++i) {
            const std::string path = i % 2 == 0 ? "/look/x" : "/ship/x";
            m_cluster.spawn(sendRequest(vm, path, vm.name + "/" + std::to_string(i)));
            co_await m_cluster.pause(RequestInterval);
        }
    }

    /** Sends a request, and once more if it is refused, as a client that honours Retry-After does. */
    Task<void> sendRequest(ReviewVm &vm, std::string path, std::string id)
    {
        const CallerAnswer answer = co_await m_cluster.send(vm, http::verb::get, path, id, "", Deadline);
        if (answer.status == 503) {
            const double seconds = std::strtod(fieldValue(answer.response, "Retry-After").c_str(), nullptr);
            co_await m_cluster.pause(std::min<Duration>(std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000)), Deadline / 3));
            co_await m_cluster.send(vm, http::verb::get, path, id + "/again", "", Deadline - Deadline / 3);
        }
    }

    ReviewCluster &m_cluster;
    std::map<std::string, TimePoint> m_leftAt; /**< Time at which the leave was acknowledged, by VM. */
    int m_lateRuns = 0;
};

} // namespace

int main(int, char **argv)
{
    try {
        ReviewCluster cluster(argv[1]);
        LateHeartbeat scenario(cluster);
        return cluster.run([&] { return scenario.run(); }, 90s);
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
        return CouldNotRun;
    }
}
