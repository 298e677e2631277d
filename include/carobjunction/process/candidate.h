#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobjunction
{

/** What a routing policy sees of one target. Valid only during the decision. */
struct Candidate {
    std::string_view daemon;
    uint32_t localInFlight = 0; /**< Calls of this entry daemon in flight on the target. */
    std::optional<LoadReport> load; /**< Last report, of any age. */
    Duration reportAge = Duration::max();
    double othersAtReport = 0; /**< Calls of other entry daemons that the last report implies. */
    double othersMean = 0; /**< The same, smoothed over the reports seen. */
    std::optional<Duration> latency; /**< Smoothed latency of successful calls, without the link between regions. */
    Duration latencyDeviation = Duration::zero(); /**< Smoothed absolute deviation from that latency. */
    Duration typicalLatency = Duration::zero(); /**< Median of the smoothed latencies of the service's targets; 0 if unknown. */
    Duration oldestInFlight = Duration::zero(); /**< Time since the oldest local call in flight started. */
    Duration unansweredTime = Duration::zero(); /**< Sum over the local calls in flight of the time since their start or the last answer. */
    double failureShare = 0; /**< Smoothed share of calls that failed or were refused, 0 to 1; fades with time. */
    bool own = false; /**< The target of the entry daemon itself. */
    bool sameRegion = true;
    bool sameDataCentre = true;
    double weight = 1; /**< 1 for a full share, below 1 while ramping. The table has thinned the candidates by it already. */
    uint32_t slots = 1;
};

} // namespace carobjunction
