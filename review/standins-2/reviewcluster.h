#pragma once

#include "childprocess.h"
#include "connection/httpclientpool.h"
#include "freeports.h"
#include "platform/daemonports.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobjunction::review
{

using namespace std::chrono_literals;

/** Exit codes of a case. */
enum ExitCode { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/** Bounds of the small deployment, as its site file states them. */
constexpr Duration HeartbeatInterval = 1500ms;
constexpr Duration GracePeriod = 6s;
constexpr Duration ContactTime = 4s;

/** VM of a case: a daemon process and the stand-in backend server beside it. */
struct ReviewVm : platform::DaemonPorts {
    std::string name;
    std::string dataCentre;
    std::string service;
    std::string settingsFile;
    std::string backendAddress; /**< Address under which the daemon reaches the backend server. */
    std::string storeAddress; /**< Address under which the daemon reaches the store. */
    std::unique_ptr<platform::StandInBackend> backend;
    std::unique_ptr<bench::ChildProcess> daemon;
    int64_t backendStartedAtMs = 0;
    int backendStarts = 0;
    uint64_t sequence = 0;
    bool isSendingHeartbeats = true;
    bool isDraining = false;
};

/** Answer to a request of a case. */
struct CallerAnswer {
    ExchangeEnd end = ExchangeEnd::NotSent;
    unsigned status = 0; /**< 0 if there was no answer. */
    HttpResponse response;

    std::string text() const
    {
        return status == 0 ? "no answer" : std::to_string(status);
    }
};

/**
 * Small deployment of daemon processes with stand-ins for the store, the backend servers and the clients. All but the daemons run on one event loop.
 * Writes what is sent, answered and run to the record file.
 */
class ReviewCluster
{
public:
    /** @param recordFile  path of the record */
    explicit ReviewCluster(const std::string &recordFile);
    ~ReviewCluster();
    ReviewCluster(const ReviewCluster &) = delete;
    ReviewCluster &operator=(const ReviewCluster &) = delete;

    /** Adds a VM. Its daemon is not started. */
    ReviewVm &addVm(const std::string &dataCentre, const std::string &service);

    /** Publishes a configuration and starts all daemons. */
    void start(int version, const std::vector<platform::PublishedRoute> &routes);

    /** Runs @p scenario to its end. @return its exit code, or CouldNotRun if it throws or takes longer than @p limit */
    int run(const std::function<Task<int>()> &scenario, Duration limit);

    void startDaemon(ReviewVm &vm);

    /** Stops a daemon by SIGTERM, as planned work does, kills it after the grace period, and starts it again. */
    Task<void> restartDaemon(ReviewVm &vm);

    /** Kills a daemon, and starts it again after @p downTime. */
    Task<void> killDaemon(ReviewVm &vm, Duration downTime);

    /** Starts a new process of the backend server at the same address. @param keepsId  whether it has the id of the process before */
    Task<void> restartBackend(ReviewVm &vm, bool keepsId);

    /** Sends one heartbeat of a backend server. @return status of the response, 0 if there was none within a second */
    Task<unsigned> sendHeartbeat(ReviewVm &vm, std::string id, int64_t startedAtMs, std::string state, uint64_t sequence);

    /** Sends the leave notice of a backend server. @return status of the response, 0 if there was none within a second */
    Task<unsigned> sendLeave(ReviewVm &vm);

    /** @return whether every daemon answers its readiness check with 200 within @p limit */
    Task<bool> waitUntilReady(Duration limit);

    /** Sends a request of a client on the VM over a new connection and waits for the answer. */
    Task<CallerAnswer> send(ReviewVm &vm, http::verb method, std::string path, std::string id, std::string body, Duration deadline);

    Task<void> pause(Duration time);
    void spawn(Task<void> task);
    void record(const std::string &line);

    asio::io_context &loop()
    {
        return m_loop;
    }

    platform::StandInTableStore &store()
    {
        return m_store;
    }

    bench::FreePorts &ports()
    {
        return m_ports;
    }

    std::vector<std::unique_ptr<ReviewVm>> &vms()
    {
        return m_vms;
    }

    /** Called for each request that a backend server starts to run; may be empty. */
    std::function<void(ReviewVm &, const HttpRequest &)> onRun;

private:
    Task<void> sendHeartbeats(ReviewVm &vm);
    Task<unsigned> sendControl(ReviewVm &vm, HttpRequest message);
    void writeSettings(const ReviewVm &vm) const;

    asio::io_context m_loop { 1 };
    bench::FreePorts m_ports;
    platform::StandInTableStore m_store { m_loop };
    std::vector<std::unique_ptr<ReviewVm>> m_vms;
    std::string m_directory; /**< Temporary directory of the settings and the daemons' logs. */
    std::ofstream m_record;
    TimePoint m_startedAt;
    bool m_isFinished = false;
};

/** @return whether the case is to include its disruption: unless the environment has TROUBLE=0 */
bool hasTrouble();

/** @return Unix time in milliseconds */
int64_t unixTimeMs();

} // namespace carobjunction::review
