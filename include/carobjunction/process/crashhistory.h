#pragma once

#include <carobjunction/process/clock.h>

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
 * Requests whose fingerprint reaches CrashesToCondemn are refused. Not thread-safe.
 */
class CrashHistory
{
public:
    /**
     * Number of crashes after which a request is refused. A request that was merely running during a crash that another request caused is
     * rarely running during a second crash with another cause.
     */
    static constexpr size_t CrashesToCondemn = 2;
    /** Time after the last crash for which the crashes of a fingerprint are retained. */
    static constexpr Duration Retention = std::chrono::minutes(5);
    /** Maximum number of fingerprints retained; beyond it, the fingerprint with the oldest change is evicted. */
    static constexpr size_t MaxFingerprints = 4096;

    /**
     * Adds a crash report.
     * @return whether the crash was not yet recorded for this fingerprint
     */
    bool add(const CrashReport &report, TimePoint now);

    /** @return whether requests with this fingerprint must be refused */
    bool isCondemned(uint64_t fingerprint) const;

    /** @return the crashes recorded since @p since, oldest first; only the newest @p limit if there are more */
    std::vector<CrashReport> reportsSince(TimePoint since, size_t limit) const;

private:
    struct Entry {
        std::map<std::string, TimePoint> crashes;
        TimePoint updatedAt;
    };

    void prune(TimePoint now);

    std::map<uint64_t, Entry> m_entries;
};

} // namespace carobjunction
