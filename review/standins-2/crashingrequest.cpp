// A request that crashes the backend servers which run it comes again after planned restarts of daemons.

#include "reviewcluster.h"

#include "connection/messagefields.h"

#include <iostream>

using namespace carobjunction;
using namespace carobjunction::review;

namespace
{

constexpr const char *CrashingPath = "/order/crash";
constexpr Duration BackendDownTime = 2s; // a crashed backend server is back after some seconds
constexpr Duration FirstRefusal = 9s; // the daemons refuse the request for 8 s after two crashes
constexpr Duration CalmTime = 3500ms; // before a restart
constexpr Duration Deadline = 4s;
constexpr int MaxRetries = 3; // allowed retries that reach a backend server after the third crash
constexpr size_t RestartedDaemons = 3;
constexpr int SendsPerDaemon = 6;

/** Scenario of the case. */
class CrashingRequest
{
public:
    explicit CrashingRequest(ReviewCluster &cluster) : m_cluster(cluster)
    {
        for (const char *dataCentre : { "pil-a", "pil-a", "sw-a", "sw-a" }) {
            m_cluster.addVm(dataCentre, "ordering").backend->crashingPath = CrashingPath;
        }
        m_cluster.onRun = [this](ReviewVm &vm, const HttpRequest &message) {
            onRun(vm, message);
        };
    }

    Task<int> run()
    {
        m_cluster.start(1, { { "/order/", "non_idempotent", "ordering", 2000 } });
        if (!co_await m_cluster.waitUntilReady(15s)) {
            co_return CouldNotRun;
        }
        co_await m_cluster.pause(2s);
        for (size_t i = 0; i < m_cluster.vms().size(); ++i) {
            m_cluster.spawn(sendOrders(i));
        }
        co_await crashThreeBackends();
        if (m_crashes != 3) {
            m_cluster.record("the request did not crash three backend servers");
            co_return CouldNotRun;
        }
        co_await m_cluster.pause(ContactTime + 1s);
        m_countsRetries = true;
        co_await sendToAll();
        for (size_t i = 0; i < RestartedDaemons; ++i) {
            co_await sendAfterRestart(*m_cluster.vms()[i]);
        }
        m_cluster.record("retries that reached a backend server: " + std::to_string(m_retries) + ", allowed " + std::to_string(MaxRetries)
                         + "; lost orders: " + std::to_string(m_lostOrders) + " of " + std::to_string(m_orders));
        std::cout << "retries " << m_retries << ", lost orders " << m_lostOrders << " of " << m_orders << std::endl;
        co_return m_retries > MaxRetries ? RuleBroken : RuleHeld;
    }

private:
    void onRun(ReviewVm &vm, const HttpRequest &message)
    {
        if (message.target() != beast::string_view(CrashingPath)) {
            return;
        }
        ++m_crashes;
        m_retries += m_countsRetries ? 1 : 0;
        vm.isSendingHeartbeats = false;
        m_cluster.spawn(restartLater(vm));
    }

    Task<void> restartLater(ReviewVm &vm)
    {
        co_await m_cluster.pause(BackendDownTime);
        co_await m_cluster.restartBackend(vm, false);
    }

    Task<void> sendCrashing(ReviewVm &vm)
    {
        const std::string id = "crash-" + std::to_string(++m_sent);
        co_await m_cluster.send(vm, http::verb::post, CrashingPath, id, "the same body", Deadline);
    }

    /** Sends the request until it has crashed three backend servers. */
    Task<void> crashThreeBackends()
    {
        co_await sendCrashing(*m_cluster.vms()[0]);
        co_await m_cluster.pause(1s);
        co_await sendCrashing(*m_cluster.vms()[1]);
        co_await m_cluster.pause(FirstRefusal);
        co_await sendCrashing(*m_cluster.vms()[2]);
    }

    Task<void> sendToAll()
    {
        for (const auto &vm : m_cluster.vms()) {
            co_await sendCrashing(*vm);
        }
    }

    /** Restarts a daemon as planned, waits until it is in touch again, and sends the request to it. */
    Task<void> sendAfterRestart(ReviewVm &vm)
    {
        co_await m_cluster.pause(CalmTime);
        if (hasTrouble()) {
            co_await m_cluster.restartDaemon(vm);
        }
        co_await m_cluster.pause(ContactTime + 500ms);
        for (int i = 0; i < SendsPerDaemon; ++i) {
            co_await sendCrashing(vm);
            co_await m_cluster.pause(BackendDownTime + 300ms);
        }
    }

    /** Sends orders of other clients at a steady rate. */
    Task<void> sendOrders(size_t vmIndex)
    {
        constexpr Duration Interval = 200ms;
        for (int i = 0; true; ++i) {
            m_cluster.spawn(sendOrder(vmIndex, "order-" + std::to_string(vmIndex) + "-" + std::to_string(i)));
            co_await m_cluster.pause(Interval);
        }
    }

    Task<void> sendOrder(size_t vmIndex, std::string id)
    {
        const CallerAnswer answer = co_await m_cluster.send(*m_cluster.vms()[vmIndex], http::verb::post, "/order/" + id, id, "bags", Deadline);
        ++m_orders;
        const bool isRefused = answer.status == 503 || answer.status == 429;
        m_lostOrders += answer.status != 200 && !isRefused && m_countsRetries ? 1 : 0;
    }

    ReviewCluster &m_cluster;
    int m_sent = 0;
    int m_crashes = 0;
    int m_retries = 0;
    int m_orders = 0;
    int m_lostOrders = 0;
    bool m_countsRetries = false;
};

} // namespace

int main(int, char **argv)
{
    try {
        ReviewCluster cluster(argv[1]);
        CrashingRequest scenario(cluster);
        for (const auto &vm : cluster.vms()) {
            vm->backend->serviceTime = 290ms;
        }
        return cluster.run([&] { return scenario.run(); }, 110s);
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
        return CouldNotRun;
    }
}
