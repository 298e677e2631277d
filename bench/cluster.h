#pragma once

#include "childprocess.h"
#include "experiment.h"
#include "freeports.h"
#include "loadgenerator.h"
#include "targetview.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** How a cluster is set up for one run. */
struct ClusterOptions {
    std::string binaries; /**< Root of the build tree. */
    std::string directory; /**< Existing empty directory for files of this run. */
    std::string policy; /**< Routing policy of all services; empty: as configured. */
    std::string config; /**< Changes to each service's configuration as YAML. */
    std::set<std::size_t> absent; /**< Targets whose backend servers aren't started at first. */
    bool startsDaemons = true; /**< False when all calls go past the daemons. */
    bool startsBarePaths = false; /**< Start a bare path in front of each backend server. */
    bool publish = true; /**< False: configurations are published by the user of the cluster, and the start doesn't wait for calls to succeed. */
    std::map<std::size_t, std::string> settings; /**< Changes to the settings of single daemons as YAML. */
};

/** Processor time and memory of one process. */
struct ProcessUsage {
    double cpuSeconds = 0;
    double residentMb = 0;
};

/** Line of a backend server's log: one request that was started. */
struct RunRecord {
    std::string requestId;
    std::string key;
    std::size_t call = 0; /**< Index of the call in the plan. */
};

/**
 * Daemons, backend servers and the store as child processes on loopback. All of them end with this object.
 * Used by one thread, which must outlive it.
 */
class Cluster
{
public:
    /**
     * Starts everything, publishes the configurations and waits until calls succeed.
     * @return the cluster; empty on failure, see LastReason<ClusterFault>
     */
    static std::unique_ptr<Cluster> start(const ClusterSpec &spec, const ClusterOptions &options);
    ~Cluster() = default;

    const Endpoints &endpoints() const
    {
        return m_endpoints;
    }

    std::vector<TargetDescription> places() const;

    /** Sends fields to the control port of a backend server. @return whether it accepted them */
    bool control(std::size_t target, const std::string &json) const;

    /** Sends fields to the control port of the store. @return whether it accepted them */
    bool controlStore(const std::string &json) const;

    void killBackend(std::size_t target);
    void killDaemon(std::size_t target);

    /**
     * @param target  target without a backend server
     * @param coldStartMs  time after the start in which it is slow
     * @param coldStartFactor  factor on the service time in this time
     */
    bool startBackend(std::size_t target, double coldStartMs = 0, double coldStartFactor = 1);
    bool startDaemon(std::size_t target);

    /** Asks the daemon to stop and waits for its end. @return whether it ended by itself with status 0 */
    bool stopDaemon(std::size_t target, std::chrono::milliseconds exitTimeout);

    /** @return process of the daemon; null if it isn't started or was killed */
    ChildProcess *daemon(std::size_t target) const
    {
        return m_nodes[target].daemon.get();
    }

    /** @return process of the backend server; null if it isn't started or was killed */
    ChildProcess *backend(std::size_t target) const
    {
        return m_nodes[target].backend.get();
    }

    const std::string &daemonId(std::size_t target) const
    {
        return m_nodes[target].daemonId;
    }

    const std::string &operatorAddress(std::size_t target) const
    {
        return m_nodes[target].operatorAddress;
    }

    const std::string &storeAddress() const
    {
        return m_storeAddress;
    }

    /** Changes the settings that a daemon gets at its next start. @param settings  YAML mapping */
    void setDaemonSettings(std::size_t target, const std::string &settings)
    {
        m_options.settings[target] = settings;
    }

    /** @return whether the daemon's operator port answers */
    bool isDaemonUp(std::size_t target) const;

    /** @return counters of a daemon by name; empty if it doesn't answer */
    std::map<std::string, double> metrics(std::size_t target) const;

    /** @return usage of a daemon's process; zeros if it has ended */
    ProcessUsage usage(std::size_t target) const;

    /** @return requests that the backend servers started, with the target, from their log files */
    std::vector<std::pair<std::size_t, RunRecord>> readRunLogs() const;

    std::size_t size() const
    {
        return m_nodes.size();
    }

private:
    struct Node {
        std::string daemonId;
        std::string region;
        std::string dataCentre;
        const ServiceSpec *service = nullptr;
        std::string callerAddress;
        std::string peerAddress;
        std::string operatorAddress;
        std::string backendAddress;
        std::unique_ptr<ChildProcess> daemon;
        std::unique_ptr<ChildProcess> backend;
        std::unique_ptr<ChildProcess> bareOwner;
        std::unique_ptr<ChildProcess> bareEntry;
    };

    Cluster(const ClusterSpec &spec, const ClusterOptions &options);

    bool startAll();
    bool startStore();
    bool startBarePath(std::size_t target);
    bool publish(const ServiceSpec &service) const;
    bool waitUntilReady() const;
    bool isServiceReady(const Node &node, const ServiceSpec &service) const;
    void createNodes();
    std::string allocateAddress();
    std::string programPath(const std::string &relative) const;
    std::string filePath(const std::string &name) const;
    std::string makeDaemonSettings(std::size_t target) const;

    const ClusterSpec m_spec;
    ClusterOptions m_options;
    FreePorts m_ports;
    std::string m_storeAddress;
    std::unique_ptr<ChildProcess> m_store;
    std::vector<Node> m_nodes;
    Endpoints m_endpoints;
};

/** Why a cluster didn't start. */
struct ClusterFault {
    std::string message;
};

} // namespace carobjunction::bench
