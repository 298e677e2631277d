#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/durations.h>
#include <carobjunction/process/routefetchscheduler.h>
#include <carobjunction/process/vmdirectory.h>

#include "connection/datagramport.h"
#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/peerclients.h"
#include "connection/sleepfor.h"
#include "process/eventlog.h"
#include "process/gossipmessage.h"
#include "process/metrics.h"
#include "process/ownrecord.h"
#include "process/peerrecords.h"
#include "process/peerstate.h"
#include "process/reportsender.h"
#include "process/routefollower.h"
#include "process/storereachability.h"
#include "process/tablestore.h"
#include "process/vmsettings.h"
#include "process/vmtablereader.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace carobjunction
{

/**
 * Synchronises the routes and the directory of VMs with the store and the peers, and publishes the record of this VM.
 *
 * The store holds the routes, which a RouteFollower follows, and one row for each VM, which is written only by the OwnRecord of that VM.
 * Changed VM records are sent by datagram, because a watch would wake every daemon at every change. The VM table is read at the start and
 * then periodically, to recover updates of lost datagrams. Datagrams also carry load, crashes and version numbers; a daemon with an older
 * version fetches the state from a peer with a newer one. Versions only increase, so updates can be applied from any source in any order.
 */
template<typename Platform>
class ClusterSync
{
public:
    /** Name of the table that holds the VM records. */
    static constexpr const char *VmTableName = OwnRecord<typename Platform::Dialect>::TableName;
    /** Interval at which a daemon with outdated routes retries to select a peer to fetch them from. */
    static constexpr Duration PeerSelectionRetryInterval = std::chrono::milliseconds(50);
    /** Age up to which a crash or its clearance is included in each report, because datagrams may be lost. */
    static constexpr Duration MaxCrashReportAge = std::chrono::seconds(8);
    static constexpr size_t MaxCrashReports = 24;

    ClusterSync(asio::io_context &loop,
                const VmSettings &settings,
                VmDirectory &directory,
                CrashHistory &crashHistory,
                Metrics &metrics,
                const std::shared_ptr<BodyBudget> &bodyBudget)
        : m_loop(loop)
        , m_settings(settings)
        , m_directory(directory)
        , m_crashHistory(crashHistory)
        , m_metrics(metrics)
        , m_store(loop, parseEndpoint(settings.storeAddress).value())
        , m_storeReachability(metrics)
        , m_routeFollower(loop, m_store, m_storeReachability, metrics)
        , m_peerClients(loop, bodyBudget)
        , m_ownRecord(loop, settings, directory, m_store, m_storeReachability, m_peerClients)
        , m_peerRecords(loop,
                        directory,
                        m_peerClients,
                        m_ownRecord.record().address,
                        [this](const std::string &text) {
                            applyPeerState(text);
                            m_ownRecord.recover();
                        })
        , m_vmTableReader(loop, directory, m_store, m_storeReachability, m_ownRecord, m_peerRecords)
        , m_reportSender(loop, directory, metrics)
    {
        m_store.setEpochHandler([this](uint64_t previousEpoch, uint64_t epoch) { onStoreRestored(previousEpoch, epoch); });
    }

    /**
     * Opens the datagram port and starts the synchronisation tasks.
     * @param report  returns the load of this VM's target
     * @param restoreBackend  called with the backend server's record that a previous run of this daemon stored, or null if there is none
     */
    void start(std::function<TargetReport()> report, std::function<void(const BackendRecord *)> restoreBackend)
    {
        const Tcp::endpoint address = parseEndpoint(m_settings.peerAddress).value();
        ErrorCode error;
        m_datagramPort = DatagramPort::open(
            m_loop, Udp::endpoint(address.address(), address.port()), [this](std::string_view datagram) { onDatagram(datagram); }, error);
        if (!m_datagramPort) {
            EventLog::write(LogLevel::Error, Event::PortUnavailable, { { "address", m_settings.peerAddress + "/udp" }, { "detail", error.message() } });
        }
        m_routeFollower.start([this] { m_reportSender.reportNow(); });
        m_vmTableReader.start([this] { m_reportSender.announceRecord(); });
        m_ownRecord.start({ [this] { m_reportSender.announceRecord(); }, std::move(restoreBackend) });
        m_reportSender.start(m_datagramPort,
                             { std::move(report),
                               [this](const TargetReport &load) { return message(load); },
                               [this]() -> const VmRecord & {
                                   return m_ownRecord.record();
                               } });
    }

    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routeFollower.routes();
    }

    /** @return time since the routes in force were known to be the newest, empty before the first routes */
    std::optional<Duration> routeConfirmationAge() const
    {
        return m_routeFollower.confirmationAge();
    }

    PeerClients &peers()
    {
        return m_peerClients;
    }

    /** Sets the state of this VM's backend server in the VM's record and publishes the record. */
    void setBackend(const BackendRecord &backend)
    {
        m_ownRecord.setBackend(backend);
    }

    /** Publishes that this daemon is stopping. */
    void announceStop()
    {
        m_ownRecord.announceStop();
    }

    /** @return the record of this VM */
    OwnRecord<typename Platform::Dialect> &ownRecord()
    {
        return m_ownRecord;
    }

    /** Sends a report to all daemons immediately, without waiting for the next interval. */
    void reportNow()
    {
        m_reportSender.reportNow();
    }

    /**
     * @param daemon  daemon whose record is queried, for StatePart::HeldRecord
     * @return the JSON text of the requested part of the state
     */
    std::string encodeState(StatePart part, const std::string &daemon) const
    {
        PeerState state;
        const bool hasRoutes = part == StatePart::All || part == StatePart::Routes;
        state.routes = hasRoutes ? m_routeFollower.text() : "";
        for (const auto &[name, vm] : m_directory.all()) {
            const bool isQueried
                = part == StatePart::All || (part == StatePart::OwnRecord && m_directory.isSelf(name)) || (part == StatePart::HeldRecord && name == daemon);
            if (isQueried) {
                state.records.push_back(part == StatePart::HeldRecord ? vm.recordWithLeave() : vm.record);
            }
        }
        return state.encode();
    }

private:
    /** Handles that the store has returned from an older copy: versions read before are no longer valid, and this VM's row may be lost. */
    void onStoreRestored(uint64_t previousEpoch, uint64_t epoch)
    {
        m_metrics.add(Counter::StoreRestores);
        EventLog::write(LogLevel::Warning, Event::StoreRestored, { { "previousEpoch", std::to_string(previousEpoch) }, { "epoch", std::to_string(epoch) } });
        m_routeFollower.onStoreRestored();
        m_ownRecord.writeAgain();
    }

    /** @return age of the last confirmation of the routes, empty if it is too old to be of use to a peer */
    std::optional<Duration> reportableConfirmationAge() const
    {
        const auto age = m_routeFollower.confirmationAge();
        return age && *age < RouteConfirmation::MaxAge ? age : std::nullopt;
    }

    GossipMessage message(const TargetReport &load) const
    {
        GossipMessage message;
        const VmRecord &own = m_ownRecord.record();
        message.daemon = own.daemon;
        message.incarnation = own.incarnation;
        message.revision = own.revision;
        message.peerAddress = own.address;
        message.configVersion = m_routeFollower.version();
        message.confirmationAge = reportableConfirmationAge();
        message.storeEpoch = m_store.epoch();
        message.report = load;
        const TimePoint oldest = SteadyClock().now() - MaxCrashReportAge;
        message.crashes = m_crashHistory.reportsSince(oldest, MaxCrashReports);
        message.clearedFingerprints = m_crashHistory.clearedSince(oldest, MaxCrashReports);
        return message;
    }

    /**
     * @return whether the sender of @p message has seen a restore of the store that this daemon has not. Its confirmations do not count then, so that
     *         this daemon asks the store and sees the restore as well.
     */
    bool hasSeenLaterRestore(const GossipMessage &message) const
    {
        const auto epoch = m_store.epoch();
        return message.storeEpoch && epoch && *message.storeEpoch > *epoch;
    }

    void onDatagram(std::string_view datagram)
    {
        m_metrics.add(Counter::GossipBytesReceived, datagram.size());
        const auto message = GossipMessage::decode(datagram);
        if (!message || m_directory.isSelf(message->daemon)) {
            return;
        }
        const TimePoint now = SteadyClock().now();
        m_peerRecords.onReport(*message);
        m_directory.onMessageReceived(message->daemon);
        m_directory.onLoadReport(message->daemon, message->report, now);
        for (const CrashReport &crash : message->crashes) {
            m_crashHistory.add(crash, now);
        }
        for (const uint64_t fingerprint : message->clearedFingerprints) {
            m_crashHistory.onAnswered(fingerprint, now);
        }
        if (message->confirmationAge && !hasSeenLaterRestore(*message)) {
            m_routeFollower.onPeerConfirmation(message->configVersion, *message->confirmationAge);
        }
        if (message->configVersion > m_routeFollower.version()) {
            const VmState *vm = m_directory.find(message->daemon);
            m_routeFetchScheduler.onNewerRoutesAdvertised(
                { message->peerAddress, message->configVersion, vm != nullptr && m_directory.isSameRegion(vm->record) }, now);
            if (!std::exchange(m_isFetchingRoutes, true)) {
                spawnDetached(m_loop, "catch-up-with-routes", fetchNewerRoutes(), [this] { m_isFetchingRoutes = false; });
            }
        }
    }

    /** Fetches routes from peers as long as a peer has reported a newer version. */
    Task<void> fetchNewerRoutes()
    {
        while (m_routeFetchScheduler.hasNewerRoutes(m_routeFollower.version())) {
            const auto address = m_routeFetchScheduler.source(SteadyClock().now());
            if (!address) {
                co_await sleepFor(m_loop, PeerSelectionRetryInterval);
                continue;
            }
            if (const auto state = co_await m_peerClients.fetchState(*address, StatePart::Routes)) {
                applyPeerState(*state);
            }
            // Each report of a newer version leads to one fetch from its sender, even if the fetched routes can't be decoded.
            m_routeFetchScheduler.onQueried(*address);
        }
    }

    /** Applies the VM records and routes of a state text fetched from a peer. */
    void applyPeerState(const std::string &text)
    {
        std::string errorMessage;
        const auto state = PeerState::decode(text, &errorMessage);
        if (!state) {
            EventLog::write(LogLevel::Warning, Event::ConfigRejected, { { "source", "peer" }, { "reason", errorMessage } });
            return;
        }
        for (const VmRecord &record : state->records) {
            applyPeerRecord(record);
        }
        if (!state->routes.empty()) {
            m_routeFollower.apply(state->routes, "peer");
        }
    }

    void applyPeerRecord(const VmRecord &record)
    {
        if (m_directory.isSelf(record.daemon)) {
            m_ownRecord.reconcile(record);
        } else {
            m_peerRecords.apply(record, RecordSource::Peer);
        }
    }

    asio::io_context &m_loop;
    const VmSettings &m_settings;
    VmDirectory &m_directory;
    CrashHistory &m_crashHistory;
    Metrics &m_metrics;
    TableStore<typename Platform::Dialect> m_store;
    StoreReachability m_storeReachability;
    RouteFollower<Platform> m_routeFollower;
    PeerClients m_peerClients;
    OwnRecord<typename Platform::Dialect> m_ownRecord;
    PeerRecords m_peerRecords;
    VmTableReader<typename Platform::Dialect> m_vmTableReader;
    std::shared_ptr<DatagramPort> m_datagramPort;
    bool m_isFetchingRoutes = false;
    RouteFetchScheduler m_routeFetchScheduler;
    ReportSender m_reportSender;
};

} // namespace carobjunction
