#pragma once

#include "process/claimcommitter.h"

#include <atomic>

namespace carobjunction
{

/**
 * Claims of idempotency keys, so that a non-idempotent request runs at most once within its window. The conditional insert of the
 * row `claim/{service}/{key}` is the only arbiter. Thread-safe.
 *
 * It relies on two bounds: a write takes effect within ClaimRow::SweepDelayMs / 2 after it was sent or never, and the clocks of the
 * daemons differ by less than that.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class ClaimLedger
{
public:
    /** All references must outlive the ledger. */
    ClaimLedger(S &store, const C &clock, const W &wallClock, const ClaimOptions &options)
        : m_idPrefix(options.daemon + '-' + std::to_string(std::mt19937_64(options.seed)()) + '-')
        , m_recorder(store, clock, wallClock, options)
        , m_committer(store, m_recorder, clock, wallClock, options)
    {
    }

    /**
     * Claims a key. Blocks, at the latest until @p deadline.
     * @param fingerprint  identifies the request; the same key with another one is refused
     * @param window  time for which the key stays claimed
     * @return Won only if the store holds this claim
     */
    ClaimAnswer claim(const std::string &service, const std::string &key, uint64_t fingerprint, Duration window, Deadline deadline)
    {
        if (m_recorder.isCongested()) {
            return {};
        }
        const std::string rowKey = ClaimRow::keyOf(service, key);
        const std::string claimId = m_idPrefix + std::to_string(++m_lastId);
        ClaimAnswer answer = m_committer.claim({ rowKey, claimId, fingerprint, window, deadline });
        if (answer.state == ClaimState::Won) {
            EventLog::write(LogLevel::Debug, Event::ClaimWon, { { "key", rowKey }, { "claim", claimId } });
        } else {
            EventLog::write(LogLevel::Info, Event::ClaimLost, { { "key", rowKey }, { "cause", std::string(nameOf(answer.state)) } });
        }
        return answer;
    }

    /** Releases a claim whose request is proven not to have run. Returns at once; the write is repeated until it is in force. */
    void release(const std::string &service, const std::string &key, const std::string &claimId)
    {
        m_recorder.release(ClaimRow::keyOf(service, key), claimId);
    }

    /**
     * Records the result of the request that ran under a claim. Returns at once; the write is repeated until it is in force.
     * Of a body above ClaimRow::MaxRecordedBody only the status is recorded.
     */
    void recordDone(const std::string &service, const std::string &key, const std::string &claimId, uint64_t fingerprint, const CallResult &result)
    {
        const std::string rowKey = ClaimRow::keyOf(service, key);
        if (!m_recorder.record(rowKey, claimId, fingerprint, result)) {
            EventLog::write(LogLevel::Warning, Event::ClaimResultRecorded, { { "key", rowKey }, { "claim", claimId }, { "recorded", "false" } });
        }
    }

    /** Waits until all releases and results are in force. @return false if @p limit passed first */
    bool flush(Duration limit)
    {
        return m_recorder.flush(limit);
    }

    /** @return releases and results that are not yet in force */
    size_t pending() const
    {
        return m_recorder.pending();
    }

    /** Writes one batch of releases and results on this thread. For ClaimThreads::Caller. @return whether one was tried */
    bool runBackground()
    {
        return m_recorder.runOnce();
    }

private:
    const std::string m_idPrefix;
    std::atomic<uint64_t> m_lastId { 0 };
    ClaimRecorder<S, C, W> m_recorder;
    ClaimCommitter<S, C, W> m_committer;
};

} // namespace carobjunction
