#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobjunction
{

/** Properties of a target on which a routing policy bases its decision. Valid only during the decision. */
struct Candidate {
    std::string_view daemon; /**< Id of the target's daemon. */
    uint32_t localInFlight = 0; /**< Calls in flight from this entry daemon to the target. */
    std::optional<LoadReport> load; /**< Last load report, regardless of its age. */
    Duration reportAge = Duration::max(); /**< Age of the last load report; Duration::max() if there is none. */
    double otherDaemonsInFlight = 0; /**< Calls in flight from other entry daemons, derived from the last load report. */
    double otherDaemonsInFlightMean = 0; /**< Moving average of otherDaemonsInFlight over the load reports. */
    std::optional<Duration> latency; /**< Smoothed latency of successful calls, excluding the network latency between regions. */
    Duration latencyDeviation = Duration::zero(); /**< Smoothed absolute deviation from the smoothed latency. */
    Duration typicalLatency = Duration::zero(); /**< Median of the smoothed latencies of all targets of the service; 0 if unknown. */
    Duration oldestInFlight = Duration::zero(); /**< Age of the oldest call in flight from this entry daemon. */
    Duration unansweredTime = Duration::zero(); /**< Sum, over the calls in flight from this entry daemon, of the time since the call started or since the last
                                                   answer, whichever is later. */
    double failureShare = 0; /**< Smoothed share of calls that failed or were refused, from 0 to 1; decays over time. */
    bool own = false; /**< Whether the target is on the VM of this entry daemon. */
    bool isInSameRegion = true; /**< Whether the target is in the region of this entry daemon. */
    bool isInSameDataCentre = true; /**< Whether the target is in the data centre of this entry daemon. */
    double weight = 1; /**< 1 for a full traffic share, less than 1 during ramp-up. TargetTable has already applied it when it selected the candidates. */
    uint32_t slots = 1; /**< Maximum number of concurrent requests on the target. */
};

} // namespace carobjunction
