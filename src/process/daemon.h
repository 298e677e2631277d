#pragma once

#include <carobjunction/process/membershipview.h>
#include <carobjunction/process/probebudget.h>
#include <carobjunction/process/suspecttable.h>
#include <carobjunction/process/targettable.h>
#include <carobjunction/version/configtable.h>

#include "connection/callerserver.h"
#include "connection/operatorserver.h"
#include "connection/peerchannels.h"
#include "connection/peerserver.h"
#include "connection/tlscredentials.h"
#include "process/admissionservice.h"
#include "process/announcedbackend.h"
#include "process/claims.h"
#include "process/configpoller.h"
#include "process/entryservice.h"
#include "process/gossip.h"
#include "process/metrics.h"
#include "process/periodictask.h"
#include "process/settings.h"
#include "process/storetasks.h"
#include "process/workerpool.h"
#include "request/decisionlog.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <map>
#include <memory>

namespace carobjunction
{

/** Result of Daemon::drain(). */
enum class DrainResult {
    Drained, /**< All requests in progress have finished. */
    LimitReached, /**< The drain limit was reached with requests still in progress. */
};

/** Creates, connects and owns the components of one daemon process. */
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();

    /** Starts the periodic tasks and opens the ports. @return whether all ports could be opened */
    bool start();

    /** @return whether the backend server is leaving, after which the daemon should be drained and stopped */
    bool isLeaving() const;

    /**
     * Advertises that the target is leaving, admits no new requests and waits for the requests in progress. Blocks until these have
     * finished and @p minDuration has passed, or until the drain limit of the service's configuration is reached.
     * @param minDuration  minimum duration, in which the leave reaches all other daemons and callers of this daemon finish
     */
    DrainResult drain(Duration minDuration);

    /** Waits for cancelled calls, advertises the leave, closes the ports and stops the threads. */
    void stop();

private:
    using View = MembershipView<SteadyClock>;
    using DaemonGossip = Gossip<PeerChannels, SteadyClock>;

    EntryDependencies entryDependencies();
    GossipCallbacks gossipCallbacks();
    GossipHandlers gossipHandlers();
    OperatorActions operatorActions();
    ConfigPollerCallbacks configPollerCallbacks();
    Member initialOwnMember() const;
    GossipOptions gossipOptions() const;
    MembershipOptions membershipOptions() const;
    void createComponents();
    bool openPorts();
    void startTasks();

    /** Applies an announcement of the backend server if it is accepted. */
    AnnouncementVerdict announce(const TargetAnnouncement &announcement);
    /** Stops admission and advertises that the target is leaving. */
    void leave();
    /** Recomputes the targets of a service from the membership view. */
    void updateTargets(const std::string &service);
    void onConfigInForce(const ConfigTable::Config &config);
    /** @param isDue  whether the gossip interval has passed; if not, only pending updates are pushed */
    void runGossip(bool isDue);
    /** Polls the store for configurations and, on representatives, runs the store tasks that are due. */
    void runStoreTasks();
    std::vector<std::string> readSeedAddresses();
    std::vector<std::string> ownRegionPeerAddresses() const;
    void runMaintenance();
    void checkAnnouncementTimeout();
    void logTargetChanges();
    void probeTargetsWithStaleLoad();
    void probe(const TargetInfo &target, const ServiceConfig &config);
    ProbeBudget<SteadyClock> &probeBudget(const ServiceConfig &config);
    /**
     * @param service  service whose configuration is reported; empty for all
     * @param withMembers  whether to query the other daemons for the versions in force there
     */
    std::string inForceJson(const std::string &service, bool withMembers);
    /** @return live members that have not confirmed a version at least as new as that in @p configs */
    nlohmann::json unconfirmedMembers(const std::string &service, const nlohmann::json &configs);
    std::string targetsJson(const std::string &service);
    std::string suspectsJson();

    Settings m_settings;
    SteadyClock m_clock;
    SystemWallClock m_wallClock;
    Metrics m_metrics;
    DecisionLog m_decisionLog;
    TlsCredentials m_credentials;
    AnnouncedBackend m_announcedBackend;
    SuspectTable<SteadyClock> m_suspects;
    TargetTable<SteadyClock> m_targets;
    ConfigTable m_configs;
    View m_membership;
    std::unique_ptr<StoreClient> m_claimStore; /**< Used for claims only, so that slow maintenance reads don't delay them. */
    std::unique_ptr<StoreClient> m_maintenanceStore; /**< Used for configurations, seeds and the removal of expired claims. */
    std::unique_ptr<Claims> m_claims;
    PeerChannels m_peerChannels;
    std::unique_ptr<DaemonGossip> m_gossip;
    std::unique_ptr<WorkerPool> m_workers; /**< Destroyed before the members above, which its tasks use. */
    std::unique_ptr<AdmissionService> m_admission;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<ConfigPoller<StoreClient, SteadyClock>> m_configPoller;
    std::unique_ptr<StoreTasks> m_storeTasks;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<OperatorServer> m_operatorServer;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<PeriodicTask> m_gossipTask;
    std::unique_ptr<PeriodicTask> m_pollerTask;
    std::unique_ptr<PeriodicTask> m_maintenanceTask;
    std::mutex m_probeMutex;
    std::map<std::string, std::unique_ptr<ProbeBudget<SteadyClock>>> m_probeBudgets;
    std::map<std::string, TimePoint> m_inForceSince; /**< By service; guarded by m_inForceMutex. */
    std::mutex m_inForceMutex;
    std::atomic<TimePoint> m_lastAnnouncementAt { TimePoint {} };
    std::atomic<bool> m_isLeaving { false };
    uint32_t m_maintenanceRuns = 0;
    TimePoint m_nextStoreTasksAt {}; /**< Accessed only by the thread of m_pollerTask. */
};

} // namespace carobjunction
