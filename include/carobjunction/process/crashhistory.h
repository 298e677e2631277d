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

/** A backend server that ended while it ran a request. */
struct CrashReport {
    uint64_t fingerprint = 0; /**< Of the request, see fingerprintOf(). */
    std::string backend; /**< Id and birth of the backend server, so that one crash is counted once. */
};

/**
 * Counts, for each request, the backend servers that crashed while they ran it, as all daemons saw it. A request that was running
 * at too many crashes is refused. Not thread-safe.
 */
class CrashHistory
{
public:
    /** Crashes after which a request is refused. Requests beside it in one crash are rarely beside it in the next. */
    static constexpr size_t CondemningCrashes = 2;
    /** Time for which a crash is remembered. */
    static constexpr Duration Retention = std::chrono::minutes(5);
    /** Fingerprints remembered; beyond, the oldest is dropped. */
    static constexpr size_t MaxFingerprints = 4096;

    /** @return whether the report was news */
    bool add(const CrashReport &report, TimePoint now);

    /** @return whether requests with this fingerprint are to be refused */
    bool isCondemned(uint64_t fingerprint) const;

    /** @return reports added since @p since, newest last, at most @p limit */
    std::vector<CrashReport> recent(TimePoint since, size_t limit) const;

private:
    struct Entry {
        std::map<std::string, TimePoint> crashes;
        TimePoint changedAt;
    };

    void prune(TimePoint now);

    std::map<uint64_t, Entry> m_entries;
};

} // namespace carobjunction
