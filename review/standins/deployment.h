#pragma once

#include "childprocess.h"
#include "freeports.h"
#include "platformstore.h"
#include "target.h"

namespace carobjunction::review
{

/** Route of the published configuration. */
struct Route {
    std::string prefix;
    std::string kind;
    std::string service;
};

/** Machine with a daemon, which is started with the command and the settings template of the deploy file, and its target. */
struct Machine {
    std::string name;
    std::string service;
    uint16_t targetPort = 0;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    uint16_t readyPort = 0;
    uint16_t operatorPort = 0;
    std::string settingsPath;
    std::string graceSeconds = "6"; /**< bounds.grace_s of the settings file, as the platform renders it. */
    std::unique_ptr<bench::ChildProcess> daemon;
    std::unique_ptr<Target> target;
};

/** Small deployment on loopback addresses in a temporary folder. All processes end with this object. */
class Deployment
{
public:
    static constexpr const char *Host = "shop.example";

    /** @param services  service of the target of each machine */
    Deployment(Record &record, const std::vector<std::string> &services, const std::vector<Route> &routes);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Starts the daemons and the targets. @return whether all daemons are ready and all targets have been acknowledged */
    bool start();

    /** Publishes a version of the configuration, which the store acknowledges at once. */
    void publish(int version, const std::vector<Route> &routes);

    void startDaemon(Machine &machine);

    /** Changes bounds.grace_s in the settings file of the machine, and sends SIGHUP to its daemon. */
    void changeGrace(Machine &machine, const std::string &graceSeconds);

    /** Ends the daemon like a crash. */
    void killDaemon(Machine &machine);

    /** Stops the daemon with SIGTERM, and with SIGKILL after the grace period. @return whether it ended within the grace period */
    bool stopDaemon(Machine &machine);

    bool isReady(const Machine &machine);
    bool waitUntilReady(const Machine &machine, Milliseconds limit);

    /** Sends a client's request to the outbound address of a machine. @return status of the answer, 0 if there was none */
    unsigned request(const Machine &machine, http::verb method, const std::string &path);

    std::vector<Machine> machines;
    PlatformStore &store()
    {
        return *m_store;
    }

    static constexpr Milliseconds GracePeriod { 6000 };

private:
    std::string renderSettings(const Machine &machine) const;

    Record &m_record;
    const std::vector<std::string> m_services;
    std::string m_folder;
    bench::FreePorts m_ports;
    uint16_t m_storePort = 0;
    std::unique_ptr<PlatformStore> m_store;
    std::atomic<int> m_lastRequest { 0 };
};

} // namespace carobjunction::review
