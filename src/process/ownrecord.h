#pragma once

#include <carobjunction/process/stablehash.h>
#include <carobjunction/process/vmdirectory.h>

#include "connection/detachedtask.h"
#include "connection/peerclients.h"
#include "connection/sleepfor.h"
#include "process/backoff.h"
#include "process/eventlog.h"
#include "process/peerstate.h"
#include "process/storereachability.h"
#include "process/tablestore.h"
#include "process/vmrecordcodec.h"
#include "process/vmsettings.h"
#include "process/wallclock.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace carobjunction
{

/** Callbacks of an OwnRecord. */
struct OwnRecordCallbacks {
    std::function<void()> announce; /**< Sends the changed record to the peers. */
    /** Receives the backend server's record from before a restart of this daemon whenever one is found; null if the store holds none. */
    std::function<void(const BackendRecord *)> restoreBackend;
};

/**
 * Keeps the record of this VM: stores each change, and recovers the record after a restart of this daemon. The store may hold an older record than
 * a few peers, because a change may be acknowledged by them while the store does not answer. These holders are selected by rendezvous hashing,
 * so that the restarted daemon asks the same ones. Used on one event loop.
 */
template<typename Dialect>
class OwnRecord
{
public:
    /** Name of the table that holds the VM records. */
    static constexpr const char *TableName = "carobjunction-vms";
    /** Delay of the first write of the record, unless the record changes earlier; the backend server's first heartbeat changes it. */
    static constexpr Duration FirstWriteDelay = std::chrono::seconds(3);
    /** Time limit of a first write. It doubles with each failure, because the store may be slow; a lost response costs little time then. */
    static constexpr Duration InitialWriteTimeout = std::chrono::milliseconds(300);
    /** Time after which the holders are asked whether they have a change that is not stored. */
    static constexpr Duration HolderQueryDelay = std::chrono::milliseconds(400);
    /** Interval at which a holder without the change is asked again, and polling interval of the waits. */
    static constexpr Duration HolderQueryInterval = std::chrono::milliseconds(100);
    static constexpr Duration PollInterval = std::chrono::milliseconds(5);
    /** Number of holders that must have a change that is not stored, unless there are fewer peers. */
    static constexpr size_t RequiredHolders = 2;
    static constexpr size_t MaxHolders = 5;
    /** Number of holders that are asked after a restart. Some of them may have failed, and newer peers may have taken their places. */
    static constexpr size_t MaxRecoveryQueries = 8;
    /** Largest assumed step back of this VM's clock, in milliseconds, since the start of a backend server of a previous daemon run. */
    static constexpr uint64_t MaxClockSetbackMs = uint64_t { 24 } * 3'600'000;

    /** All references must outlive this object. */
    OwnRecord(asio::io_context &loop,
              const VmSettings &settings,
              VmDirectory &directory,
              TableStore<Dialect> &store,
              StoreReachability &reachability,
              PeerClients &peers)
        : m_loop(loop), m_directory(directory), m_store(store), m_reachability(reachability), m_peers(peers), m_writeTimer(loop)
    {
        m_record.daemon = settings.daemon;
        m_record.incarnation = unixTimeMs();
        m_record.revision = 1;
        m_record.address = settings.announcedAddress.empty() ? settings.peerAddress : settings.announcedAddress;
        m_record.dataCentre = settings.dataCentre;
        m_record.region = settings.region;
        m_directory.merge(m_record);
    }

    /** Starts to store the record. */
    void start(OwnRecordCallbacks callbacks)
    {
        m_callbacks = std::move(callbacks);
        spawnSupervised(m_loop, "write-record", [this] { return write(); });
    }

    const VmRecord &record() const
    {
        return m_record;
    }

    /** @return whether a record of this run has been stored */
    bool isStored() const
    {
        return m_isStored;
    }

    /** Sets the state of this VM's backend server and publishes the record. */
    void setBackend(const BackendRecord &backend)
    {
        m_record.backend = backend;
        onChanged();
    }

    /** Publishes that this daemon is stopping. */
    void announceStop()
    {
        m_record.stopping = true;
        onChanged();
    }

    /**
     * Waits until the current record outlives this process, for @p limit at most.
     * @return whether it is stored, or held by enough peers
     */
    Task<bool> waitUntilKept(Duration limit)
    {
        const TimePoint start = SteadyClock().now();
        const auto query = std::make_shared<HolderQuery>();
        query->end = start + limit;
        while (!isCurrentStored() && !query->isSatisfied() && SteadyClock().now() < query->end) {
            if (query->requiredHolders == 0 && SteadyClock().now() - start >= HolderQueryDelay) {
                startQuery(query);
            }
            co_await sleepFor(m_loop, PollInterval);
        }
        co_return isCurrentStored() || query->isSatisfied();
    }

    /** Handles the row of this VM in the store. @param record  empty if the row cannot be read */
    void onRowRead(const std::optional<VmRecord> &record, uint64_t version)
    {
        rewriteIfOverwritten(version);
        if (record) {
            reconcile(*record);
        } else {
            m_callbacks.restoreBackend(nullptr);
        }
    }

    /** Handles that the store holds no row of this VM. */
    void onRowMissing()
    {
        m_callbacks.restoreBackend(nullptr);
    }

    /** Writes the record also if it has not changed, because the stored row may be lost or replaced. */
    void writeAgain()
    {
        m_isWritePending = true;
        m_writeTimer.cancel();
    }

    /**
     * Handles a record of this VM that was read from the store or a peer. It may stem from a previous run of this daemon, whose
     * incarnation can be higher than the present one if the clock has been set back since.
     */
    void reconcile(const VmRecord &stored)
    {
        const bool isFromThisRun = stored.incarnation == m_record.incarnation;
        if (isFromThisRun && stored.backend.isLeaving && !m_record.backend.isLeaving) {
            restoreBackend(stored.backend); // a holder has added the leave to a record of this run
        }
        if (isFromThisRun && !stored.isNewerThan(m_record)) {
            return;
        }
        if (!isFromThisRun) {
            restoreBackend(stored.backend);
        }
        // A newer record with the incarnation of this run was stored by another writer. In either case the incarnation is raised above
        // the stored one, so that other daemons accept the next record of this daemon as newer.
        if (stored.isNewerThan(m_record)) {
            m_record.incarnation = stored.incarnation + 1;
            onChanged();
        }
    }

    /**
     * Asks the holders for the record of a previous run. Does not delay the use of the backend server: a holder sends it no requests after its leave,
     * whatever this daemon publishes. Call this once the peers are known; only the first call counts.
     */
    void recover()
    {
        if (std::exchange(m_hasStartedRecovery, true)) {
            return;
        }
        for (const std::string &address : holders(MaxRecoveryQueries)) {
            spawnDetached(m_loop, "recover-record", recoverFromHolder(address));
        }
    }

private:
    /** Question to the holders whether they have the current record. */
    struct HolderQuery {
        TimePoint end;
        size_t requiredHolders = 0; /**< 0 before the holders are asked, or if there are none. */
        size_t holders = 0;

        bool isSatisfied() const
        {
            return requiredHolders > 0 && holders >= requiredHolders;
        }
    };

    static uint64_t unixTimeMs()
    {
        return static_cast<uint64_t>(SystemWallClock().nowMs());
    }

    bool isCurrentStored() const
    {
        return !m_isWritePending && !m_isWriting;
    }

    void onChanged()
    {
        ++m_record.revision;
        m_directory.merge(m_record);
        writeAgain();
        m_callbacks.announce();
    }

    /** @return the addresses of up to @p count peers that hold the record of this VM */
    std::vector<std::string> holders(size_t count) const
    {
        std::vector<std::pair<uint64_t, std::string>> ranked;
        for (const auto &[daemon, vm] : m_directory.all()) {
            if (!m_directory.isSelf(daemon) && !vm.record.stopping) {
                ranked.emplace_back(stableHash(m_record.daemon + '/' + daemon), vm.record.address);
            }
        }
        std::sort(ranked.rbegin(), ranked.rend());
        ranked.resize(std::min(ranked.size(), count));
        std::vector<std::string> addresses;
        addresses.reserve(ranked.size());
        for (auto &[rank, address] : ranked) {
            addresses.push_back(std::move(address));
        }
        return addresses;
    }

    void startQuery(const std::shared_ptr<HolderQuery> &query)
    {
        const std::vector<std::string> addresses = holders(MaxHolders);
        query->requiredHolders = std::min(addresses.size(), RequiredHolders);
        for (const std::string &address : addresses) {
            spawnDetached(m_loop, "query-holder", askUntilHeld(address, m_record, query));
        }
    }

    /** Asks a holder until it has a record that is at least as new as @p current, or the query ends. */
    Task<void> askUntilHeld(std::string address, VmRecord current, std::shared_ptr<HolderQuery> query)
    {
        while (!query->isSatisfied() && SteadyClock().now() < query->end) {
            const auto text = co_await m_peers.fetchState(address, StatePart::HeldRecord, m_record.daemon);
            const auto held = text ? parseHeldRecord(*text) : std::nullopt;
            if (held && !current.isNewerThan(*held)) {
                ++query->holders;
                co_return;
            }
            co_await sleepFor(m_loop, HolderQueryInterval);
        }
    }

    /** @return the record of this VM in the state that a peer has returned, or empty if it holds none */
    std::optional<VmRecord> parseHeldRecord(const std::string &text) const
    {
        std::string ignoredError; // a daemon without a valid state counts as one that holds nothing
        const auto state = PeerState::decode(text, &ignoredError);
        if (!state || state->records.empty() || state->records.front().daemon != m_record.daemon) {
            return std::nullopt;
        }
        return state->records.front();
    }

    Task<void> recoverFromHolder(std::string address)
    {
        const auto text = co_await m_peers.fetchState(address, StatePart::HeldRecord, m_record.daemon);
        if (const auto held = text ? parseHeldRecord(*text) : std::nullopt) {
            reconcile(*held);
        }
    }

    void restoreBackend(const BackendRecord &backend)
    {
        // A start time more than MaxClockSetbackMs in the future is not plausible. Restoring it would make every later
        // process of the backend server appear older than the restored process.
        const bool isPlausibleStartTime = backend.startedAtMs <= unixTimeMs() + MaxClockSetbackMs;
        m_callbacks.restoreBackend(isPlausibleStartTime ? &backend : nullptr);
    }

    /** Writes this VM's row again if another writer replaced it after this daemon's last write. @param version  current version of the row */
    void rewriteIfOverwritten(uint64_t version)
    {
        const bool isOverwritten = m_isStored && !m_isWriting && version > m_rowVersion;
        m_rowVersion = version;
        if (isOverwritten) {
            writeAgain();
        }
    }

    /** Writes the record of this VM to the store whenever it changes, and retries until the write succeeds. */
    Task<void> write()
    {
        Backoff backoff;
        Duration timeout = InitialWriteTimeout;
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
            if (co_await writeOnce(timeout)) {
                backoff.reset();
                timeout = InitialWriteTimeout;
                continue;
            }
            m_isWritePending = true;
            timeout = std::min(timeout * 2, TableStore<Dialect>::CallTimeout);
            co_await sleepFor(m_loop, backoff.next());
        }
    }

    /** Writes the current record once. @return whether it is stored */
    Task<bool> writeOnce(Duration timeout)
    {
        m_isWritePending = false;
        m_isWriting = true;
        const TableChange change = conditionalWrite();
        const auto result = co_await m_store.commit(change, timeout);
        m_isWriting = false;
        if (!result) {
            m_reachability.onFailure(TableName);
            co_return false;
        }
        m_reachability.onResponse();
        if (!result->isApplied && !adoptCurrentRow(*result, change.puts.front().value)) {
            co_return false;
        }
        m_rowVersion = std::max(m_rowVersion, result->isApplied ? result->version : 0);
        m_isStored = true;
        co_return true;
    }

    /**
     * @return the conditional write of this VM's record. The condition on the row's version keeps a delayed write, whose
     *         response was lost, from overwriting a later write.
     */
    TableChange conditionalWrite() const
    {
        TableChange change;
        change.conditions.push_back({ TableName, m_record.daemon, "", m_rowVersion });
        change.puts.push_back({ TableName, m_record.daemon, VmRecordCodec::encode(m_record) });
        return change;
    }

    /**
     * Adopts the current version of this VM's row after a conditional write was rejected.
     * @return whether the row holds @p written already, because an earlier write of it was performed without a response
     */
    bool adoptCurrentRow(const TableChangeResult &result, const std::string &written)
    {
        m_rowVersion = 0;
        bool isAlreadyStored = false;
        for (const TableRow &row : result.current) {
            if (row.key != m_record.daemon) {
                continue;
            }
            m_rowVersion = row.version;
            isAlreadyStored = row.value == written;
            if (const auto stored = VmRecordCodec::decode(row.value)) {
                reconcile(*stored);
            }
        }
        return isAlreadyStored;
    }

    asio::io_context &m_loop;
    VmDirectory &m_directory;
    TableStore<Dialect> &m_store;
    StoreReachability &m_reachability;
    PeerClients &m_peers;
    OwnRecordCallbacks m_callbacks;
    VmRecord m_record;
    bool m_hasStartedRecovery = false;
    uint64_t m_rowVersion = 0; /**< Latest known version of this VM's row; 0 if there is none. */
    bool m_isWritePending = false; /**< The record has changed since its last write. */
    bool m_isWriting = false;
    bool m_isStored = false;
    asio::steady_timer m_writeTimer;
};

} // namespace carobjunction
