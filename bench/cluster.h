#pragma once

#include "childprocess.h"
#include "experiment.h"
#include "freeports.h"
#include "loadgenerator.h"
#include "targetoracle.h"

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

/** Configuration of a Cluster for one run. */
struct ClusterOptions {
    std::string buildDirectory; /**< Root of the build tree, which contains the programs to start. */
    std::string directory; /**< Existing empty directory for the settings and logs of this run. */
    std::string policy; /**< Routing policy of all services. If empty, each service uses the policy of its configuration. */
    std::string config; /**< YAML mapping merged into the configuration of each service. */
    std::set<std::size_t> absentTargets; /**< Targets whose backend servers Cluster::start() doesn't start. */
    bool startsDaemons = true; /**< Whether to start daemons and a store. False if all calls bypass the daemons. */
    bool startsBarePaths = false; /**< Whether to start a BarePath in front of each backend server. */
    bool publish = true; /**< Whether Cluster::start() publishes the service configurations and waits until the daemons have received them. */
    std::map<std::size_t, std::string> settings; /**< YAML mappings merged into the settings of individual daemons, by target index. */
};

/** CPU time and resident memory of one process. */
struct ProcessUsage {
    double cpuSeconds = 0;
    double residentMib = 0; /**< Resident set size in MiB. */
};

/** One request that a backend server started to run, as read from its log file. */
struct RunRecord {
    std::string requestId;
    std::string key;
    std::size_t call = 0; /**< Index of the call in the planned calls of the load generator. */
};

/**
 * Runs daemons, backend servers and the stand-in store as child processes that communicate over the loopback interface. The destructor kills all of them.
 * Not thread-safe. The thread that starts the cluster must outlive it, because the kernel kills the child processes when that thread ends.
 */
class Cluster
{
public:
    /**
     * Starts all processes. If ClusterOptions::publish is set, publishes the service configurations and waits until every daemon has received them and
     * lists all targets that were started.
     * @return the cluster; empty on failure, see LastError<ClusterError>
     */
    static std::unique_ptr<Cluster> start(const ClusterSpec &spec, const ClusterOptions &options);
    ~Cluster() = default;

    const Endpoints &endpoints() const
    {
        return m_endpoints;
    }

    std::vector<TargetDescription> targetDescriptions() const;

    /**
     * Sends fields to the control path of a stand-in backend server.
     * @param target  index of the target
     * @param json  JSON object with the fields to set
     * @return whether the backend server accepted the fields
     */
    bool sendBackendControl(std::size_t target, const std::string &json) const;

    /**
     * Sends fields to the control path of the stand-in store.
     * @param json  JSON object with the fields to set
     * @return whether the store accepted the fields
     */
    bool controlStore(const std::string &json) const;

    void killBackend(std::size_t target);
    void killDaemon(std::size_t target);

    /**
     * Starts the backend server of a target.
     * @param target  index of a target whose backend server isn't running
     * @param coldStartMs  period after the start, in ms, during which the backend server is slow
     * @param coldStartFactor  factor by which service times are multiplied during this period
     * @return whether the backend server is listening
     */
    bool startBackend(std::size_t target, double coldStartMs = 0, double coldStartFactor = 1);
    /** Starts the daemon of a target. @return whether the process was started */
    bool startDaemon(std::size_t target);

    /**
     * Sends SIGTERM to a daemon and waits for it to exit.
     * @param target  index of the target
     * @param exitTimeout  maximum waiting time; a daemon that exceeds it is left running
     * @return whether the daemon exited with status 0 in time
     */
    bool stopDaemon(std::size_t target, std::chrono::milliseconds exitTimeout);

    /** @return process of the daemon, or null if it was not started or was killed */
    ChildProcess *daemon(std::size_t target) const
    {
        return m_nodes[target].daemon.get();
    }

    /** @return process of the backend server, or null if it was not started or was killed */
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

    /**
     * Replaces the settings overrides of a daemon. They take effect when the daemon is started next.
     * @param target  index of the target
     * @param settings  YAML mapping that is merged into the settings of the daemon
     */
    void setDaemonSettings(std::size_t target, const std::string &settings)
    {
        m_options.settings[target] = settings;
    }

    /** @return whether the operator port of the daemon responds to a metrics request */
    bool isDaemonUp(std::size_t target) const;

    /** @return metric values of a daemon by name, or an empty map if the daemon doesn't respond */
    std::map<std::string, double> metrics(std::size_t target) const;

    /** @return CPU time and memory of a daemon process, or zeros if it is not running */
    ProcessUsage usage(std::size_t target) const;

    /** @return requests that the backend servers started to run, each with its target index, read from their log files */
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

/** Reason why a cluster failed to start or a run was stopped; see LastError. */
struct ClusterError {
    std::string message;
};

} // namespace carobjunction::bench
