#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/recentset.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace carobjunction
{

/** Reports that a backend server process terminated while it was running a request. */
struct CrashReport {
    uint64_t fingerprint = 0; /**< Fingerprint of the request, see computeFingerprint(). */
    std::string backend; /**< Id and start time of the backend server process; identifies the crash, so that it is counted only once. */
};

/**
 * Counts, for each request fingerprint, the crashes of backend servers that were running the request, as reported by all daemons.
 * Requests whose fingerprint reaches CrashesToCondemn are refused for a while. Not thread-safe.
 *
 * A request that many callers send is often running when a backend server ends for another reason. Unlike a request that crashes its server, it is
 * answered elsewhere. An answer therefore clears the crashes of its fingerprint, also those reported shortly afterwards.
 */
class CrashHistory
{
public:
    /** Number of crashes after which a request is refused. */
    static constexpr size_t CrashesToCondemn = 2;
    /** Time for which a request is refused after CrashesToCondemn crashes. Then it may run again, since it may not have caused them. */
    static constexpr Duration FirstCondemnation = std::chrono::seconds(8);
    /** Time after the last crash for which the crashes of a fingerprint are retained, and for which it is refused after further crashes. */
    static constexpr Duration Retention = std::chrono::minutes(5);
    /** Time for which an answer is remembered at least. Short, because another version of a backend server may crash later. */
    static constexpr Duration AnswerRetention = std::chrono::seconds(15);
    /** Maximum number of fingerprints retained; beyond it, the fingerprint with the oldest change is evicted. */
    static constexpr size_t MaxFingerprints = 4096;

    /**
     * Adds a crash report, unless the request has been answered recently; it is then reported by clearedSince().
     * @return whether the crash was not yet recorded for this fingerprint
     */
    bool add(const CrashReport &report, TimePoint now);

    /**
     * Records that a request was answered, at this VM or, as reported, at another one.
     * @return whether crashes were recorded for the fingerprint, which are cleared by this
     */
    bool onAnswered(uint64_t fingerprint, TimePoint now);

    /** @return time for which requests with this fingerprint must still be refused; zero if they may run */
    Duration condemnedFor(uint64_t fingerprint, TimePoint now) const;

    /** @return whether requests with this fingerprint must be refused */
    bool isCondemned(uint64_t fingerprint, TimePoint now) const;

    /** @return the crashes recorded since @p since, oldest first; only the newest @p limit if there are more */
    std::vector<CrashReport> reportsSince(TimePoint since, size_t limit) const;

    /** @return fingerprints whose crashes were cleared since @p since, oldest first; only the newest @p limit if there are more */
    std::vector<uint64_t> clearedSince(TimePoint since, size_t limit) const;

private:
    struct Entry {
        std::map<std::string, TimePoint> crashes;
        TimePoint updatedAt;
    };

    void prune(TimePoint now);

    std::map<uint64_t, Entry> m_entries;
    RecentSet<uint64_t, MaxFingerprints> m_answered { AnswerRetention };
    std::map<uint64_t, TimePoint> m_cleared; /**< Time at which the crashes of a fingerprint were last cleared. */
};

} // namespace carobjunction
