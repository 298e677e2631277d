#pragma once

#include "childprocess.h"
#include "faultproxy.h"
#include "freeports.h"
#include "guaranteechecker.h"
#include "platform/daemonports.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carobjunction::soak
{

/** Time in which a daemon has to exit after SIGTERM. */
constexpr Duration GracePeriod = std::chrono::seconds(4);

/** @return milliseconds since the Unix epoch */
inline int64_t unixTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** Parameters of a soak. */
struct SoakOptions {
    uint64_t seed = 1;
    uint32_t vmCount = 6; /**< Number of VMs, at least 4; even and odd ones are in different regions. */
    Duration faultInjectionTime = std::chrono::seconds(12); /**< Time in which faults are started. */
    Duration maxFaultPause = std::chrono::milliseconds(900); /**< Longest pause between the starts of two faults. */
    std::string logDirectory; /**< Directory of the settings and log files of the daemons. */
    std::string program; /**< Path of the daemon program. */
    bool verbose = false; /**< Whether to print each fault when it is injected. */
};

/** VM of a soak: a daemon process, its stand-in backend server and the fault proxies on its links. */
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
    bool isDaemonFaultActive = false; /**< Whether a fault of the daemon process is in progress. */
    bool isBackendReplacementActive = false; /**< Whether a replacement of the backend server is in progress. */
    bool isSendingHeartbeats = true; /**< Whether the backend server sends heartbeats. */
    bool isDraining = false;
    int backendStarts = 0;
    uint64_t sequence = 0;
    int64_t startedAtMs = 0;
};

/**
 * Cluster of real daemon processes with stand-ins for the platform, under load and random faults. Everything except the daemons runs on one
 * event loop. The same seed gives the same faults but not the same run, since the operating system schedules the processes.
 */
class SoakCluster
{
public:
    explicit SoakCluster(SoakOptions options);
    ~SoakCluster();

    /**
     * Starts the cluster, injects faults for the configured time, lets the cluster recover and checks it.
     * @return descriptions of the violated guarantees
     */
    std::vector<std::string> run();

    const GuaranteeChecker &guarantees() const
    {
        return m_guarantees;
    }

private:
    /** How a backend server is shut down before its replacement starts. */
    enum class BackendShutdown { Drain, LeaveThenCrash, Crash };

    void addVm(uint32_t number);
    void writeSettings(const SoakVm &vm);
    void startDaemon(SoakVm &vm);
    void publish();
    void publishVersion();
    void spawn(Task<void> task);
    Task<void> pause(Duration time);
    Duration randomDuration(Duration minimum, Duration maximum);
    bool randomBool(double probability);
    SoakVm &randomVm();
    /** Prints an event of the soak with its time if the option `verbose` is set. */
    void logEvent(const std::string &event);

    Task<void> sendHeartbeats(SoakVm &vm);
    /**
     * Sends a message of the backend server to the control port of the daemon on the same VM.
     * @return whether the daemon answered with status 200
     */
    Task<bool> sendControlRequest(const SoakVm &vm, HttpRequest message);
    Task<void> sendHeartbeat(SoakVm &vm, std::string id, uint64_t sequence, int64_t startedAtMs, bool draining);
    Task<void> sendLeave(SoakVm &vm);
    Task<void> simulateSlowPeriods(SoakVm &vm);
    Task<void> runCaller(SoakVm &vm, bool isIdempotent);
    Task<void> runIdleCaller(SoakVm &vm);
    Task<ExchangeResult> sendRequest(SoakVm &vm, std::shared_ptr<HttpClientPool> connections, http::verb method, std::string path, Duration timeLeft);
    Task<void> probeVersions(SoakVm &vm);

    Task<void> injectFaults();
    void injectRandomFault();
    Task<void> killDaemon(SoakVm &vm);
    Task<void> pauseDaemon(SoakVm &vm);
    Task<void> stallDaemonRepeatedly(SoakVm &vm);
    Task<void> stopDaemon(SoakVm &vm);
    Task<void> replaceBackend(SoakVm &vm, BackendShutdown shutdown);
    Task<void> degradeStore();
    Task<void> disturbLink(SoakVm &vm, std::shared_ptr<FaultProxy> link, std::string name);
    void simulateClockRollback(SoakVm &vm);
    void writeMalformedRow();
    void sendMalformedDatagram(SoakVm &vm);
    Task<void> sendForeignHeartbeats();
    Task<void> keepCopiesOfStore();
    Task<void> restoreStoreRepeatedly();

    Task<void> checkRecovery();
    Task<void> runSoak();
    void checkDaemonsRunning();

    SoakOptions m_options;
    std::mt19937_64 m_random;
    asio::io_context m_loop { 1 };
    bench::FreePorts m_ports;
    GuaranteeChecker m_guarantees { GuaranteeBounds {} };
    platform::StandInTableStore m_store { m_loop };
    std::vector<std::unique_ptr<SoakVm>> m_vms;
    int m_version = 0;
    std::string m_configuration; /**< Text of the newest configuration. */
    Duration m_idleTimeout = Duration::zero(); /**< Idle timeout of caller connections in the newest configuration. */
    uint64_t m_lastRequest = 0;
    int m_faultsInProgress = 0;
    bool m_isStoreFaultActive = false;
    bool m_isFinished = false;
    TimePoint m_startedAt;
};

} // namespace carobjunction::soak
