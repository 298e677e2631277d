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
 * Writes releases and results of claims to the store in background batches and retries each until it is committed. Each batch reads the
 * rows and makes its writes conditional on the versions read, so a batch whose response was lost can safely be repeated. Thread-safe.
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
        , m_backoff(options.initialBackoff)
        , m_batchDelay(options.recorderBatchDelay)
    {
        if (options.threads == ClaimThreads::Dedicated) {
            m_thread = std::jthread([this](const std::stop_token &stop) { runWriteLoop(stop); });
        }
    }

    /** Schedules the release of a claim, so that it does not block its key. Also valid while the insert of the claim is in progress. */
    void release(const std::string &rowKey, const std::string &claimId)
    {
        enqueue({ rowKey, claimId, std::nullopt });
    }

    /** Schedules recording the result of the request that ran under a claim. @return false if too many writes are pending */
    bool record(const std::string &rowKey, const std::string &claimId, uint64_t fingerprint, const CallResult &result)
    {
        ClaimRow done;
        done.state = ClaimRowState::Done;
        done.claimId = claimId;
        done.fingerprint = fingerprint;
        done.recordResult(result);
        {
            const std::scoped_lock lock(m_mutex);
            if (m_pendingUpdates >= m_options.maxPendingUpdates) {
                return false;
            }
            if (m_pendingBytes + resultBytes(done) > m_options.maxPendingResultBytes) {
                done.complete = false;
                done.headers.clear();
                done.body.clear();
            }
        }
        enqueue({ rowKey, claimId, std::move(done) });
        return true;
    }

    /** @return whether so many writes are pending that new claims must be refused, since releases are never dropped */
    bool isBacklogged() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_pendingUpdates >= m_options.maxPendingUpdates / 2;
    }

    /** @return number of releases and results that are not yet written */
    size_t pendingUpdates() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_pendingUpdates;
    }

    /** Waits until no write is pending. @return false if @p limit passed first */
    bool flush(Duration limit)
    {
        std::unique_lock lock(m_mutex);
        return m_queueChanged.wait_for(lock, limit, [this] { return m_pendingUpdates == 0; });
    }

    /** Writes one batch, unless the backoff after a failure is still running. @return whether a write was attempted */
    bool writeNextBatch()
    {
        std::vector<PendingUpdate> batch;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_queue.empty() || m_clock.now() < m_nextAttemptAt) {
                return false;
            }
            while (!m_queue.empty() && batch.size() < MaxClaimBatchSize) {
                batch.push_back(std::move(m_queue.front()));
                m_queue.pop_front();
            }
        }
        std::vector<bool> finished(batch.size(), false);
        const bool succeeded = writeBatch(batch, finished);
        requeueUnfinished(std::move(batch), finished, succeeded);
        return true;
    }

private:
    /** A release or result that is not yet written. */
    struct PendingUpdate {
        std::string rowKey;
        std::string claimId;
        std::optional<ClaimRow> done; /**< Result to record; empty for a release. */
    };

    /** Decision how to write a pending update, given the stored row. */
    struct WriteDecision {
        std::optional<StoreOp> op; /**< Empty if no write is needed. */
        bool hasSucceeded = false; /**< Whether a pending update without a write counts as successful; used for logging. */
        bool isSweepGuarded = false; /**< Whether the write must also be conditional on the sweep row, which is read before the row. */
    };

    /** @return size of the recorded headers and body, in bytes */
    static size_t resultBytes(const ClaimRow &row)
    {
        size_t size = row.body.size();
        for (const auto &[name, value] : row.headers) {
            size += name.size() + value.size();
        }
        return size;
    }

    void enqueue(PendingUpdate pendingUpdate)
    {
        {
            const std::scoped_lock lock(m_mutex);
            ++m_pendingUpdates;
            m_pendingBytes += pendingUpdate.done ? resultBytes(*pendingUpdate.done) : 0;
            m_queue.push_back(std::move(pendingUpdate));
        }
        m_queueChanged.notify_all();
    }

    /**
     * Writes a batch.
     * @param finished  receives true for each pending update that needs no further attempt
     * @return whether the store responded to all calls
     */
    bool writeBatch(const std::vector<PendingUpdate> &batch, std::vector<bool> &finished)
    {
        std::vector<std::string> keys;
        keys.reserve(batch.size());
        for (const PendingUpdate &pendingUpdate : batch) {
            keys.push_back(pendingUpdate.rowKey);
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
        std::vector<size_t> batchIndexes;
        std::vector<size_t> sweepGuardedIndexes;
        for (size_t i = 0; i < batch.size(); ++i) {
            const auto row = byKey.find(batch[i].rowKey);
            WriteDecision decision = decideWrite(batch[i], row == byKey.end() ? nullptr : row->second);
            if (decision.isSweepGuarded) {
                sweepGuardedIndexes.push_back(i);
            } else if (decision.op) {
                ops.push_back(std::move(*decision.op));
                batchIndexes.push_back(i);
            } else {
                finished[i] = true;
                logOutcome(batch[i], decision.hasSucceeded);
            }
        }
        if (!ops.empty() && !writeUnguarded(batch, ops, batchIndexes, finished)) {
            return false;
        }
        return std::all_of(sweepGuardedIndexes.begin(), sweepGuardedIndexes.end(), [&](size_t i) { return writeSweepGuarded(batch[i], finished, i); });
    }

    /**
     * Writes one pending update whose row may be deleted and inserted again at any moment, with a further condition on the sweep row.
     * @param index  index of the pending update in @p finished
     * @return whether the store responded to all calls
     */
    bool writeSweepGuarded(const PendingUpdate &pendingUpdate, std::vector<bool> &finished, size_t index)
    {
        const auto sweepRow = m_store.read({ ClaimRow::SweepRowKey });
        const auto rows = sweepRow ? m_store.read({ pendingUpdate.rowKey }) : std::nullopt;
        if (!rows) {
            return false;
        }
        const WriteDecision decision = decideWrite(pendingUpdate, rows->empty() ? nullptr : &rows->front());
        if (!decision.op || !decision.isSweepGuarded) {
            return true; // The row has changed; the next batch reads it again.
        }
        const uint64_t sweepVersion = sweepRow->empty() ? 0 : sweepRow->front().version;
        const StoreOp sweepOp { ClaimRow::SweepRowKey, sweepVersion, nlohmann::json { { "released", pendingUpdate.claimId } } };
        const auto result = m_store.transact({ sweepOp, *decision.op }, true);
        if (result && result->committed) {
            finished[index] = true;
            logOutcome(pendingUpdate, true);
        }
        return result.has_value();
    }

    /**
     * Writes the operations in one transaction.
     * @param batchIndexes  index in @p batch of the pending update that each operation belongs to
     * @return whether the store responded
     */
    bool writeUnguarded(const std::vector<PendingUpdate> &batch,
                        const std::vector<StoreOp> &ops,
                        const std::vector<size_t> &batchIndexes,
                        std::vector<bool> &finished)
    {
        const auto result = m_store.transact(ops, false);
        if (!result) {
            return false;
        }
        for (size_t i = 0; i < ops.size(); ++i) {
            if (result->results[i].applied) {
                finished[batchIndexes[i]] = true;
                logOutcome(batch[batchIndexes[i]], true);
            }
        }
        return true;
    }

    /** @param stored  stored row of the pending update; null if absent */
    WriteDecision decideWrite(const PendingUpdate &pendingUpdate, const StoreRow *stored) const
    {
        const std::optional<ClaimRow> row = stored ? ClaimRow::fromJson(stored->value) : std::nullopt;
        if (stored && !row) {
            return {};
        }
        return pendingUpdate.done ? decideResultWrite(pendingUpdate, stored, row) : decideReleaseWrite(pendingUpdate, stored, row);
    }

    WriteDecision decideReleaseWrite(const PendingUpdate &pendingUpdate, const StoreRow *stored, const std::optional<ClaimRow> &row) const
    {
        const int64_t now = m_wallClock.nowMs();
        if (!stored) {
            // The insert of the claim may still be in progress; this row makes its condition fail.
            return { StoreOp { pendingUpdate.rowKey, 0, tombstone(pendingUpdate.claimId, now).toJson() }, false, false };
        }
        if (row->claimId == pendingUpdate.claimId && row->state != ClaimRowState::Claimed) {
            return { std::nullopt, true };
        }
        if (row->claimId == pendingUpdate.claimId || row->state == ClaimRowState::Released || row->isExpired(now)) {
            // The claim is stored, or its insert may be in progress on this version or, once an expired row is deleted, on the absence of a row.
            return { StoreOp { pendingUpdate.rowKey, stored->version, tombstone(pendingUpdate.claimId, now).toJson() }, false, row->isNearSweep(now) };
        }
        return { std::nullopt, true };
    }

    WriteDecision decideResultWrite(const PendingUpdate &pendingUpdate, const StoreRow *stored, const std::optional<ClaimRow> &row) const
    {
        if (!stored || row->claimId != pendingUpdate.claimId || row->isExpired(m_wallClock.nowMs())) {
            return {};
        }
        if (row->state == ClaimRowState::Done) {
            return { std::nullopt, true };
        }
        ClaimRow done = *pendingUpdate.done;
        done.daemon = row->daemon;
        done.createdMs = row->createdMs;
        done.expiresMs = row->expiresMs;
        return { StoreOp { pendingUpdate.rowKey, stored->version, done.toJson() }, false, false };
    }

    /** @return a row in state Released, which makes a late insert of the claim fail */
    ClaimRow tombstone(const std::string &claimId, int64_t now) const
    {
        ClaimRow row;
        row.claimId = claimId;
        row.state = ClaimRowState::Released;
        row.daemon = m_options.daemon;
        row.createdMs = now;
        row.expiresMs = now + std::chrono::duration_cast<std::chrono::milliseconds>(m_options.tombstoneLifetime).count();
        return row;
    }

    /** Logs the outcome of a finished update. */
    static void logOutcome(const PendingUpdate &pendingUpdate, bool succeeded)
    {
        if (pendingUpdate.done) {
            EventLog::write(succeeded ? LogLevel::Debug : LogLevel::Warning,
                            Event::ClaimResultRecorded,
                            { { "key", pendingUpdate.rowKey }, { "claim", pendingUpdate.claimId }, { "recorded", succeeded ? "true" : "false" } });
        } else {
            EventLog::write(LogLevel::Info, Event::ClaimReleased, { { "key", pendingUpdate.rowKey }, { "claim", pendingUpdate.claimId } });
        }
    }

    /** Returns unfinished updates to the head of the queue, and updates the batch delay and the backoff. */
    void requeueUnfinished(std::vector<PendingUpdate> batch, const std::vector<bool> &finished, bool succeeded)
    {
        {
            const std::scoped_lock lock(m_mutex);
            for (size_t i = batch.size(); i-- > 0;) {
                if (!finished[i]) {
                    m_queue.push_front(std::move(batch[i]));
                    continue;
                }
                --m_pendingUpdates;
                m_pendingBytes -= batch[i].done ? resultBytes(*batch[i].done) : 0;
            }
            if (succeeded) {
                m_backoff = m_options.initialBackoff;
                m_batchDelay.onBatchAccepted();
            } else {
                m_batchDelay.onBatchFailed();
                std::uniform_real_distribution<double> jitter(0.5, 1.0);
                m_nextAttemptAt = m_clock.now() + std::chrono::duration_cast<Duration>(m_backoff * jitter(m_random));
                m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
            }
        }
        m_queueChanged.notify_all();
    }

    void runWriteLoop(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(m_mutex);
                if (!m_queueChanged.wait(lock, stop, [this] { return !m_queue.empty(); })) {
                    return;
                }
                const Duration delay = std::max(m_batchDelay.current(), Duration(m_nextAttemptAt - m_clock.now()));
                // New updates must not shorten the delay, so only a stop request ends this wait early.
                m_queueChanged.wait_for(lock, stop, delay, [&stop] { return stop.stop_requested(); });
            }
            writeNextBatch();
        }
    }

    S &m_store;
    const C &m_clock;
    const W &m_wallClock;
    const ClaimOptions m_options;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_queueChanged;
    std::deque<PendingUpdate> m_queue;
    size_t m_pendingUpdates = 0; /**< Updates in the queue and in the batch being written. */
    size_t m_pendingBytes = 0;
    std::mt19937_64 m_random;
    Duration m_backoff;
    BatchDelay m_batchDelay;
    TimePoint m_nextAttemptAt {};
    std::jthread m_thread; /**< Last member, so that the thread ends before the other members are destroyed. */
};

} // namespace carobjunction
