#pragma once

#include "process/claimcommitter.h"

#include <atomic>

namespace carobjunction
{

/**
 * Claims idempotency keys, so that a non-idempotent request runs at most once within its key window. Only the conditional insert of the
 * row `claim/{service}/{key}` decides which request wins a key. Thread-safe.
 *
 * Correctness relies on two bounds: a write takes effect within ClaimRow::SweepDelayMs / 2 after it was sent or not at all, and the
 * clocks of the daemons differ by less than ClaimRow::SweepDelayMs / 2.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class ClaimLedger
{
public:
    /** All references must outlive this object. */
    ClaimLedger(S &store, const C &clock, const W &wallClock, const ClaimOptions &options)
        : m_idPrefix(options.daemon + '-' + std::to_string(std::mt19937_64(options.seed)()) + '-')
        , m_recorder(store, clock, wallClock, options)
        , m_committer(store, m_recorder, clock, wallClock, options)
    {
    }

    /**
     * Claims a key. Blocks until the outcome is known or @p deadline has passed.
     * @param fingerprint  identifies the request; a claim of the same key with another fingerprint is refused
     * @param window  time until the claim expires
     * @return the outcome, with state Won only if the store has committed this claim
     */
    ClaimOutcome claim(const std::string &service, const std::string &key, uint64_t fingerprint, Duration window, Deadline deadline)
    {
        if (m_recorder.isBacklogged()) {
            return {};
        }
        const std::string rowKey = ClaimRow::rowKeyFor(service, key);
        const std::string claimId = m_idPrefix + std::to_string(++m_lastId);
        ClaimOutcome outcome = m_committer.claim({ rowKey, claimId, fingerprint, window, deadline });
        if (outcome.state == ClaimState::Won) {
            EventLog::write(LogLevel::Debug, Event::ClaimWon, { { "key", rowKey }, { "claim", claimId } });
        } else {
            EventLog::write(LogLevel::Info, Event::ClaimLost, { { "key", rowKey }, { "cause", std::string(nameOf(outcome.state)) } });
        }
        return outcome;
    }

    /** Releases a claim whose request has certainly not run. Returns immediately; the write is retried in the background until committed. */
    void release(const std::string &service, const std::string &key, const std::string &claimId)
    {
        m_recorder.release(ClaimRow::rowKeyFor(service, key), claimId);
    }

    /**
     * Records the result of the request that ran under a claim. Returns immediately; the write is retried in the background until
     * committed. If the body exceeds ClaimRow::MaxRecordedBodyBytes or the headers exceed ClaimRow::MaxRecordedHeaderBytes, only the status is
     * recorded.
     */
    void recordResult(const std::string &service, const std::string &key, const std::string &claimId, uint64_t fingerprint, const CallResult &result)
    {
        const std::string rowKey = ClaimRow::rowKeyFor(service, key);
        if (!m_recorder.record(rowKey, claimId, fingerprint, result)) {
            EventLog::write(LogLevel::Warning, Event::ClaimResultRecorded, { { "key", rowKey }, { "claim", claimId }, { "recorded", "false" } });
        }
    }

    /** Waits until all releases and results are written. @return false if @p limit passed first */
    bool flush(Duration limit)
    {
        return m_recorder.flush(limit);
    }

    /** @return number of releases and results that are not yet written */
    size_t pendingUpdates() const
    {
        return m_recorder.pendingUpdates();
    }

    /** Writes one batch of releases and results on the calling thread, for ClaimThreads::Caller. @return whether a write was attempted */
    bool writePendingBatch()
    {
        return m_recorder.writeNextBatch();
    }

private:
    const std::string m_idPrefix;
    std::atomic<uint64_t> m_lastId { 0 };
    ClaimRecorder<S, C, W> m_recorder;
    ClaimCommitter<S, C, W> m_committer;
};

} // namespace carobjunction
