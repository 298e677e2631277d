#include "process/daemon.h"

#include <carobjunction/process/targetsubset.h>
#include <carobjunction/version/serviceconfigparser.h>

#include "connection/socketaddress.h"
#include "process/eventlog.h"
#include "process/suspectwire.h"

#include <random>
#include <thread>

namespace carobjunction
{

namespace
{

constexpr std::chrono::milliseconds MaintenanceInterval(10);
/** Number of maintenance runs per check of announcements, target changes and stale load reports. */
constexpr uint32_t MaintenanceRunsPerCheck = 10;
/** Number of maintenance runs per closing of idle peer channels. */
constexpr uint32_t MaintenanceRunsPerIdleClose = 1000;
constexpr std::chrono::milliseconds PeerServerStopGrace(500);
constexpr std::chrono::milliseconds DrainCheckInterval(5);
constexpr std::chrono::seconds CancelledCallTimeout(5);
constexpr std::chrono::seconds StoreTasksInterval(1);
constexpr std::chrono::milliseconds ProbeTimeout(500);
/** Estimated traffic of one probe in bytes: the serialised request and load report with their HTTP/2 frames. */
constexpr uint64_t ProbeBytes = 220;

/** @return 64 random bits as 16 hexadecimal digits */
std::string randomHexId()
{
    std::random_device device;
    const uint64_t value = (static_cast<uint64_t>(device()) << 32U) | device();
    char text[17];
    std::snprintf(text, sizeof(text), "%016lx", static_cast<unsigned long>(value));
    return text;
}

/** @return the parsed configuration, or null if it is not valid or belongs to another service */
ConfigTable::Config parseConfig(const std::string &service, uint64_t version, const std::string &content)
{
    const ServiceConfigResult result = ServiceConfigParser::parse(content, service + "@" + std::to_string(version), version);
    if (!result.config || result.config->service != service) {
        return nullptr;
    }
    return result.config;
}

TargetInfo toTargetInfo(const Member &member)
{
    TargetInfo info;
    info.daemon = member.daemon;
    info.incarnation = member.targetIncarnation;
    info.region = member.region;
    info.dataCentre = member.dataCentre;
    info.peerAddress = member.peerAddress;
    info.service = member.service;
    info.slots = member.slots;
    info.leaving = member.state == MemberState::Leaving;
    return info;
}

std::string withPort(const std::string &address, int port)
{
    std::optional<SocketAddress> parsed = SocketAddress::parse(address);
    parsed->port = static_cast<uint16_t>(port);
    return parsed->toString();
}

} // namespace

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_credentials(m_settings.peerSecurity, m_settings.tls)
    , m_announcedBackend(m_settings.service)
    , m_suspects(m_clock)
    , m_targets(m_clock, m_settings.daemon, m_settings.region, m_settings.dataCentre, std::random_device {}())
    , m_configs(parseConfig)
    , m_membership(m_clock, initialOwnMember(), membershipOptions())
    , m_peerChannels(m_credentials, m_metrics, m_settings.maxBodyBytes)
    , m_gossip(std::make_unique<DaemonGossip>(m_peerChannels, m_clock, m_membership, m_configs, gossipOptions(), gossipCallbacks()))
    , m_workers(std::make_unique<WorkerPool>(m_settings.workerThreads))
    , m_admission(std::make_unique<AdmissionService>(*m_workers, m_suspects, m_metrics, m_settings.maxBodyBytes))
{
    createComponents();
}

Daemon::~Daemon()
{
    stop();
}

Member Daemon::initialOwnMember() const
{
    Member own;
    own.daemon = m_settings.daemon;
    own.incarnation = static_cast<uint64_t>(m_wallClock.nowMs());
    own.region = m_settings.region;
    own.dataCentre = m_settings.dataCentre;
    own.peerAddress = m_settings.peerAddress;
    own.operatorAddress = m_settings.operatorAddress;
    own.callerAddress = m_settings.callerAddress;
    own.service = m_settings.service;
    return own;
}

GossipOptions Daemon::gossipOptions() const
{
    GossipOptions options;
    options.interval = m_settings.gossipInterval;
    options.seeds = m_settings.seeds;
    return options;
}

MembershipOptions Daemon::membershipOptions() const
{
    MembershipOptions options;
    options.suspicionTimeout = m_settings.suspicionTimeout;
    options.removalDelay = m_settings.memberForgetTime;
    return options;
}

void Daemon::createComponents()
{
    if (!m_settings.storeAddress.empty()) {
        StoreClientOptions options;
        options.address = m_settings.storeAddress;
        options.timeout = m_settings.storeTimeout;
        m_claimStore = StoreClient::create(options);
        m_maintenanceStore = StoreClient::create(options);
    }
    if (m_claimStore) {
        ClaimOptions options;
        options.daemon = m_settings.daemon;
        options.batchDelay = m_settings.claimBatchDelay;
        m_claims = std::make_unique<Claims>(*m_claimStore, m_clock, m_wallClock, options);
        m_storeTasks = std::make_unique<StoreTasks>(*m_maintenanceStore,
                                                    m_clock,
                                                    m_wallClock,
                                                    m_settings.region,
                                                    m_settings.daemon + "-" + randomHexId(),
                                                    StoreTaskCallbacks { [this] { return ownRegionPeerAddresses(); },
                                                                         [this] {
                                                                             return m_configs.services();
                                                                         } });
        m_configPoller = std::make_unique<ConfigPoller<StoreClient, SteadyClock>>(
            *m_maintenanceStore, m_clock, m_configs, ConfigPollerOptions { m_settings.configPollInterval }, configPollerCallbacks());
    }
    m_membership.setChangeHandler([this](const MemberChange &change) {
        logMemberChange(change);
        const Member &member = change.after ? *change.after : *change.before;
        updateTargets(member.service);
    });
    m_configs.setChangeHandler([this](const ConfigTable::Config &config) { onConfigInForce(config); });
    m_admission->setHandlers(
        [this](const CallRequest &request, const CallResult &result) {
            if (m_claims && !request.claimId.empty()) {
                m_claims->recordResult(request.service, request.key, request.claimId, request.fingerprint, result);
            }
        },
        [this] { m_gossipTask->wake(); });
    m_entry = std::make_unique<EntryService>(entryDependencies());
    m_peerServer = std::make_unique<PeerServer>(*m_admission, *m_workers, gossipHandlers(), m_settings.maxBodyBytes);
    m_operatorServer = std::make_unique<OperatorServer>(operatorActions(), m_metrics, m_decisionLog);
    m_callerServer = std::make_unique<CallerServer>(*m_entry, randomHexId() + "-", m_settings.callerThreads, m_settings.maxBodyBytes);
}

EntryDependencies Daemon::entryDependencies()
{
    return { m_settings,
             m_configs,
             m_targets,
             m_suspects,
             *m_admission,
             m_peerChannels,
             m_claims.get(),
             m_metrics,
             m_decisionLog,
             [this] { return m_gossip->isReady(); },
             [this](const std::string &daemon) {
                 m_gossip->reportUnreachable(daemon);
             } };
}

GossipCallbacks Daemon::gossipCallbacks()
{
    GossipCallbacks callbacks;
    callbacks.lookupSeeds = [this] {
        return readSeedAddresses();
    };
    callbacks.collectSuspects = [this] {
        return suspectsToWire(m_suspects);
    };
    callbacks.mergeSuspect = [this](const v1::SuspectEntry &entry) {
        return mergeSuspectFromWire(m_suspects, entry);
    };
    callbacks.wake = [this] {
        if (m_gossipTask) {
            m_gossipTask->wake();
        }
    };
    callbacks.execute = [this](std::function<void()> task) {
        m_workers->run(std::move(task));
    };
    return callbacks;
}

GossipHandlers Daemon::gossipHandlers()
{
    GossipHandlers handlers;
    handlers.exchange = [this](const v1::ExchangeRequest &request) {
        v1::ExchangeResponse response = m_gossip->onExchange(request);
        m_metrics.add(Counter::GossipBytesReceived, request.ByteSizeLong());
        m_metrics.add(Counter::GossipBytesSent, response.ByteSizeLong());
        return response;
    };
    handlers.indirectProbe = [this](const v1::IndirectProbeRequest &request) {
        return m_gossip->onIndirectProbe(request);
    };
    handlers.inForce = [this](const v1::InForceRequest &request) {
        return m_gossip->onInForce(request);
    };
    return handlers;
}

ConfigPollerCallbacks Daemon::configPollerCallbacks()
{
    ConfigPollerCallbacks callbacks;
    callbacks.isRepresentative = [this] {
        return m_gossip->isRepresentative();
    };
    callbacks.isReady = [this] {
        return m_gossip->isReady();
    };
    callbacks.onPollSucceeded = [this] {
        m_gossip->onStorePolled();
    };
    callbacks.onVersionAccepted = [this] {
        m_gossipTask->wake();
    };
    return callbacks;
}

bool Daemon::start()
{
    startTasks();
    if (!openPorts()) {
        stop();
        return false;
    }
    EventLog::write(LogLevel::Info,
                    Event::DaemonStarted,
                    { { "daemon", m_settings.daemon },
                      { "region", m_settings.region },
                      { "data_centre", m_settings.dataCentre },
                      { "caller", m_settings.callerAddress },
                      { "peer", m_settings.peerAddress },
                      { "operator", m_settings.operatorAddress } });
    return true;
}

bool Daemon::openPorts()
{
    const int peerPort = m_peerServer->start(m_settings.peerAddress, m_credentials);
    const int operatorPort = m_operatorServer->start(m_settings.operatorAddress);
    const int callerPort = m_callerServer->start(m_settings.callerAddress);
    if (peerPort == 0 || operatorPort == 0 || callerPort == 0) {
        EventLog::write(LogLevel::Error,
                        Event::PortUnavailable,
                        { { "caller", callerPort ? "ok" : m_settings.callerAddress },
                          { "peer", peerPort ? "ok" : m_settings.peerAddress },
                          { "operator", operatorPort ? "ok" : m_settings.operatorAddress } });
        return false;
    }
    m_settings.peerAddress = withPort(m_settings.peerAddress, peerPort);
    m_settings.operatorAddress = withPort(m_settings.operatorAddress, operatorPort);
    m_settings.callerAddress = withPort(m_settings.callerAddress, callerPort);
    m_gossip->updateOwn([this](Member &own) {
        own.peerAddress = m_settings.peerAddress;
        own.operatorAddress = m_settings.operatorAddress;
        own.callerAddress = m_settings.callerAddress;
    });
    return true;
}

void Daemon::startTasks()
{
    m_gossipTask = std::make_unique<PeriodicTask>(m_settings.gossipInterval, [this](bool isDue) { runGossip(isDue); });
    if (m_configPoller) {
        m_pollerTask = std::make_unique<PeriodicTask>(m_settings.configPollInterval / 4, [this](bool) { runStoreTasks(); });
    }
    m_maintenanceTask = std::make_unique<PeriodicTask>(MaintenanceInterval, [this](bool) { runMaintenance(); });
}

bool Daemon::isLeaving() const
{
    return m_isLeaving;
}

DrainResult Daemon::drain(Duration minDuration)
{
    leave();
    m_callerServer->beginDrain();
    const auto config = m_configs.find(m_settings.service);
    const TimePoint drainStart = m_clock.now();
    const TimePoint deadline = drainStart + (config ? config->targets.drainLimit : TargetRules().drainLimit);
    while (m_clock.now() < deadline && (m_admission->running() > 0 || m_clock.now() < drainStart + minDuration)) {
        std::this_thread::sleep_for(DrainCheckInterval);
    }
    if (m_claims) {
        // If results are not recorded, callers that resend their requests receive the outcome "unknown".
        m_claims->flush(deadline - m_clock.now());
    }
    const size_t running = m_admission->running();
    const bool isDrained = running == 0;
    EventLog::write(isDrained ? LogLevel::Info : LogLevel::Error,
                    isDrained ? Event::TargetDrained : Event::DrainLimitReached,
                    { { "daemon", m_settings.daemon }, { "inflight", std::to_string(running) } });
    return isDrained ? DrainResult::Drained : DrainResult::LimitReached;
}

void Daemon::stop()
{
    if (!m_workers) {
        return;
    }
    if (m_callerServer) {
        m_callerServer->stop();
    }
    // Cancelled attempts of hedged calls still report to the components that are stopped below.
    m_peerChannels.waitUntilIdle(CancelledCallTimeout);
    if (m_gossipTask) {
        // The last push advertises the state Left, so that no neighbour has to detect the end of this daemon by failed probes.
        m_gossip->updateOwn([](Member &own) { own.state = MemberState::Left; });
        m_gossip->pushUpdates();
    }
    m_maintenanceTask.reset();
    m_pollerTask.reset();
    if (m_gossipTask) {
        m_gossipTask->stop();
    }
    if (m_operatorServer) {
        m_operatorServer->stop();
    }
    if (m_peerServer) {
        m_peerServer->stop(PeerServerStopGrace);
    }
    m_workers.reset();
}

AnnouncementVerdict Daemon::announce(const TargetAnnouncement &announcement)
{
    const AnnouncementVerdict verdict = m_announcedBackend.onAnnouncement(announcement);
    if (verdict != AnnouncementVerdict::Accepted) {
        return verdict;
    }
    m_lastAnnouncementAt = m_clock.now();
    m_admission->announce(announcement.service, SocketAddress::parse(announcement.address).value(), announcement.incarnation);
    m_gossip->updateOwn([&](Member &own) {
        if (announcement.incarnation < own.targetIncarnation) {
            return; // a later announcement was accepted in the meantime
        }
        own.targetAddress = announcement.address;
        own.slots = announcement.slots;
        own.targetIncarnation = announcement.incarnation;
    });
    return verdict;
}

void Daemon::leave()
{
    if (m_isLeaving.exchange(true)) {
        return;
    }
    m_admission->leave();
    m_gossip->updateOwn([](Member &own) { own.state = MemberState::Leaving; });
}

void Daemon::updateTargets(const std::string &service)
{
    if (service.empty()) {
        return;
    }
    std::vector<TargetInfo> targets;
    for (const MemberList members = m_membership.targets(service); const MemberPointer &member : *members) {
        targets.push_back(toTargetInfo(*member));
    }
    m_targets.setTargets(service, targetSubset(std::move(targets), m_settings.daemon, m_settings.region));
}

void Daemon::onConfigInForce(const ConfigTable::Config &config)
{
    {
        const std::scoped_lock lock(m_inForceMutex);
        m_inForceSince[config->service] = m_clock.now();
    }
    EventLog::write(
        LogLevel::Info, Event::ConfigInForce, { { "service", config->service }, { "version", std::to_string(config->version) }, { "hash", config->hash } });
    if (config->service == m_settings.service) {
        m_admission->configure({ config->targets.slots, config->targets.queue, config->targets.coldRamp });
    }
}

void Daemon::runGossip(bool isDue)
{
    if (isDue) {
        m_gossip->tick();
    } else {
        m_gossip->pushUpdates();
    }
}

void Daemon::runStoreTasks()
{
    m_configPoller->poll();
    if (m_clock.now() >= m_nextStoreTasksAt && m_gossip->isRepresentative()) {
        m_nextStoreTasksAt = m_clock.now() + StoreTasksInterval;
        m_storeTasks->tick();
    }
}

std::vector<std::string> Daemon::readSeedAddresses()
{
    std::vector<std::string> addresses;
    if (!m_maintenanceStore) {
        return addresses;
    }
    if (const auto seeds = readSeeds(*m_maintenanceStore)) {
        for (const auto &[region, peers] : *seeds) {
            addresses.insert(addresses.end(), peers.begin(), peers.end());
        }
    }
    return addresses;
}

std::vector<std::string> Daemon::ownRegionPeerAddresses() const
{
    std::vector<std::string> addresses;
    for (const MemberList members = m_membership.members(); const MemberPointer &member : *members) {
        if (member->region == m_settings.region && member->state == MemberState::Up) {
            addresses.push_back(member->peerAddress);
        }
    }
    return addresses;
}

void Daemon::runMaintenance()
{
    m_admission->expire();
    ++m_maintenanceRuns;
    if (m_maintenanceRuns % MaintenanceRunsPerCheck == 0) {
        checkAnnouncementTimeout();
        logTargetChanges();
        probeTargetsWithStaleLoad();
    }
    if (m_maintenanceRuns % MaintenanceRunsPerIdleClose == 0) {
        m_peerChannels.closeIdle();
    }
}

void Daemon::checkAnnouncementTimeout()
{
    if (!m_admission->isPresent()) {
        // Clears the advertised address of the target until the next announcement sets it again.
        m_gossip->updateOwn([](Member &own) { own.targetAddress.clear(); });
        return;
    }
    if (m_clock.now() - m_lastAnnouncementAt.load() > m_settings.announceTimeout) {
        m_admission->markTargetDown("silent");
    }
}

void Daemon::logTargetChanges()
{
    for (const TargetChange &change : m_targets.drainChanges()) {
        EventLog::write(change.ejected ? LogLevel::Warning : LogLevel::Info,
                        change.ejected ? Event::TargetEjected : Event::TargetReturned,
                        { { "service", change.service }, { "target", change.daemon }, { "evidence", change.cause } });
    }
}

ProbeBudget<SteadyClock> &Daemon::probeBudget(const ServiceConfig &config)
{
    const std::scoped_lock lock(m_probeMutex);
    auto &budget = m_probeBudgets[config.service];
    if (!budget) {
        budget = std::make_unique<ProbeBudget<SteadyClock>>(m_clock, config.measuring);
    }
    budget->setBudget(config.measuring);
    return *budget;
}

// Only services to which this daemon has routed calls are probed, and at most one target of each per check.
void Daemon::probeTargetsWithStaleLoad()
{
    for (const ConfigTable::Config &config : m_configs.configs()) {
        if (!m_entry->hasRoutedCalls(config->service)) {
            continue;
        }
        const std::vector<TargetInfo> stale = m_targets.staleTargets(config->service, config->routing.staleAfter);
        if (!stale.empty()) {
            probe(stale.front(), *config);
        }
    }
}

void Daemon::probe(const TargetInfo &target, const ServiceConfig &config)
{
    const bool isRemote = target.region != m_settings.region;
    if (!probeBudget(config).tryAcquire(isRemote ? ProbeBytes : 0)) {
        m_metrics.add(Counter::ProbesSkipped);
        return;
    }
    m_metrics.add(Counter::Probes);
    m_metrics.add(Counter::ProbeBytes, ProbeBytes);
    m_metrics.add(Counter::ProbeBytesCrossRegion, isRemote ? ProbeBytes : 0);
    m_workers->run([this, target] {
        if (const std::optional<LoadReport> report = m_peerChannels.probe(target.peerAddress, target.service, ProbeTimeout)) {
            m_targets.observeLoad(target.service, target.daemon, *report);
        }
    });
}

} // namespace carobjunction
