#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace carobjunction
{

/** Requests that were in progress when the backend server crashed. */
struct CrashedRequests {
    std::vector<uint64_t> fingerprints;
};

/**
 * Determines which requests were in progress when the backend server crashed. A lost response alone does not prove a crash; a refused
 * connection or a new incarnation after it does. Reports each incarnation at most once. Thread-safe.
 */
class CrashDetector
{
public:
    /**
     * Records the start of a request.
     * @param id  unique among the requests in progress
     * @param incarnation  incarnation of the backend server that runs the request
     */
    void onRequestStarted(uint64_t id, uint64_t incarnation, uint64_t fingerprint)
    {
        const std::scoped_lock lock(m_mutex);
        m_runningRequests[id] = { incarnation, fingerprint };
    }

    /**
     * Records the end of a request.
     * @param isResponseLost  whether the connection closed before the whole response arrived, for a reason other than the deadline
     */
    void onRequestFinished(uint64_t id, bool isResponseLost)
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_runningRequests.find(id);
        if (found == m_runningRequests.end()) {
            return;
        }
        if (isResponseLost && found->second.incarnation != m_reportedIncarnation) {
            m_lostRequests.push_back(found->second);
        }
        m_runningRequests.erase(found);
    }

    /**
     * Records that the backend server process of @p incarnation has ended.
     * @return the requests that were in progress; empty if no response of this incarnation was lost, or if it was already reported
     */
    std::optional<CrashedRequests> onProcessEnded(uint64_t incarnation)
    {
        const std::scoped_lock lock(m_mutex);
        CrashedRequests report;
        for (const RequestRun &run : m_lostRequests) {
            if (run.incarnation == incarnation) {
                report.fingerprints.push_back(run.fingerprint);
            }
        }
        std::erase_if(m_lostRequests, [incarnation](const RequestRun &run) { return run.incarnation <= incarnation; });
        if (report.fingerprints.empty() || m_reportedIncarnation == incarnation) {
            return std::nullopt;
        }
        m_reportedIncarnation = incarnation;
        for (const auto &[id, run] : m_runningRequests) {
            if (run.incarnation == incarnation) {
                report.fingerprints.push_back(run.fingerprint);
            }
        }
        return report;
    }

private:
    /** A request that the backend server runs or ran. */
    struct RequestRun {
        uint64_t incarnation = 0;
        uint64_t fingerprint = 0;
    };

    std::mutex m_mutex;
    std::map<uint64_t, RequestRun> m_runningRequests;
    std::vector<RequestRun> m_lostRequests;
    uint64_t m_reportedIncarnation = 0;
};

} // namespace carobjunction
