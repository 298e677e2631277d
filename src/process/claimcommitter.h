#pragma once

#include "process/batchdelay.h"
#include "process/claimoutcome.h"
#include "process/claimrecorder.h"

#include <carobjunction/request/deadline.h>

#include <algorithm>
#include <cassert>

namespace carobjunction
{

/** Parameters of one attempt to claim an idempotency key. */
struct ClaimAttempt {
    std::string rowKey;
    std::string claimId;
    uint64_t fingerprint = 0; /**< Identifies the request. */
    Duration window = Duration::zero(); /**< Time until the claim expires. */
    Deadline deadline;
};

/**
 * Inserts claims into the store in batches. Claims that arrive within a short delay, or while a transaction is in progress, share the
 * next transaction. Thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W>
class ClaimCommitter
{
public:
    ClaimCommitter(S &store, ClaimRecorder<S, C, W> &recorder, const C &clock, const W &wallClock, const ClaimOptions &options)
        : m_store(store), m_recorder(recorder), m_clock(clock), m_wallClock(wallClock), m_options(options), m_batchDelay(options.batchDelay)
    {
        if (options.threads == ClaimThreads::Dedicated) {
            m_thread = std::jthread([this](const std::stop_token &stop) { runCommitLoop(stop); });
        }
    }

    ~ClaimCommitter()
    {
        if (m_thread.joinable()) {
            m_thread.request_stop();
            m_thread.join();
        }
    }

    ClaimCommitter(const ClaimCommitter &) = delete;
    ClaimCommitter &operator=(const ClaimCommitter &) = delete;

    /** Claims a key. Blocks until the outcome is known or the deadline of the attempt has passed. */
    ClaimOutcome claim(const ClaimAttempt &attempt)
    {
        const auto pendingClaim = std::make_shared<PendingClaim>(attempt);
        std::unique_lock lock(m_mutex);
        m_queue.push_back(pendingClaim);
        m_claimQueued.notify_one();
        while (!pendingClaim->outcome) {
            if (attempt.deadline.hasPassed(m_clock.now())) {
                return abandon(*pendingClaim);
            }
            if (m_options.threads == ClaimThreads::Caller) {
                lock.unlock();
                commitBatch();
                lock.lock();
            } else {
                // m_clock may differ from the clock that the condition variable uses, so the deadline is checked again every 50 ms.
                const Duration maxWait = std::min<Duration>(attempt.deadline.remaining(m_clock.now()), std::chrono::milliseconds(50));
                m_claimsResolved.wait_for(lock, maxWait);
            }
        }
        return *pendingClaim->outcome;
    }

private:
    /** Maximum number of attempts to insert a claim whose row changes before each attempt. Further attempts would only add load. */
    static constexpr int MaxInsertAttempts = 4;

    /** Maximum number of attempts to insert a claim that the rate limit of the store refuses. The deadline of the caller usually passes first. */
    static constexpr int MaxInsertAttemptsUnderOverload = 20;

    /** A claim whose outcome is not yet known. */
    struct PendingClaim {
        explicit PendingClaim(const ClaimAttempt &claimAttempt) : attempt(claimAttempt)
        {
        }

        const ClaimAttempt attempt;
        uint64_t ifVersion = 0; /**< Row version that the next insert requires; 0 if the row must be absent. */
        bool isSweepGuarded = false; /**< Whether the next insert is also conditional on the sweep row. */
        int attempts = 0; /**< Number of failed insert attempts. */
        bool isAbandoned = false; /**< Whether the caller has already returned with Unavailable. Protected by m_mutex. */
        std::optional<ClaimOutcome> outcome; /**< Set once the outcome is known. Protected by m_mutex. */
    };
    using PendingClaimPtr = std::shared_ptr<PendingClaim>;

    /** Removes a claim from the queue; if its transaction is in progress, marks it as abandoned. The caller must hold m_mutex. */
    ClaimOutcome abandon(PendingClaim &pendingClaim)
    {
        pendingClaim.isAbandoned = true;
        std::erase_if(m_queue, [&pendingClaim](const PendingClaimPtr &queued) { return queued.get() == &pendingClaim; });
        return {};
    }

    /** Inserts up to MaxClaimBatchSize claims of the queue. */
    void commitBatch()
    {
        std::vector<PendingClaimPtr> unguarded;
        std::vector<PendingClaimPtr> sweepGuarded;
        {
            const std::scoped_lock lock(m_mutex);
            while (!m_queue.empty() && unguarded.size() + sweepGuarded.size() < MaxClaimBatchSize) {
                PendingClaimPtr pendingClaim = std::move(m_queue.front());
                m_queue.pop_front();
                if (pendingClaim->attempt.deadline.hasPassed(m_clock.now())) {
                    pendingClaim->outcome = ClaimOutcome {};
                } else {
                    (pendingClaim->isSweepGuarded ? sweepGuarded : unguarded).push_back(std::move(pendingClaim));
                }
            }
        }
        if (!unguarded.empty()) {
            insert(unguarded);
        }
        for (const PendingClaimPtr &pendingClaim : sweepGuarded) {
            insertSweepGuarded(pendingClaim);
        }
        m_claimsResolved.notify_all();
    }

    /** @return the conditional write that inserts the claim */
    StoreOp insertOp(const PendingClaim &pendingClaim) const
    {
        ClaimRow row;
        row.claimId = pendingClaim.attempt.claimId;
        row.daemon = m_options.daemon;
        row.fingerprint = pendingClaim.attempt.fingerprint;
        row.createdMs = m_wallClock.nowMs();
        row.expiresMs = row.createdMs + std::chrono::duration_cast<std::chrono::milliseconds>(pendingClaim.attempt.window).count();
        return { pendingClaim.attempt.rowKey, pendingClaim.ifVersion, row.toJson() };
    }

    /** Inserts claims in one transaction, then resolves or requeues each of them. */
    void insert(const std::vector<PendingClaimPtr> &pendingClaims)
    {
        std::vector<StoreOp> ops;
        ops.reserve(pendingClaims.size());
        for (const PendingClaimPtr &pendingClaim : pendingClaims) {
            ops.push_back(insertOp(*pendingClaim));
        }
        const auto result = m_store.transact(ops, false);
        if (!result && LastError<StoreError>::get().code == StoreErrorCode::Overloaded) {
            m_batchDelay.onBatchFailed();
            for (const PendingClaimPtr &pendingClaim : pendingClaims) {
                requeue(pendingClaim, MaxInsertAttemptsUnderOverload);
            }
            return;
        }
        if (!result) {
            resolveFailedTransaction(pendingClaims);
            return;
        }
        m_batchDelay.onBatchAccepted();
        for (size_t i = 0; i < pendingClaims.size(); ++i) {
            const StoreOpResult &opResult = result->results[i];
            if (opResult.applied) {
                resolve(pendingClaims[i], { ClaimState::Won, pendingClaims[i]->attempt.claimId, std::nullopt, 0 });
            } else {
                handleConflictingRow(pendingClaims[i], opResult.version, opResult.value);
            }
        }
    }

    /**
     * Replaces a row that expired so long ago that the sweeper may delete it at any moment. If the row is then inserted again, its
     * versions start from 1, so the version alone does not identify it. Each deletion rewrites the sweep row, so the write is conditional
     * on the versions of both rows. The sweep row is read first, so that a deletion after that read makes the write fail.
     */
    void insertSweepGuarded(const PendingClaimPtr &pendingClaim)
    {
        const auto sweepRow = m_store.read({ ClaimRow::SweepRowKey });
        const auto rows = sweepRow ? m_store.read({ pendingClaim->attempt.rowKey }) : std::nullopt;
        if (!rows) {
            resolve(pendingClaim, {});
            return;
        }
        const StoreRow *current = rows->empty() ? nullptr : &rows->front();
        const std::optional<ClaimRow> row = current ? ClaimRow::fromJson(current->value) : std::nullopt;
        if (!row || !row->isNearSweep(m_wallClock.nowMs())) {
            handleConflictingRow(pendingClaim, current ? current->version : 0, current ? std::optional(current->value) : std::nullopt);
            return;
        }
        pendingClaim->ifVersion = current->version;
        const uint64_t sweepVersion = sweepRow->empty() ? 0 : sweepRow->front().version;
        const StoreOp sweepOp { ClaimRow::SweepRowKey, sweepVersion, nlohmann::json { { "claimed", pendingClaim->attempt.claimId } } };
        const auto result = m_store.transact({ sweepOp, insertOp(*pendingClaim) }, true);
        if (!result) {
            resolveFailedTransaction({ pendingClaim });
        } else if (result->committed) {
            resolve(pendingClaim, { ClaimState::Won, pendingClaim->attempt.claimId, std::nullopt, 0 });
        } else {
            retryInsert(pendingClaim, pendingClaim->ifVersion, true);
        }
    }

    /** Resolves or retries a claim by the row that made its insert fail. No write of this claim may be in progress. */
    void handleConflictingRow(const PendingClaimPtr &pendingClaim, uint64_t version, const std::optional<nlohmann::json> &value)
    {
        if (!value) {
            retryInsert(pendingClaim, 0, false);
            return;
        }
        const std::optional<ClaimRow> row = ClaimRow::fromJson(*value);
        const int64_t now = m_wallClock.nowMs();
        if (row && isReclaimable(*row, now)) {
            retryInsert(pendingClaim, version, row->isNearSweep(now));
            return;
        }
        resolve(pendingClaim, outcomeFromRow(*pendingClaim, row));
    }

    /** @return whether the key of @p row may be claimed again */
    static bool isReclaimable(const ClaimRow &row, int64_t now)
    {
        return row.state == ClaimRowState::Released || row.isExpired(now);
    }

    /** @return the outcome for a claim whose key is blocked by @p row, which is empty if the stored row is malformed */
    static ClaimOutcome outcomeFromRow(const PendingClaim &pendingClaim, const std::optional<ClaimRow> &row)
    {
        if (!row) {
            return { ClaimState::Unresolved, {}, std::nullopt, 0 };
        }
        if (row->claimId == pendingClaim.attempt.claimId) {
            return { ClaimState::Won, row->claimId, std::nullopt, 0 };
        }
        if (row->fingerprint != pendingClaim.attempt.fingerprint) {
            return { ClaimState::KeyMismatch, {}, std::nullopt, 0 };
        }
        if (row->state == ClaimRowState::Claimed) {
            return { ClaimState::Unresolved, {}, std::nullopt, 0 };
        }
        ClaimOutcome outcome { ClaimState::Done, {}, std::nullopt, row->status };
        if (row->complete) {
            outcome.result = CallResult {};
            outcome.result->outcome = Outcome::Ran;
            outcome.result->status = row->status;
            outcome.result->headers = row->headers;
            outcome.result->body = row->body;
        }
        return outcome;
    }

    void retryInsert(const PendingClaimPtr &pendingClaim, uint64_t ifVersion, bool isSweepGuarded)
    {
        pendingClaim->ifVersion = ifVersion;
        pendingClaim->isSweepGuarded = isSweepGuarded;
        requeue(pendingClaim, MaxInsertAttempts);
    }

    /** Queues a claim for another insert, or resolves it as Unavailable after @p maxAttempts. */
    void requeue(const PendingClaimPtr &pendingClaim, int maxAttempts)
    {
        if (++pendingClaim->attempts >= maxAttempts) {
            resolve(pendingClaim, {});
            return;
        }
        const std::scoped_lock lock(m_mutex);
        if (!pendingClaim->isAbandoned) {
            m_queue.push_front(pendingClaim);
        }
    }

    /** Resolves the claims of a failed transaction. Reads their rows if the writes may have been committed. */
    void resolveFailedTransaction(const std::vector<PendingClaimPtr> &pendingClaims)
    {
        if (!LastError<StoreError>::get().mayHaveTakenEffect) {
            for (const PendingClaimPtr &pendingClaim : pendingClaims) {
                resolve(pendingClaim, {});
            }
            return;
        }
        std::vector<std::string> keys;
        keys.reserve(pendingClaims.size());
        for (const PendingClaimPtr &pendingClaim : pendingClaims) {
            keys.push_back(pendingClaim->attempt.rowKey);
        }
        const auto rows = m_store.read(keys);
        std::unordered_map<std::string, const StoreRow *> byKey;
        for (size_t i = 0; rows && i < rows->size(); ++i) {
            byKey[(*rows)[i].key] = &(*rows)[i];
        }
        for (const PendingClaimPtr &pendingClaim : pendingClaims) {
            const auto row = byKey.find(pendingClaim->attempt.rowKey);
            resolveFromRow(pendingClaim, row == byKey.end() ? nullptr : row->second);
        }
    }

    /** @param stored  row read after the failed transaction; null if it is absent or could not be read */
    void resolveFromRow(const PendingClaimPtr &pendingClaim, const StoreRow *stored)
    {
        if (stored) {
            const std::optional<ClaimRow> row = ClaimRow::fromJson(stored->value);
            // If the version still meets the condition of the insert, a write in progress may still replace this row.
            if (stored->version != pendingClaim->ifVersion && row && !isReclaimable(*row, m_wallClock.nowMs())) {
                resolve(pendingClaim, outcomeFromRow(*pendingClaim, row));
                return;
            }
        }
        m_recorder.release(pendingClaim->attempt.rowKey, pendingClaim->attempt.claimId);
        resolve(pendingClaim, {});
    }

    /** Sets the outcome of a claim. Releases a claim that was won after its caller had returned. */
    void resolve(const PendingClaimPtr &pendingClaim, const ClaimOutcome &outcome)
    {
        bool isOrphaned = false;
        {
            const std::scoped_lock lock(m_mutex);
            isOrphaned = pendingClaim->isAbandoned && outcome.state == ClaimState::Won;
            pendingClaim->outcome = outcome;
        }
        if (isOrphaned) {
            m_recorder.release(pendingClaim->attempt.rowKey, pendingClaim->attempt.claimId);
        }
    }

    void runCommitLoop(const std::stop_token &stop)
    {
        bool wasQueueEmpty = true;
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(m_mutex);
                wasQueueEmpty = m_queue.empty();
                if (!m_claimQueued.wait(lock, stop, [this] { return !m_queue.empty(); })) {
                    return;
                }
                if (wasQueueEmpty || m_batchDelay.isAboveMinimum()) {
                    m_claimQueued.wait_for(lock, stop, m_batchDelay.current(), [this] { return m_queue.size() >= MaxClaimBatchSize; });
                }
            }
            commitBatch();
        }
    }

    S &m_store;
    ClaimRecorder<S, C, W> &m_recorder;
    const C &m_clock;
    const W &m_wallClock;
    const ClaimOptions m_options;
    BatchDelay m_batchDelay; /**< Used only by the thread that runs commitBatch(). */
    std::mutex m_mutex;
    std::condition_variable_any m_claimQueued;
    std::condition_variable_any m_claimsResolved;
    std::deque<PendingClaimPtr> m_queue;
    std::jthread m_thread;
};

} // namespace carobjunction
