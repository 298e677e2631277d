#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace carobjunction
{

/** Requests that were in progress when the backend server crashed. */
struct CrashReport {
    std::vector<uint64_t> fingerprints;
};

/**
 * Finds out which requests were in progress when the backend server crashed. A lost answer alone proves no crash; a refused
 * connection or a new incarnation after it does. Reports each incarnation at most once. Thread-safe.
 */
class CrashDetector
{
public:
    /** @param id  unique among requests in progress */
    void onStarted(uint64_t id, uint64_t incarnation, uint64_t fingerprint)
    {
        const std::scoped_lock lock(m_mutex);
        m_running[id] = { incarnation, fingerprint };
    }

    /** @param lost  whether the connection ended without a whole answer, for another reason than the deadline */
    void onFinished(uint64_t id, bool lost)
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_running.find(id);
        if (found == m_running.end()) {
            return;
        }
        if (lost && found->second.incarnation != m_reported) {
            m_lost.push_back(found->second);
        }
        m_running.erase(found);
    }

    /**
     * The process @p incarnation of the backend server is known to have ended.
     * @return the requests that it ran at the end; empty if there were none, or if it was reported before
     */
    std::optional<CrashReport> onProcessEnded(uint64_t incarnation)
    {
        const std::scoped_lock lock(m_mutex);
        CrashReport report;
        for (const Run &run : m_lost) {
            if (run.incarnation == incarnation) {
                report.fingerprints.push_back(run.fingerprint);
            }
        }
        std::erase_if(m_lost, [incarnation](const Run &run) { return run.incarnation <= incarnation; });
        if (report.fingerprints.empty() || m_reported == incarnation) {
            return std::nullopt;
        }
        m_reported = incarnation;
        for (const auto &[id, run] : m_running) {
            if (run.incarnation == incarnation) {
                report.fingerprints.push_back(run.fingerprint);
            }
        }
        return report;
    }

private:
    struct Run {
        uint64_t incarnation = 0;
        uint64_t fingerprint = 0;
    };

    std::mutex m_mutex;
    std::map<uint64_t, Run> m_running;
    std::vector<Run> m_lost;
    uint64_t m_reported = 0;
};

} // namespace carobjunction
