#pragma once

#include "childprocess.h"
#include "faultproxy.h"
#include "freeports.h"
#include "platform/daemonports.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"
#include "promises.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carobjunction::soak
{

/** Time that a daemon has after a stop signal. */
constexpr Duration GracePeriod = std::chrono::seconds(4);

/** @return the time of day in milliseconds */
inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** Size and length of a soak. */
struct SoakOptions {
    uint64_t seed = 1;
    uint32_t vms = 6; /**< At least 4, half of them in each region. */
    Duration faultTime = std::chrono::seconds(12);
    std::string logDirectory; /**< The daemons write their logs there. */
    std::string program; /**< Path of the daemon. */
    bool verbose = false; /**< Prints the faults as they come. */
};

/** One VM: a daemon as a process of its own, its backend server, and the proxies around it. */
struct SoakVm : platform::DaemonPorts {
    std::string name;
    std::string region;
    std::string service;
    std::string settingsFile;
    std::unique_ptr<platform::StandInBackend> backend;
    std::shared_ptr<FaultProxy> storeLink;
    std::shared_ptr<FaultProxy> peerLink;
    std::shared_ptr<FaultProxy> backendLink;
    std::unique_ptr<bench::ChildProcess> daemon;
    int daemonStarts = 0;
    bool isDaemonBusy = false; /**< A fault of the daemon is in progress. */
    bool isBackendBusy = false; /**< A replacement of the backend server is in progress. */
    bool isBackendUp = true; /**< Sends heartbeats. */
    bool isDraining = false;
    int backendStarts = 0;
    uint64_t sequence = 0;
    int64_t startedAtMs = 0;
};

/**
 * A cluster of real daemons with stand-ins for the platform, under load and random faults. All but the daemons runs on one event loop.
 * The same seed gives the same faults, though not the same run, since processes take turns as the machine decides.
 */
class SoakWorld
{
public:
    explicit SoakWorld(SoakOptions options);
    ~SoakWorld();

    /** Starts all, injects faults for the time set, lets the cluster recover and checks it. @return promises that were broken */
    std::vector<std::string> run();

    const Promises &promises() const
    {
        return m_promises;
    }

private:
    /** How a backend server ends. */
    enum class BackendEnd { Drain, LeaveFirst, Crash };

    void addVm(uint32_t number);
    void writeSettings(const SoakVm &vm);
    void startDaemon(SoakVm &vm);
    void publish();
    void spawn(Task<void> task);
    Task<void> pause(Duration time);
    Duration between(Duration least, Duration most);
    bool chance(double probability);
    SoakVm &anyVm();
    void tell(const std::string &what);

    Task<void> heartbeats(SoakVm &vm);
    /** Sends a message of a backend server to the daemon beside it. @return whether the daemon accepted it */
    Task<bool> sendControl(const SoakVm &vm, HttpRequest message);
    Task<void> sendHeartbeat(SoakVm &vm, std::string id, uint64_t sequence, int64_t startedAtMs, bool draining);
    Task<void> sendLeave(SoakVm &vm);
    Task<void> slowSpells(SoakVm &vm);
    Task<void> caller(SoakVm &vm, bool isIdempotent);
    Task<void> idleCaller(SoakVm &vm);
    Task<ExchangeResult> sendRequest(SoakVm &vm, std::shared_ptr<HttpClientPool> connections, http::verb method, std::string path, Duration timeLeft);
    Task<void> versionProbes(SoakVm &vm);

    Task<void> faults();
    void startFault();
    Task<void> killDaemon(SoakVm &vm);
    Task<void> pauseDaemon(SoakVm &vm);
    Task<void> holdUpDaemon(SoakVm &vm);
    Task<void> stopDaemon(SoakVm &vm);
    Task<void> replaceBackend(SoakVm &vm, BackendEnd how);
    Task<void> harmStore();
    Task<void> harmLink(SoakVm &vm, std::shared_ptr<FaultProxy> link, std::string name);
    void setClockBack(SoakVm &vm);
    void writeOddRow();
    void sendOddDatagram(SoakVm &vm);

    Task<void> checkRecovery();
    Task<void> director();
    void checkDaemons();

    SoakOptions m_options;
    std::mt19937_64 m_random;
    asio::io_context m_loop { 1 };
    bench::FreePorts m_ports;
    Promises m_promises { PromiseBounds {} };
    platform::StandInTableStore m_store { m_loop };
    std::vector<std::unique_ptr<SoakVm>> m_vms;
    int m_version = 0;
    Duration m_idleTimeout = Duration::zero(); /**< Of the newest configuration. */
    uint64_t m_lastRequest = 0;
    int m_faultsInProgress = 0;
    bool m_isStoreBusy = false;
    bool m_isOver = false;
    TimePoint m_startedAt;
};

} // namespace carobjunction::soak
