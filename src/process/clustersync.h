#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/durations.h>
#include <carobjunction/process/routefetchscheduler.h>
#include <carobjunction/process/vmdirectory.h>

#include "connection/boundedjson.h"
#include "connection/datagramport.h"
#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/peerclients.h"
#include "process/backoff.h"
#include "process/eventlog.h"
#include "process/gossipmessage.h"
#include "process/metrics.h"
#include "process/reportsender.h"
#include "process/routefollower.h"
#include "process/storereachability.h"
#include "process/tablestore.h"
#include "process/vmrecordcodec.h"
#include "process/vmrows.h"
#include "process/vmsettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace carobjunction
{

/**
 * Synchronises the routes and the directory of VMs with the store and the peers, and publishes the record of this VM.
 *
 * The store holds the routes and one row for each VM, which is written only by the daemon of that VM. Each daemon follows the
 * routes by a RouteFollower. Changed VM records are sent by datagram instead, because a watch would wake every daemon at every change. The VM table is
 * read at the start and then periodically, to recover updates of lost datagrams. Datagrams also carry load, crashes and version
 * numbers; a daemon with an older version fetches the state from a peer with a newer one. Versions only increase, so updates can be
 * applied from any source in any order.
 */
template<typename Platform>
class ClusterSync
{
public:
    /** Name of the table that holds the VM records. */
    static constexpr const char *VmTableName = "carobjunction-vms";
    /**
     * Mean interval between two reads of the VM table. Each interval is varied by 25 % so that daemons don't read at the same time. The
     * interval is long because changes arrive from datagrams and peers, and each call to the store is billed.
     */
    static constexpr Duration RefreshInterval = std::chrono::seconds(60);
    /**
     * Delay between the first and the second read of the VM table. Daemons that start together have written their records by then. The
     * delay is repeated until the record of this VM is stored.
     */
    static constexpr Duration SecondReadDelay = std::chrono::seconds(2);
    /** Time without a report after which a VM that has no row in the VM table is removed from the directory. */
    static constexpr Duration MissingRowTimeout = std::chrono::seconds(10);
    /** Delay of the first write of the record, unless the record changes earlier; the backend server's first heartbeat changes it. */
    static constexpr Duration FirstWriteDelay = std::chrono::seconds(3);
    /** Polling interval of waitUntilStored(). */
    static constexpr Duration StoredCheckInterval = std::chrono::milliseconds(5);
    /** Delay before a record is fetched from a peer, because a later datagram usually delivers it. */
    static constexpr Duration RecordFetchDelay = std::chrono::milliseconds(500);
    /** Interval at which a daemon with outdated routes retries to select a peer to fetch them from. */
    static constexpr Duration PeerSelectionRetryInterval = std::chrono::milliseconds(50);
    /** Age up to which a crash is included in each report, because datagrams may be lost. */
    static constexpr Duration MaxCrashReportAge = std::chrono::seconds(8);
    static constexpr size_t MaxCrashReports = 24;
    /** Largest assumed step back of this VM's clock, in milliseconds, since the start of a backend server of a previous daemon run. */
    static constexpr uint64_t MaxClockSetbackMs = uint64_t { 24 } * 3'600'000;
    /** Size and depth limits of the state fetched from a peer. They allow far more VMs than the largest supported system has. */
    static constexpr JsonLimits PeerStateLimits { size_t { 64 } << 20U, 4 };

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
        , m_reportSender(loop, directory, metrics)
        , m_writeTimer(loop)
    {
        m_record.daemon = settings.daemon;
        m_record.incarnation = unixTimeMs();
        m_record.revision = 1;
        m_record.address = settings.announcedAddress.empty() ? settings.peerAddress : settings.announcedAddress;
        m_record.dataCentre = settings.dataCentre;
        m_record.region = settings.region;
        m_directory.merge(m_record);
    }

    /**
     * Opens the datagram port and starts the synchronisation tasks.
     * @param report  returns the load of this VM's target
     * @param restoreBackend  called with the backend server's record that a previous run of this daemon stored, or null if there is none
     */
    void start(std::function<TargetReport()> report, std::function<void(const BackendRecord *)> restoreBackend)
    {
        m_restoreBackend = std::move(restoreBackend);
        const Tcp::endpoint address = parseEndpoint(m_settings.peerAddress).value();
        ErrorCode error;
        m_datagramPort = DatagramPort::open(
            m_loop, Udp::endpoint(address.address(), address.port()), [this](std::string_view datagram) { onDatagram(datagram); }, error);
        if (!m_datagramPort) {
            EventLog::write(LogLevel::Error, Event::PortUnavailable, { { "address", m_settings.peerAddress + "/udp" }, { "detail", error.message() } });
        }
        m_routeFollower.start([this] { m_reportSender.reportNow(); });
        spawnSupervised(m_loop, "refresh-vms", [this] { return refreshVms(); });
        spawnSupervised(m_loop, "write-record", [this] { return writeRecord(); });
        m_reportSender.start(m_datagramPort,
                             { std::move(report),
                               [this](const TargetReport &load) { return message(load); },
                               [this]() -> const VmRecord & {
                                   return m_record;
                               } });
    }

    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routeFollower.routes();
    }

    PeerClients &peers()
    {
        return m_peerClients;
    }

    /** Sets the state of this VM's backend server in the VM's record and publishes the record. */
    void setBackend(const BackendRecord &backend)
    {
        m_record.backend = backend;
        onRecordChanged();
    }

    /** Publishes that this daemon is stopping. */
    void announceStop()
    {
        m_record.stopping = true;
        onRecordChanged();
    }

    /** Waits until the current record of this VM is stored, for @p limit at most. */
    Task<void> waitUntilStored(Duration limit)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while ((m_isWritePending || m_isWriting) && SteadyClock().now() < end) {
            co_await sleepFor(StoredCheckInterval);
        }
    }

    /** Sends a report to all daemons immediately, without waiting for the next interval. */
    void reportNow()
    {
        m_reportSender.reportNow();
    }

    /** @return the JSON text of the requested part of the state, for a peer whose state is older */
    std::string encodeState(StatePart part) const
    {
        nlohmann::json state { { "routes", part == StatePart::OwnRecord ? "" : m_routeFollower.text() }, { "vms", nlohmann::json::array() } };
        for (const auto &[daemon, vm] : m_directory.all()) {
            if (part == StatePart::All || (part == StatePart::OwnRecord && m_directory.isSelf(daemon))) {
                state["vms"].push_back(VmRecordCodec::encode(vm.record));
            }
        }
        return state.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }

private:
    static uint64_t unixTimeMs()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    Task<void> sleepFor(Duration time)
    {
        asio::steady_timer timer(m_loop, time);
        ErrorCode ignored; // nothing cancels this timer
        co_await timer.async_wait(redirectError(ignored));
    }

    /**
     * Reads the VM table at the start, after the record of this VM is stored, and then periodically. If two daemons start at the same
     * time, the second read of the daemon that stores its record last finds the record of the first daemon, so that it can send its reports to
     * the first daemon.
     */
    Task<void> refreshVms()
    {
        Backoff backoff;
        int reads = 0;
        while (true) {
            const auto rows = co_await m_store.scan(VmTableName);
            if (!rows) {
                m_storeReachability.onFailure(VmTableName);
                co_await sleepFor(backoff.next());
                continue;
            }
            m_storeReachability.onResponse();
            backoff.reset();
            applyVmRows(*rows);
            if (++reads > 1) {
                co_await sleepFor(withJitter(RefreshInterval));
                continue;
            }
            m_reportSender.announceRecord();
            do {
                co_await sleepFor(SecondReadDelay);
            } while (!m_isRecordStored);
        }
    }

    /** @return @p time varied randomly by up to 25 % */
    Duration withJitter(Duration time)
    {
        return scaled(time, std::uniform_real_distribution<double>(0.75, 1.25)(m_random));
    }

    /** Applies the rows of the VM table, and removes VMs that have neither a row nor a recent report. */
    void applyVmRows(const TableRows &rows)
    {
        const VmRows read = readVmRows(rows);
        std::set<std::string> daemonsWithRow(read.unreadable.begin(), read.unreadable.end());
        logUnreadableRows(read);
        if (daemonsWithRow.count(m_record.daemon) != 0) {
            replaceUnreadableOwnRow(rows);
        }
        for (const VmRow &row : read.rows) {
            if (!row.isSuperseded || m_directory.isSelf(row.record.daemon)) {
                daemonsWithRow.insert(row.record.daemon);
                applyVmRow(row);
            }
        }
        if (daemonsWithRow.count(m_record.daemon) == 0) {
            m_restoreBackend(nullptr);
        }
        const TimePoint now = SteadyClock().now();
        std::vector<VmRecord> expired;
        for (const auto &[daemon, vm] : m_directory.all()) {
            if (daemonsWithRow.count(daemon) == 0 && !m_directory.isSelf(daemon) && now - vm.reportedAt > MissingRowTimeout) {
                expired.push_back(vm.record);
            }
        }
        for (const VmRecord &record : expired) {
            removeVm(record.daemon, record.incarnation, "no row in the VM table and no recent report of its daemon");
        }
    }

    /** Logs an unreadable row only when it first appears, because it stays in the table until its writer replaces it. */
    void logUnreadableRows(const VmRows &read)
    {
        for (size_t i = 0; i < read.unreadable.size(); ++i) {
            if (m_unreadableKeys.count(read.unreadable[i]) == 0) {
                EventLog::write(LogLevel::Warning,
                                Event::ConfigRejected,
                                { { "table", VmTableName }, { "key", read.unreadable[i] }, { "reason", "unreadable row: " + read.errors[i] } });
            }
        }
        m_unreadableKeys = { read.unreadable.begin(), read.unreadable.end() };
    }

    /** Overwrites an unreadable row under the key of this daemon, which another writer stored, like a record of a previous run. */
    void replaceUnreadableOwnRow(const TableRows &rows)
    {
        for (const TableRow &row : rows.rows) {
            if (row.key == m_record.daemon) {
                rewriteIfOverwritten(row.version);
            }
        }
        m_restoreBackend(nullptr);
    }

    /** Writes this VM's row again if another writer replaced it after this daemon's last write. @param version  current version of the row */
    void rewriteIfOverwritten(uint64_t version)
    {
        const bool isOverwritten = m_isRecordStored && !m_isWriting && version > m_rowVersion;
        m_rowVersion = version;
        if (isOverwritten) {
            m_isWritePending = true;
            m_writeTimer.cancel();
        }
    }

    void removeVm(const std::string &daemon, uint64_t incarnation, const char *reason)
    {
        const VmState *vm = m_directory.find(daemon);
        const std::string address = vm == nullptr ? "" : vm->record.address;
        if (m_directory.remove(daemon, incarnation)) {
            m_peerClients.closeConnections(address);
            EventLog::write(LogLevel::Info, Event::MemberRemoved, { { "daemon", daemon }, { "address", address }, { "reason", reason } });
        }
    }

    /** Removes failed VMs whose address is now used by @p currentDaemon. Peers may still report records of the failed VMs. */
    void removeVmsReplacedBy(const std::string &address, const std::string &currentDaemon)
    {
        for (const VmRecord &record : m_directory.findOthersByAddress(address, currentDaemon)) {
            removeVm(record.daemon, record.incarnation, "its address is now used by another daemon");
        }
    }

    void applyVmRow(const VmRow &row)
    {
        if (m_directory.isSelf(row.record.daemon)) {
            rewriteIfOverwritten(row.version);
            reconcileOwnRecord(row.record);
            return;
        }
        applyVmRecord(row.record, "store");
    }

    /**
     * Handles a record of this VM that was read from the store or a peer. It may stem from a previous run of this daemon, whose
     * incarnation can be higher than the present one if the clock has been set back since.
     */
    void reconcileOwnRecord(const VmRecord &stored)
    {
        const bool isFromThisRun = stored.incarnation == m_record.incarnation;
        if (isFromThisRun && !stored.isNewerThan(m_record)) {
            return;
        }
        if (!isFromThisRun) {
            // A start time more than MaxClockSetbackMs in the future is not plausible. Restoring it would make every later
            // process of the backend server appear older than the restored process.
            const bool isPlausibleStartTime = stored.backend.startedAtMs <= unixTimeMs() + MaxClockSetbackMs;
            m_restoreBackend(isPlausibleStartTime ? &stored.backend : nullptr);
        }
        // A newer record with the incarnation of this run was stored by another writer. In either case the incarnation is raised above
        // the stored one, so that other daemons accept the next record of this daemon as newer.
        if (stored.isNewerThan(m_record)) {
            m_record.incarnation = stored.incarnation + 1;
            onRecordChanged();
        }
    }

    /** Merges the record of another VM into the directory, and logs the change if the record is newer. */
    void applyVmRecord(const VmRecord &record, const char *source)
    {
        if (record.address == m_record.address) {
            return; // the record of a failed VM whose address now belongs to this VM
        }
        if (m_directory.merge(record)) {
            EventLog::write(LogLevel::Info,
                            Event::MemberChanged,
                            { { "daemon", record.daemon },
                              { "incarnation", std::to_string(record.incarnation) },
                              { "revision", std::to_string(record.revision) },
                              { "backend", record.backend.id },
                              { "service", record.backend.service },
                              { "state", std::string(nameOf(record.backend.state)) },
                              { "stopping", record.stopping ? "yes" : "no" },
                              { "source", source } });
        }
    }

    void onRecordChanged()
    {
        ++m_record.revision;
        m_directory.merge(m_record);
        m_isWritePending = true;
        m_writeTimer.cancel();
        m_reportSender.announceRecord();
    }

    /** Writes the record of this VM to the store whenever it changes, and retries until the write succeeds. */
    Task<void> writeRecord()
    {
        Backoff backoff;
        m_writeTimer.expires_after(FirstWriteDelay);
        m_isWriting = false; // a previous run of this task may have failed during a write
        ErrorCode firstWaitError; // ignored: a change of the record cancels the timer
        co_await m_writeTimer.async_wait(redirectError(firstWaitError));
        m_isWritePending = true;
        while (true) {
            if (!m_isWritePending) {
                m_writeTimer.expires_at(TimePoint::max());
                ErrorCode ignored; // a pending write cancels the timer
                co_await m_writeTimer.async_wait(redirectError(ignored));
                continue;
            }
            m_isWritePending = false;
            m_isWriting = true;
            const auto result = co_await m_store.commit(ownRecordWrite());
            m_isWriting = false;
            if (result && result->isApplied) {
                m_storeReachability.onResponse();
                m_rowVersion = std::max(m_rowVersion, result->version);
                m_isRecordStored = true;
                backoff.reset();
                continue;
            }
            m_isWritePending = true;
            if (result) {
                onWriteConflict(*result);
            } else {
                m_storeReachability.onFailure(VmTableName);
            }
            co_await sleepFor(backoff.next());
        }
    }

    /**
     * @return the conditional write of this VM's record. The condition on the row's version keeps a delayed write, whose
     *         response was lost, from overwriting a later write.
     */
    TableChange ownRecordWrite() const
    {
        TableChange change;
        change.conditions.push_back({ VmTableName, m_record.daemon, "", m_rowVersion });
        change.puts.push_back({ VmTableName, m_record.daemon, VmRecordCodec::encode(m_record) });
        return change;
    }

    /** Adopts the current version of this VM's row after a conditional write was rejected. */
    void onWriteConflict(const TableChangeResult &result)
    {
        m_rowVersion = 0;
        for (const TableRow &row : result.current) {
            if (row.key != m_record.daemon) {
                continue;
            }
            m_rowVersion = row.version;
            if (const auto stored = VmRecordCodec::decode(row.value)) {
                reconcileOwnRecord(*stored);
            }
        }
    }

    GossipMessage message(const TargetReport &load) const
    {
        GossipMessage message;
        message.daemon = m_record.daemon;
        message.incarnation = m_record.incarnation;
        message.revision = m_record.revision;
        message.peerAddress = m_record.address;
        message.configVersion = m_routeFollower.version();
        message.confirmationAge = m_routeFollower.confirmationAge();
        message.report = load;
        message.crashes = m_crashHistory.reportsSince(SteadyClock().now() - MaxCrashReportAge, MaxCrashReports);
        return message;
    }

    void onDatagram(std::string_view datagram)
    {
        m_metrics.add(Counter::GossipBytesReceived, datagram.size());
        const auto message = GossipMessage::decode(datagram);
        if (!message || m_directory.isSelf(message->daemon)) {
            return;
        }
        const TimePoint now = SteadyClock().now();
        if (message->record && message->record->daemon == message->daemon) {
            applyVmRecord(*message->record, "datagram");
        }
        removeVmsReplacedBy(message->peerAddress, message->daemon);
        m_directory.onMessageReceived(message->daemon);
        m_directory.onLoadReport(message->daemon, message->report, now);
        for (const CrashReport &crash : message->crashes) {
            m_crashHistory.add(crash, now);
        }
        if (message->confirmationAge) {
            m_routeFollower.onPeerConfirmation(message->configVersion, *message->confirmationAge);
        }
        if (lacksRecord(*message) && !std::exchange(m_isFetchingRecord, true)) {
            spawnDetached(m_loop, "fetch-record", fetchRecord(*message), [this] { m_isFetchingRecord = false; });
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

    /** @return whether the sender of @p message has a newer record of its VM than this daemon */
    bool lacksRecord(const GossipMessage &message) const
    {
        const VmState *vm = m_directory.find(message.daemon);
        return vm == nullptr || std::pair(vm->record.incarnation, vm->record.revision) < std::pair(message.incarnation, message.revision);
    }

    /**
     * Fetches the record of a peer's VM from that peer. If the directory holds no other VM, the store has returned no records yet, so
     * all records are fetched.
     */
    Task<void> fetchRecord(GossipMessage sender)
    {
        co_await sleepFor(RecordFetchDelay);
        if (lacksRecord(sender)) {
            const StatePart part = m_directory.all().size() < 2 ? StatePart::All : StatePart::OwnRecord;
            if (const auto state = co_await m_peerClients.fetchState(sender.peerAddress, part)) {
                applyPeerState(*state);
            }
        }
    }

    /** Fetches routes from peers as long as a peer has reported a newer version. */
    Task<void> fetchNewerRoutes()
    {
        while (m_routeFetchScheduler.hasNewerRoutes(m_routeFollower.version())) {
            const auto address = m_routeFetchScheduler.source(SteadyClock().now());
            if (!address) {
                co_await sleepFor(PeerSelectionRetryInterval);
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
        const auto state = boundedjson::decode(
            [&text] {
                auto json = boundedjson::parse(text, PeerStateLimits);
                json.at("vms");
                json.at("routes").get_ref<const std::string &>();
                return json;
            },
            &errorMessage);
        if (!state) {
            EventLog::write(LogLevel::Warning, Event::ConfigRejected, { { "source", "peer" }, { "reason", errorMessage } });
            return;
        }
        for (const auto &item : state->at("vms")) {
            // Unreadable records are skipped. They are logged when their rows are read from the store.
            if (item.is_string()) {
                applyPeerRecord(item.template get_ref<const std::string &>());
            }
        }
        const auto &routes = state->at("routes").template get_ref<const std::string &>();
        if (!routes.empty()) {
            m_routeFollower.apply(routes, "peer");
        }
    }

    void applyPeerRecord(const std::string &text)
    {
        const auto record = VmRecordCodec::decode(text);
        if (record && m_directory.isSelf(record->daemon)) {
            reconcileOwnRecord(*record);
        } else if (record) {
            applyVmRecord(*record, "peer");
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
    std::shared_ptr<DatagramPort> m_datagramPort;
    std::function<void(const BackendRecord *)> m_restoreBackend;
    VmRecord m_record;
    uint64_t m_rowVersion = 0; /**< Latest known version of this VM's row; 0 if there is none. */
    bool m_isWritePending = false; /**< The record has changed since its last write. */
    bool m_isWriting = false;
    bool m_isRecordStored = false;
    std::set<std::string> m_unreadableKeys; /**< Keys of the rows that could not be decoded at the last read of the VM table. */
    bool m_isFetchingRecord = false;
    bool m_isFetchingRoutes = false;
    RouteFetchScheduler m_routeFetchScheduler;
    ReportSender m_reportSender;
    asio::steady_timer m_writeTimer;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
