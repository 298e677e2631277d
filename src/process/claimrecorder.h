#pragma once

#include "process/batchdelay.h"
#include "process/claimoptions.h"
#include "process/claimrow.h"
#include "process/eventlog.h"
#include "process/storetypes.h"
#include "process/wallclock.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace carobjunction
{

/**
 * Writes releases and results of claims in the background, in batches, until they are in force. Each batch reads the rows and then
 * writes on the versions read, so repeating a batch whose answer was lost is harmless. Thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W>
class ClaimRecorder
{
public:
    ClaimRecorder(S &store, const C &clock, const W &wallClock, const ClaimOptions &options)
        : m_store(store)
        , m_clock(clock)
        , m_wallClock(wallClock)
        , m_options(options)
        , m_random(options.seed)
        , m_pause(options.firstPause)
        , m_delay(options.recordDelay)
    {
        if (options.threads == ClaimThreads::Own) {
            m_thread = std::jthread([this](const std::stop_token &stop) { work(stop); });
        }
    }

    /** Keeps a claim from blocking its key, also if its insert is still under way. */
    void release(const std::string &rowKey, const std::string &claimId)
    {
        add({ rowKey, claimId, std::nullopt });
    }

    /** Records the result of the request that ran under a claim. @return false if too many results are waiting */
    bool record(const std::string &rowKey, const std::string &claimId, uint64_t fingerprint, const CallResult &result)
    {
        ClaimRow done;
        done.state = ClaimRowState::Done;
        done.claimId = claimId;
        done.fingerprint = fingerprint;
        done.setResult(result);
        {
            const std::scoped_lock lock(m_mutex);
            if (m_pending >= m_options.maxPending) {
                return false;
            }
            if (m_pendingBytes + sizeOf(done) > m_options.maxPendingBytes) {
                done.complete = false;
                done.headers.clear();
                done.body.clear();
            }
        }
        add({ rowKey, claimId, std::move(done) });
        return true;
    }

    /** Whether so much is waiting that no further claim may be made; releases are never dropped. */
    bool isCongested() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_pending >= m_options.maxPending / 2;
    }

    /** @return releases and results that are not yet in force */
    size_t pending() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_pending;
    }

    /** Waits until nothing is pending. @return false if @p limit passed first */
    bool flush(Duration limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [this] { return m_pending == 0; });
    }

    /** Writes one batch, unless the pause after a failure lasts. @return whether a batch was tried */
    bool runOnce()
    {
        std::vector<Entry> batch;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_queue.empty() || m_clock.now() < m_nextAttempt) {
                return false;
            }
            while (!m_queue.empty() && batch.size() < MaxClaimBatch) {
                batch.push_back(std::move(m_queue.front()));
                m_queue.pop_front();
            }
        }
        std::vector<bool> finished(batch.size(), false);
        const bool succeeded = write(batch, finished);
        putBack(std::move(batch), finished, succeeded);
        return true;
    }

private:
    struct Entry {
        std::string rowKey;
        std::string claimId;
        std::optional<ClaimRow> done; /**< Result to record; empty for a release. */
    };

    /** What to do for an entry, given the row as read. */
    struct Decision {
        std::optional<StoreOp> op; /**< Empty: nothing more to do. */
        bool recorded = false;
        bool guarded = false; /**< The op is valid only together with a condition on the sweep row, read before the row. */
    };

    static size_t sizeOf(const ClaimRow &row)
    {
        size_t size = row.body.size();
        for (const auto &[name, value] : row.headers) {
            size += name.size() + value.size();
        }
        return size;
    }

    void add(Entry entry)
    {
        {
            const std::scoped_lock lock(m_mutex);
            ++m_pending;
            m_pendingBytes += entry.done ? sizeOf(*entry.done) : 0;
            m_queue.push_back(std::move(entry));
        }
        m_changed.notify_all();
    }

    /** @param finished  set for each entry that needs no further attempt. @return whether the store answered */
    bool write(const std::vector<Entry> &batch, std::vector<bool> &finished)
    {
        std::vector<std::string> keys;
        keys.reserve(batch.size());
        for (const Entry &entry : batch) {
            keys.push_back(entry.rowKey);
        }
        const auto rows = m_store.read(keys);
        if (!rows) {
            return false;
        }
        std::unordered_map<std::string, const StoreRow *> byKey;
        for (const StoreRow &row : *rows) {
            byKey[row.key] = &row;
        }
        std::vector<StoreOp> ops;
        std::vector<size_t> owners;
        std::vector<size_t> guarded;
        for (size_t i = 0; i < batch.size(); ++i) {
            const auto row = byKey.find(batch[i].rowKey);
            Decision decision = decide(batch[i], row == byKey.end() ? nullptr : row->second);
            if (decision.guarded) {
                guarded.push_back(i);
            } else if (decision.op) {
                ops.push_back(std::move(*decision.op));
                owners.push_back(i);
            } else {
                finished[i] = true;
                report(batch[i], decision.recorded);
            }
        }
        if (!ops.empty() && !apply(batch, ops, owners, finished)) {
            return false;
        }
        return std::all_of(guarded.begin(), guarded.end(), [&](size_t i) { return writeGuarded(batch[i], finished, i); });
    }

    /** Writes one entry whose row may be deleted and inserted anew at any moment. @return whether the store answered */
    bool writeGuarded(const Entry &entry, std::vector<bool> &finished, size_t index)
    {
        const auto sweepRow = m_store.read({ ClaimRow::SweepRowKey });
        const auto rows = sweepRow ? m_store.read({ entry.rowKey }) : std::nullopt;
        if (!rows) {
            return false;
        }
        const Decision decision = decide(entry, rows->empty() ? nullptr : &rows->front());
        if (!decision.op || !decision.guarded) {
            return true; // The row has changed; the next batch decides anew.
        }
        const uint64_t sweepVersion = sweepRow->empty() ? 0 : sweepRow->front().version;
        const StoreOp sweepOp { ClaimRow::SweepRowKey, sweepVersion, nlohmann::json { { "released", entry.claimId } } };
        const auto result = m_store.transact({ sweepOp, *decision.op }, true);
        if (result && result->committed) {
            finished[index] = true;
            report(entry, true);
        }
        return result.has_value();
    }

    bool apply(const std::vector<Entry> &batch, const std::vector<StoreOp> &ops, const std::vector<size_t> &owners, std::vector<bool> &finished)
    {
        const auto result = m_store.transact(ops, false);
        if (!result) {
            return false;
        }
        for (size_t i = 0; i < ops.size(); ++i) {
            if (result->results[i].applied) {
                finished[owners[i]] = true;
                report(batch[owners[i]], true);
            }
        }
        return true;
    }

    Decision decide(const Entry &entry, const StoreRow *stored) const
    {
        const std::optional<ClaimRow> row = stored ? ClaimRow::fromJson(stored->value) : std::nullopt;
        if (stored && !row) {
            return {};
        }
        return entry.done ? decideRecord(entry, stored, row) : decideRelease(entry, stored, row);
    }

    Decision decideRelease(const Entry &entry, const StoreRow *stored, const std::optional<ClaimRow> &row) const
    {
        const int64_t now = m_wallClock.nowMs();
        if (!stored) {
            // The insert may still be under way; this row makes its condition fail.
            return { StoreOp { entry.rowKey, 0, tombstone(entry.claimId, now).toJson() }, false, false };
        }
        if (row->claimId == entry.claimId && row->state != ClaimRowState::Claimed) {
            return { std::nullopt, true };
        }
        if (row->claimId == entry.claimId || row->state == ClaimRowState::Released || row->isExpired(now)) {
            // The claim is in force or may be under way on this version, or on absence once an expired row is deleted.
            return { StoreOp { entry.rowKey, stored->version, tombstone(entry.claimId, now).toJson() }, false, row->mayBeSweptSoon(now) };
        }
        return { std::nullopt, true };
    }

    Decision decideRecord(const Entry &entry, const StoreRow *stored, const std::optional<ClaimRow> &row) const
    {
        if (!stored || row->claimId != entry.claimId || row->isExpired(m_wallClock.nowMs())) {
            return {};
        }
        if (row->state == ClaimRowState::Done) {
            return { std::nullopt, true };
        }
        ClaimRow done = *entry.done;
        done.daemon = row->daemon;
        done.createdMs = row->createdMs;
        done.expiresMs = row->expiresMs;
        return { StoreOp { entry.rowKey, stored->version, done.toJson() }, false, false };
    }

    ClaimRow tombstone(const std::string &claimId, int64_t now) const
    {
        ClaimRow row;
        row.claimId = claimId;
        row.state = ClaimRowState::Released;
        row.daemon = m_options.daemon;
        row.createdMs = now;
        row.expiresMs = now + std::chrono::duration_cast<std::chrono::milliseconds>(m_options.tombstoneWindow).count();
        return row;
    }

    static void report(const Entry &entry, bool succeeded)
    {
        if (entry.done) {
            EventLog::write(succeeded ? LogLevel::Debug : LogLevel::Warning,
                            Event::ClaimResultRecorded,
                            { { "key", entry.rowKey }, { "claim", entry.claimId }, { "recorded", succeeded ? "true" : "false" } });
        } else {
            EventLog::write(LogLevel::Info, Event::ClaimReleased, { { "key", entry.rowKey }, { "claim", entry.claimId } });
        }
    }

    void putBack(std::vector<Entry> batch, const std::vector<bool> &finished, bool succeeded)
    {
        {
            const std::scoped_lock lock(m_mutex);
            for (size_t i = batch.size(); i-- > 0;) {
                if (!finished[i]) {
                    m_queue.push_front(std::move(batch[i]));
                    continue;
                }
                --m_pending;
                m_pendingBytes -= batch[i].done ? sizeOf(*batch[i].done) : 0;
            }
            if (succeeded) {
                m_pause = m_options.firstPause;
                m_delay.noteAccepted();
            } else {
                m_delay.noteOverload();
                std::uniform_real_distribution<double> share(0.5, 1.0);
                m_nextAttempt = m_clock.now() + std::chrono::duration_cast<Duration>(m_pause * share(m_random));
                m_pause = std::min(m_pause * 2, m_options.longestPause);
            }
        }
        m_changed.notify_all();
    }

    void work(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(m_mutex);
                if (!m_changed.wait(lock, stop, [this] { return !m_queue.empty(); })) {
                    return;
                }
                const Duration pause = std::max(m_delay.current(), Duration(m_nextAttempt - m_clock.now()));
                // Nothing notifies this wait before the pause is over, except a stop.
                m_changed.wait_for(lock, stop, pause, [&stop] { return stop.stop_requested(); });
            }
            runOnce();
        }
    }

    S &m_store;
    const C &m_clock;
    const W &m_wallClock;
    const ClaimOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::deque<Entry> m_queue;
    size_t m_pending = 0; /**< Entries in the queue and in the batch being written. */
    size_t m_pendingBytes = 0;
    std::mt19937_64 m_random;
    Duration m_pause;
    BatchDelay m_delay;
    TimePoint m_nextAttempt {};
    std::jthread m_thread; /**< Last member, so that it ends before the others are destroyed. */
};

} // namespace carobjunction
