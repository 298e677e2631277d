#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace carobjunction
{

/** Limits for the retries of a service, summed over all daemons. */
struct ClusterRetryLimits {
    double ratio = 0.2; /**< Retries allowed per request. */
    double slack = 50; /**< Retries allowed in addition to the ratio within a window, for all daemons together. */
    Duration window = std::chrono::seconds(10); /**< Length of the sliding window over which requests and retries are counted. */
};

/**
 * Enforces this daemon's part of the cluster-wide retry limits, for each service over a sliding window. Each daemon applies the ratio to
 * its own requests and gets an equal part of the slack, so that the daemons need no coordination. A retry is every further arrival of
 * a request at a backend server, also if the backend server refused the request before. Not thread-safe.
 */
class ClusterRetryBudget
{
public:
    /** Average number of calls that a retried request makes to other services, where they arrive as retries too. */
    static constexpr double CallsPerRetry = 1.75;
    /** Share of the limits used for retries. The rest is reserved for calls made by retried requests, which look like new requests to a daemon. */
    static constexpr double OwnRetryShare = 1 / (1 + CallsPerRetry);

    explicit ClusterRetryBudget(const ClusterRetryLimits &limits) : m_limits(limits)
    {
    }

    void setLimits(const ClusterRetryLimits &limits)
    {
        m_limits = limits;
    }

    /** @param daemons  number of daemons that share the slack; 0 is treated as 1 */
    void setDaemonCount(size_t daemons)
    {
        m_daemonCount = daemons == 0 ? 1 : daemons;
    }

    /** Counts a new request, which raises the number of allowed retries. */
    void onRequest(const std::string &service, TimePoint now);

    /** @return whether a request to the service may be retried; if so, the retry is counted */
    bool tryRetry(const std::string &service, TimePoint now);

private:
    struct RetryWindow {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    RetryWindow &currentWindow(const std::string &service, TimePoint now);

    ClusterRetryLimits m_limits;
    size_t m_daemonCount = 1;
    std::map<std::string, RetryWindow> m_windows;
};

} // namespace carobjunction
