#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/durations.h>
#include <carobjunction/process/routescatchup.h>
#include <carobjunction/process/vmdirectory.h>
#include <carobjunction/version/routetable.h>

#include "connection/boundedjson.h"
#include "connection/datagramport.h"
#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/peerclients.h"
#include "process/eventlog.h"
#include "process/gossipmessage.h"
#include "process/metrics.h"
#include "process/reportsender.h"
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
 * Keeps the routes and the directory of VMs up to date, and tells the other daemons of this VM.
 *
 * The store holds the routes and one row for each VM, which only its own daemon writes. Changed routes arrive by watching their
 * table. Changed VM records are sent to the other daemons by datagrams, since a watch would wake every daemon at every change; the
 * table is read at the start and from time to time, for what the datagrams have missed. Datagrams also carry load, crashes and version
 * numbers; a daemon that is behind fetches the state from the peer that is ahead. Versions only grow, so the source of a change makes no
 * difference.
 */
template<typename Platform>
class ClusterSync
{
public:
    /** Table of the VM records. */
    static constexpr const char *VmTable = "carobjunction-vms";
    /**
     * Time between two reads of the VM table, varied by a quarter so that daemons don't read in step. Long, since datagrams and peers bring
     * what changes, and each call to the store is billed.
     */
    static constexpr Duration RefreshInterval = std::chrono::seconds(60);
    /** Time after the start until the VM table is read again, if the own record is stored: daemons that start together write before. */
    static constexpr Duration SecondReadDelay = std::chrono::seconds(2);
    /** Silence after which a VM without a row is forgotten. */
    static constexpr Duration MissingRowTimeout = std::chrono::seconds(10);
    /** Longest wait of one watch of the store. Silent connections are noticed by keep-alive probes before. */
    static constexpr Duration MaxWatchDuration = std::chrono::seconds(28);
    /** Time for which the first write of the record waits for the backend server's first heartbeat, which changes the record. */
    static constexpr Duration FirstWriteDelay = std::chrono::seconds(3);
    /** Interval at which waitUntilStored() looks. */
    static constexpr Duration StoredCheckInterval = std::chrono::milliseconds(5);
    static constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(1500);
    /** Time for which further datagrams are given to bring a record before a peer is asked for it. */
    static constexpr Duration RecordFetchDelay = std::chrono::milliseconds(500);
    /** Interval at which a daemon without the newest routes looks for a peer to ask. */
    static constexpr Duration CatchUpRetryInterval = std::chrono::milliseconds(50);
    /** Age up to which crashes are reported again, as datagrams may be lost. */
    static constexpr Duration MaxCrashReportAge = std::chrono::seconds(8);
    static constexpr size_t MaxCrashReports = 24;
    /** Time in milliseconds by which the clock of this VM may have gone back since a backend server of a former start was born. */
    static constexpr uint64_t MaxClockSetbackMs = uint64_t { 24 } * 3'600'000;
    /** State of a peer that is read: routes and records of far more VMs than the design's largest size has. */
    static constexpr JsonBounds PeerStateBounds { size_t { 64 } << 20U, 4 };

    ClusterSync(asio::io_context &loop,
                const VmSettings &settings,
                VmDirectory &directory,
                CrashHistory &crashes,
                Metrics &metrics,
                const std::shared_ptr<BodyBudget> &bodies)
        : m_loop(loop)
        , m_settings(settings)
        , m_directory(directory)
        , m_crashes(crashes)
        , m_metrics(metrics)
        , m_store(loop, toEndpoint(settings.storeAddress).value())
        , m_peers(loop, bodies)
        , m_reports(loop, directory, metrics)
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
     * @param report  gives the load of this VM's target
     * @param recall  takes the backend server's record from before this start; null if there is none
     */
    void start(std::function<TargetReport()> report, std::function<void(const BackendRecord *)> restoreBackend)
    {
        m_restoreBackend = std::move(restoreBackend);
        const Tcp::endpoint address = toEndpoint(m_settings.peerAddress).value();
        ErrorCode error;
        m_datagrams = DatagramPort::open(
            m_loop, Udp::endpoint(address.address(), address.port()), [this](std::string_view datagram) { onDatagram(datagram); }, error);
        if (!m_datagrams) {
            EventLog::write(LogLevel::Error, Event::PortUnavailable, { { "address", m_settings.peerAddress + "/udp" }, { "detail", error.message() } });
        }
        spawnEndless(m_loop, "follow-routes", [this] { return watchRoutes(); });
        spawnEndless(m_loop, "refresh-vms", [this] { return refreshVms(); });
        spawnEndless(m_loop, "write-record", [this] { return writeRecord(); });
        m_reports.start(m_datagrams,
                        { std::move(report),
                          [this](const TargetReport &load) { return message(load); },
                          [this]() -> const VmRecord & {
                              return m_record;
                          } });
    }

    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routes;
    }

    PeerClients &peers()
    {
        return m_peers;
    }

    /** Takes the state of this VM's backend server and tells the others. */
    void setBackend(const BackendRecord &backend)
    {
        m_record.backend = backend;
        onRecordChanged();
    }

    /** Tells the others that this daemon is about to end. */
    void announceStop()
    {
        m_record.stopping = true;
        onRecordChanged();
    }

    /** Waits until the store has the record of this VM, for @p limit at most. */
    Task<void> waitUntilStored(Duration limit)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while ((m_isWritePending || m_isWriting) && SteadyClock().now() < end) {
            co_await sleepFor(StoredCheckInterval);
        }
    }

    /** Sends a report to all daemons at once. */
    void reportNow()
    {
        m_reports.reportNow();
    }

    /** @return what a daemon that is behind asks for, as text */
    std::string encodeState(StatePart part) const
    {
        nlohmann::json state { { "routes", part == StatePart::OwnRecord ? "" : m_routesText }, { "vms", nlohmann::json::array() } };
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
        ErrorCode ignored; // the timer is not cancelled
        co_await timer.async_wait(into(ignored));
    }

    /** @return time to wait after a failure, so that daemons don't call again in step */
    Duration jitteredBackoff(Duration &limit)
    {
        const Duration wait = limit;
        limit = std::min<Duration>(limit * 2, MaxBackoff);
        return scaled(wait, std::uniform_real_distribution<double>(0.5, 1)(m_random));
    }

    void onStoreFailure(const std::string &table)
    {
        m_metrics.add(Counter::StoreFailures);
        const std::string reason(nameOf(LastReason<TableStoreError>::get()));
        m_metrics.set(Gauge::StoreReachable, 0);
        if (std::exchange(m_isStoreReachable, false)) {
            EventLog::write(LogLevel::Warning, Event::StoreUnavailable, { { "table", table }, { "reason", reason } });
        }
    }

    void onStoreResponse()
    {
        m_metrics.set(Gauge::StoreReachable, 1);
        if (!std::exchange(m_isStoreReachable, true)) {
            EventLog::write(LogLevel::Info, Event::StoreRecovered, {});
        }
    }

    /** Reads the routes and then follows their changes. */
    Task<void> watchRoutes()
    {
        std::optional<uint64_t> version;
        Duration backoffLimit = InitialBackoff;
        while (true) {
            std::optional<TableRows> rows;
            if (version) {
                rows = co_await m_store.watch(Platform::ConfigTable, *version, MaxWatchDuration);
            } else {
                rows = co_await m_store.scan(Platform::ConfigTable);
            }
            if (!rows) {
                if (LastReason<TableStoreError>::get() == TableStoreError::HistoryLost) {
                    version.reset();
                    continue;
                }
                onStoreFailure(Platform::ConfigTable);
                co_await sleepFor(jitteredBackoff(backoffLimit));
                continue;
            }
            onStoreResponse();
            backoffLimit = InitialBackoff;
            version = rows->version;
            for (const TableRow &row : rows->rows) {
                if (row.key == Platform::ConfigKey && row.isUnreadable) {
                    EventLog::write(LogLevel::Error, Event::ConfigRejected, { { "source", "store" }, { "reason", "the row has another form" } });
                } else if (row.key == Platform::ConfigKey && !row.isDeleted) {
                    applyRoutes(row.value, "store");
                }
            }
        }
    }

    /**
     * Reads the VM table at the start, after the own record is stored, and from time to time. Of two daemons that start together, the
     * one that writes later sees the record of the other, and tells it of itself.
     */
    Task<void> refreshVms()
    {
        Duration backoffLimit = InitialBackoff;
        int reads = 0;
        while (true) {
            const auto rows = co_await m_store.scan(VmTable);
            if (!rows) {
                onStoreFailure(VmTable);
                co_await sleepFor(jitteredBackoff(backoffLimit));
                continue;
            }
            onStoreResponse();
            backoffLimit = InitialBackoff;
            applyVmRows(*rows);
            if (++reads > 1) {
                co_await sleepFor(withJitter(RefreshInterval));
                continue;
            }
            m_reports.announceRecord();
            do {
                co_await sleepFor(SecondReadDelay);
            } while (!m_isRecordStored);
        }
    }

    Duration withJitter(Duration time)
    {
        return scaled(time, std::uniform_real_distribution<double>(0.75, 1.25)(m_random));
    }

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
            removeVm(record.daemon, record.incarnation, "no row and no sign of life");
        }
    }

    /** Logs each unreadable row when it is first seen, since it stays in the table until its writer replaces it. */
    void logUnreadableRows(const VmRows &read)
    {
        for (size_t i = 0; i < read.unreadable.size(); ++i) {
            if (m_unreadableKeys.count(read.unreadable[i]) == 0) {
                EventLog::write(LogLevel::Warning,
                                Event::ConfigRejected,
                                { { "table", VmTable }, { "key", read.unreadable[i] }, { "reason", "unreadable row: " + read.faults[i] } });
            }
        }
        m_unreadableKeys = { read.unreadable.begin(), read.unreadable.end() };
    }

    /** Somebody else wrote under the key of this daemon, which is replaced like a record of a former start. */
    void replaceUnreadableOwnRow(const TableRows &rows)
    {
        for (const TableRow &row : rows.rows) {
            if (row.key == m_record.daemon) {
                rewriteIfOverwritten(row.version);
            }
        }
        m_restoreBackend(nullptr);
    }

    /** Replaces the own row, if it was written by somebody else after this daemon wrote its record. */
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
        const VmView *vm = m_directory.find(daemon);
        const std::string address = vm == nullptr ? "" : vm->record.address;
        if (m_directory.remove(daemon, incarnation)) {
            m_peers.forget(address);
            EventLog::write(LogLevel::Info, Event::MemberRemoved, { { "daemon", daemon }, { "address", address }, { "reason", reason } });
        }
    }

    /** Forgets lost VMs whose address a living daemon has now. A peer may still tell of them. */
    void removeVmsReplacedBy(const std::string &address, const std::string &currentDaemon)
    {
        for (const VmRecord &record : m_directory.othersAt(address, currentDaemon)) {
            removeVm(record.daemon, record.incarnation, "its address is used again");
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

    /** Takes the record that a former start of this daemon left behind. The clock may have gone back since then. */
    void reconcileOwnRecord(const VmRecord &stored)
    {
        const bool isFromThisStart = stored.incarnation == m_record.incarnation;
        if (isFromThisStart && !stored.isNewerThan(m_record)) {
            return;
        }
        if (!isFromThisStart) {
            // A backend server of a former start was not born later than now. Its birth would make all later ones former processes.
            const bool isPlausibleBirth = stored.backend.bornMs <= unixTimeMs() + MaxClockSetbackMs;
            m_restoreBackend(isPlausibleBirth ? &stored.backend : nullptr);
        }
        // Somebody else wrote it if it is of this start. The others must take the next record of this daemon for newer in any case.
        if (stored.isNewerThan(m_record)) {
            m_record.incarnation = stored.incarnation + 1;
            onRecordChanged();
        }
    }

    void applyVmRecord(const VmRecord &record, const char *source)
    {
        if (record.address == m_record.address) {
            return; // of a lost VM whose address this one has now
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

    void applyRoutes(const std::string &text, const char *source)
    {
        const auto decoded = Platform::decodeRoutes(text);
        if (!decoded.table) {
            EventLog::write(LogLevel::Error, Event::ConfigRejected, { { "source", source }, { "reason", decoded.fault } });
            return;
        }
        if (m_routes && decoded.table->version() <= m_routes->version()) {
            return;
        }
        m_routes = decoded.table;
        m_routesText = text;
        m_metrics.set(Gauge::ConfigVersion, m_routes->version());
        EventLog::write(LogLevel::Info,
                        Event::ConfigInForce,
                        { { "version", std::to_string(m_routes->version()) }, { "routes", std::to_string(m_routes->routes().size()) }, { "source", source } });
    }

    void onRecordChanged()
    {
        ++m_record.revision;
        m_directory.merge(m_record);
        m_isWritePending = true;
        m_writeTimer.cancel();
        m_reports.announceRecord();
    }

    /** Writes the record of this VM whenever it changes, until the store has it. */
    Task<void> writeRecord()
    {
        Duration backoffLimit = InitialBackoff;
        m_writeTimer.expires_after(FirstWriteDelay);
        m_isWriting = false; // a former start of this task may have failed in a write
        ErrorCode ignoredFirst; // the timer is cancelled when the record changes
        co_await m_writeTimer.async_wait(into(ignoredFirst));
        m_isWritePending = true;
        while (true) {
            if (!m_isWritePending) {
                m_writeTimer.expires_at(TimePoint::max());
                ErrorCode ignored; // the timer is cancelled when a write is due
                co_await m_writeTimer.async_wait(into(ignored));
                continue;
            }
            m_isWritePending = false;
            m_isWriting = true;
            const auto result = co_await m_store.commit(ownRecordWrite());
            m_isWriting = false;
            if (result && result->isApplied) {
                onStoreResponse();
                m_rowVersion = std::max(m_rowVersion, result->version);
                m_isRecordStored = true;
                backoffLimit = InitialBackoff;
                continue;
            }
            m_isWritePending = true;
            if (result) {
                onWriteConflict(*result);
            } else {
                onStoreFailure(VmTable);
            }
            co_await sleepFor(jitteredBackoff(backoffLimit));
        }
    }

    /** @return the write of this VM's record. Its condition keeps a delayed write, whose answer was lost, from replacing a later one. */
    TableChange ownRecordWrite() const
    {
        TableChange change;
        change.conditions.push_back({ VmTable, m_record.daemon, "", m_rowVersion });
        change.puts.push_back({ VmTable, m_record.daemon, VmRecordCodec::encode(m_record) });
        return change;
    }

    void onWriteConflict(const ChangeResult &result)
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
        message.configVersion = configVersion();
        message.report = load;
        message.crashes = m_crashes.recent(SteadyClock().now() - MaxCrashReportAge, MaxCrashReports);
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
        m_directory.onAlive(message->daemon);
        m_directory.onReport(message->daemon, message->report, now);
        for (const CrashReport &crash : message->crashes) {
            m_crashes.add(crash, now);
        }
        if (lacksRecord(*message) && !std::exchange(m_isFetching, true)) {
            spawnDetached(m_loop, "fetch-record", fetchRecord(*message), [this] { m_isFetching = false; });
        }
        if (message->configVersion > configVersion()) {
            const VmView *vm = m_directory.find(message->daemon);
            m_catchUp.onAhead({ message->peerAddress, message->configVersion, vm != nullptr && m_directory.isSameRegion(vm->record) }, now);
            if (!std::exchange(m_isCatchingUp, true)) {
                spawnDetached(m_loop, "catch-up-with-routes", catchUpWithRoutes(), [this] { m_isCatchingUp = false; });
            }
        }
    }

    uint64_t configVersion() const
    {
        return m_routes ? m_routes->version() : 0;
    }

    /** @return whether the sender has a record of its VM that this daemon lacks */
    bool lacksRecord(const GossipMessage &message) const
    {
        const VmView *vm = m_directory.find(message.daemon);
        return vm == nullptr || std::pair(vm->record.incarnation, vm->record.revision) < std::pair(message.incarnation, message.revision);
    }

    /** Fetches the record of a peer's VM. A daemon that knows no other VM fetches all records, since the store has brought none. */
    Task<void> fetchRecord(GossipMessage sender)
    {
        co_await sleepFor(RecordFetchDelay);
        if (lacksRecord(sender)) {
            const StatePart part = m_directory.all().size() < 2 ? StatePart::All : StatePart::OwnRecord;
            if (const auto state = co_await m_peers.fetchState(sender.peerAddress, part)) {
                applyPeerState(*state);
            }
        }
    }

    /** Fetches routes from peers as long as one is known that has newer ones. */
    Task<void> catchUpWithRoutes()
    {
        while (m_catchUp.isBehind(configVersion())) {
            const auto address = m_catchUp.source(SteadyClock().now());
            if (!address) {
                co_await sleepFor(CatchUpRetryInterval);
                continue;
            }
            if (const auto state = co_await m_peers.fetchState(*address, StatePart::Routes)) {
                applyPeerState(*state);
            }
            // Asked once for each time that it is heard of, also if its routes can't be read.
            m_catchUp.onAsked(*address);
        }
    }

    void applyPeerState(const std::string &text)
    {
        std::string fault;
        const auto state = boundedjson::decode(
            [&text] {
                auto json = boundedjson::parse(text, PeerStateBounds);
                json.at("vms");
                json.at("routes").get_ref<const std::string &>();
                return json;
            },
            &fault);
        if (!state) {
            EventLog::write(LogLevel::Warning, Event::ConfigRejected, { { "source", "peer" }, { "reason", fault } });
            return;
        }
        for (const auto &item : state->at("vms")) {
            // A record that can't be read is passed over. The reader of its row logs it.
            if (item.is_string()) {
                applyPeerRecord(item.template get_ref<const std::string &>());
            }
        }
        const auto &routes = state->at("routes").template get_ref<const std::string &>();
        if (!routes.empty()) {
            applyRoutes(routes, "peer");
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
    CrashHistory &m_crashes;
    Metrics &m_metrics;
    TableStore<typename Platform::Dialect> m_store;
    PeerClients m_peers;
    std::shared_ptr<DatagramPort> m_datagrams;
    std::function<void(const BackendRecord *)> m_restoreBackend;
    VmRecord m_record;
    uint64_t m_rowVersion = 0;
    bool m_isWritePending = false;
    bool m_isWriting = false;
    bool m_isRecordStored = false;
    std::set<std::string> m_unreadableKeys; /**< Keys that were in the VM table when it was last read. */
    bool m_isFetching = false;
    bool m_isCatchingUp = false;
    RoutesCatchUp m_catchUp;
    bool m_isStoreReachable = true;
    std::shared_ptr<const RouteTable> m_routes;
    std::string m_routesText;
    ReportSender m_reports;
    asio::steady_timer m_writeTimer;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
