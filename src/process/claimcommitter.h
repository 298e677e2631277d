#pragma once

#include "process/batchdelay.h"
#include "process/claimanswer.h"
#include "process/claimrecorder.h"

#include <carobjunction/request/deadline.h>

#include <algorithm>
#include <cassert>

namespace carobjunction
{

/** One attempt to claim a key. */
struct ClaimAttempt {
    std::string rowKey;
    std::string claimId;
    uint64_t fingerprint = 0;
    Duration window = Duration::zero();
    Deadline deadline;
};

/**
 * Inserts claims. Claims that arrive within a short delay, or while a transaction is in progress, share the next transaction.
 * Thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W>
class ClaimCommitter
{
public:
    ClaimCommitter(S &store, ClaimRecorder<S, C, W> &recorder, const C &clock, const W &wallClock, const ClaimOptions &options)
        : m_store(store), m_recorder(recorder), m_clock(clock), m_wallClock(wallClock), m_options(options), m_delay(options.batchDelay)
    {
        if (options.threads == ClaimThreads::Own) {
            m_thread = std::jthread([this](const std::stop_token &stop) { work(stop); });
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

    /** Claims a key, at the latest until the attempt's deadline. */
    ClaimAnswer claim(const ClaimAttempt &attempt)
    {
        const auto entry = std::make_shared<Entry>(attempt);
        std::unique_lock lock(m_mutex);
        m_queue.push_back(entry);
        m_arrived.notify_one();
        while (!entry->answer) {
            if (attempt.deadline.isPast(m_clock.now())) {
                return abandon(*entry);
            }
            if (m_options.threads == ClaimThreads::Caller) {
                lock.unlock();
                commitBatch();
                lock.lock();
            } else {
                // The clock may be another than the one that the wait uses, so it is read again now and then.
                const Duration limit = std::min<Duration>(attempt.deadline.remaining(m_clock.now()), std::chrono::milliseconds(50));
                m_answered.wait_for(lock, limit);
            }
        }
        return *entry->answer;
    }

private:
    /** Attempts at a key whose row changes each time; more of them would only add load. */
    static constexpr int MaxRounds = 4;

    /** Attempts at a claim that the rate limit refuses; the caller's deadline usually comes first. */
    static constexpr int MaxRoundsUnderOverload = 20;

    struct Entry {
        explicit Entry(const ClaimAttempt &a) : attempt(a)
        {
        }

        const ClaimAttempt attempt;
        uint64_t ifVersion = 0; /**< Condition of the next insert. */
        bool guarded = false; /**< The next insert is also conditional on the sweep row. */
        int rounds = 0;
        bool abandoned = false; /**< The caller has left with Unavailable. Guarded by m_mutex. */
        std::optional<ClaimAnswer> answer; /**< Guarded by m_mutex. */
    };
    using EntryPtr = std::shared_ptr<Entry>;

    /** Takes an entry from the queue, or lets its transaction end without its caller. Called with the lock held. */
    ClaimAnswer abandon(Entry &entry)
    {
        entry.abandoned = true;
        std::erase_if(m_queue, [&entry](const EntryPtr &queued) { return queued.get() == &entry; });
        return {};
    }

    void commitBatch()
    {
        std::vector<EntryPtr> plain;
        std::vector<EntryPtr> guarded;
        {
            const std::scoped_lock lock(m_mutex);
            while (!m_queue.empty() && plain.size() + guarded.size() < MaxClaimBatch) {
                EntryPtr entry = std::move(m_queue.front());
                m_queue.pop_front();
                if (entry->attempt.deadline.isPast(m_clock.now())) {
                    entry->answer = ClaimAnswer {};
                } else {
                    (entry->guarded ? guarded : plain).push_back(std::move(entry));
                }
            }
        }
        if (!plain.empty()) {
            insert(plain);
        }
        for (const EntryPtr &entry : guarded) {
            insertGuarded(entry);
        }
        m_answered.notify_all();
    }

    StoreOp insertOp(const Entry &entry) const
    {
        ClaimRow row;
        row.claimId = entry.attempt.claimId;
        row.daemon = m_options.daemon;
        row.fingerprint = entry.attempt.fingerprint;
        row.createdMs = m_wallClock.nowMs();
        row.expiresMs = row.createdMs + std::chrono::duration_cast<std::chrono::milliseconds>(entry.attempt.window).count();
        return { entry.attempt.rowKey, entry.ifVersion, row.toJson() };
    }

    void insert(const std::vector<EntryPtr> &entries)
    {
        std::vector<StoreOp> ops;
        ops.reserve(entries.size());
        for (const EntryPtr &entry : entries) {
            ops.push_back(insertOp(*entry));
        }
        const auto result = m_store.transact(ops, false);
        if (!result && LastReason<StoreError>::get().code == StoreErrorCode::Overloaded) {
            m_delay.noteOverload();
            for (const EntryPtr &entry : entries) {
                requeue(entry, MaxRoundsUnderOverload);
            }
            return;
        }
        if (!result) {
            resolveFailure(entries);
            return;
        }
        m_delay.noteAccepted();
        for (size_t i = 0; i < entries.size(); ++i) {
            const StoreOpResult &outcome = result->results[i];
            if (outcome.applied) {
                finish(entries[i], { ClaimState::Won, entries[i]->attempt.claimId, std::nullopt, 0 });
            } else {
                handleRow(entries[i], outcome.version, outcome.value);
            }
        }
    }

    /**
     * Takes over a row that expired so long ago that it may be deleted and inserted anew at any moment, after which its versions
     * repeat. Each deletion rewrites the sweep row, so conditions on both, the sweep row read first, identify the row.
     */
    void insertGuarded(const EntryPtr &entry)
    {
        const auto sweepRow = m_store.read({ ClaimRow::SweepRowKey });
        const auto rows = sweepRow ? m_store.read({ entry->attempt.rowKey }) : std::nullopt;
        if (!rows) {
            finish(entry, {});
            return;
        }
        const StoreRow *current = rows->empty() ? nullptr : &rows->front();
        const std::optional<ClaimRow> row = current ? ClaimRow::fromJson(current->value) : std::nullopt;
        if (!row || !row->mayBeSweptSoon(m_wallClock.nowMs())) {
            handleRow(entry, current ? current->version : 0, current ? std::optional(current->value) : std::nullopt);
            return;
        }
        entry->ifVersion = current->version;
        const uint64_t sweepVersion = sweepRow->empty() ? 0 : sweepRow->front().version;
        const StoreOp sweepOp { ClaimRow::SweepRowKey, sweepVersion, nlohmann::json { { "claimed", entry->attempt.claimId } } };
        const auto result = m_store.transact({ sweepOp, insertOp(*entry) }, true);
        if (!result) {
            resolveFailure({ entry });
        } else if (result->committed) {
            finish(entry, { ClaimState::Won, entry->attempt.claimId, std::nullopt, 0 });
        } else {
            tryAgain(entry, entry->ifVersion, true);
        }
    }

    /** Decides by the row that kept the claim from being inserted. No write of this entry is under way. */
    void handleRow(const EntryPtr &entry, uint64_t version, const std::optional<nlohmann::json> &value)
    {
        if (!value) {
            tryAgain(entry, 0, false);
            return;
        }
        const std::optional<ClaimRow> row = ClaimRow::fromJson(*value);
        const int64_t now = m_wallClock.nowMs();
        if (row && countsAsAbsent(*row, now)) {
            tryAgain(entry, version, row->mayBeSweptSoon(now));
            return;
        }
        finish(entry, answerOf(*entry, row));
    }

    static bool countsAsAbsent(const ClaimRow &row, int64_t now)
    {
        return row.state == ClaimRowState::Released || row.isExpired(now);
    }

    /** @param row  a row that blocks the key; empty if it is malformed */
    static ClaimAnswer answerOf(const Entry &entry, const std::optional<ClaimRow> &row)
    {
        if (!row) {
            return { ClaimState::Unresolved, {}, std::nullopt, 0 };
        }
        if (row->claimId == entry.attempt.claimId) {
            return { ClaimState::Won, row->claimId, std::nullopt, 0 };
        }
        if (row->fingerprint != entry.attempt.fingerprint) {
            return { ClaimState::KeyMismatch, {}, std::nullopt, 0 };
        }
        if (row->state == ClaimRowState::Claimed) {
            return { ClaimState::Unresolved, {}, std::nullopt, 0 };
        }
        ClaimAnswer answer { ClaimState::Done, {}, std::nullopt, row->status };
        if (row->complete) {
            answer.result = CallResult {};
            answer.result->outcome = Outcome::Ran;
            answer.result->status = row->status;
            answer.result->headers = row->headers;
            answer.result->body = row->body;
        }
        return answer;
    }

    void tryAgain(const EntryPtr &entry, uint64_t ifVersion, bool guarded)
    {
        entry->ifVersion = ifVersion;
        entry->guarded = guarded;
        requeue(entry, MaxRounds);
    }

    void requeue(const EntryPtr &entry, int maxRounds)
    {
        if (++entry->rounds >= maxRounds) {
            finish(entry, {});
            return;
        }
        const std::scoped_lock lock(m_mutex);
        if (!entry->abandoned) {
            m_queue.push_front(entry);
        }
    }

    /** Answers entries whose transaction failed, by reading their rows if the writes may be in force. */
    void resolveFailure(const std::vector<EntryPtr> &entries)
    {
        if (!LastReason<StoreError>::get().mayHaveTakenEffect) {
            for (const EntryPtr &entry : entries) {
                finish(entry, {});
            }
            return;
        }
        std::vector<std::string> keys;
        keys.reserve(entries.size());
        for (const EntryPtr &entry : entries) {
            keys.push_back(entry->attempt.rowKey);
        }
        const auto rows = m_store.read(keys);
        std::unordered_map<std::string, const StoreRow *> byKey;
        for (size_t i = 0; rows && i < rows->size(); ++i) {
            byKey[(*rows)[i].key] = &(*rows)[i];
        }
        for (const EntryPtr &entry : entries) {
            const auto row = byKey.find(entry->attempt.rowKey);
            resolveByRow(entry, row == byKey.end() ? nullptr : row->second);
        }
    }

    /** @param stored  the row read after the failure, null if it is absent or unknown */
    void resolveByRow(const EntryPtr &entry, const StoreRow *stored)
    {
        if (stored) {
            const std::optional<ClaimRow> row = ClaimRow::fromJson(stored->value);
            // A row at the version of the condition may still be overwritten by the write under way.
            if (stored->version != entry->ifVersion && row && !countsAsAbsent(*row, m_wallClock.nowMs())) {
                finish(entry, answerOf(*entry, row));
                return;
            }
        }
        m_recorder.release(entry->attempt.rowKey, entry->attempt.claimId);
        finish(entry, {});
    }

    void finish(const EntryPtr &entry, const ClaimAnswer &answer)
    {
        bool leftBehind = false;
        {
            const std::scoped_lock lock(m_mutex);
            leftBehind = entry->abandoned && answer.state == ClaimState::Won;
            entry->answer = answer;
        }
        if (leftBehind) {
            m_recorder.release(entry->attempt.rowKey, entry->attempt.claimId);
        }
    }

    void work(const std::stop_token &stop)
    {
        bool idle = true;
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(m_mutex);
                idle = m_queue.empty();
                if (!m_arrived.wait(lock, stop, [this] { return !m_queue.empty(); })) {
                    return;
                }
                if (idle || m_delay.isLengthened()) {
                    m_arrived.wait_for(lock, stop, m_delay.current(), [this] { return m_queue.size() >= MaxClaimBatch; });
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
    BatchDelay m_delay; /**< Used only by the thread that commits. */
    std::mutex m_mutex;
    std::condition_variable_any m_arrived;
    std::condition_variable_any m_answered;
    std::deque<EntryPtr> m_queue;
    std::jthread m_thread;
};

} // namespace carobjunction
