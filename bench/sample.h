#pragma once

#include <carobjunction/process/clock.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace carobjunction::bench
{

/** A call of the schedule, as planned before the run. */
struct PlannedCall {
    Duration at = Duration::zero(); /**< Planned time from the start of the run. */
    std::size_t kind = 0; /**< Index of the CallKind. */
    std::size_t variant = 0; /**< Index of the Variant. */
    std::size_t entry = 0; /**< Index of the daemon or backend server that the caller sends to. */
};

/** Result of one call. Times are relative to the start of the run. */
struct Sample {
    PlannedCall plan;
    Duration sent = Duration::zero(); /**< Time at which the call was first sent. */
    Duration completed = Duration::zero(); /**< Time of the response or of the final failure. */
    int status = 0; /**< HTTP status; 0 if no complete response was received. */
    int target = -1; /**< Index of the target that responded; -1 if unknown. */
    uint32_t sendCount = 0; /**< Number of attempts to send the call; 0 if it was skipped. */
    bool hasWrongAnswer = false; /**< Whether the response body belongs to another call. */
    std::string outcome; /**< Value of the header Carob-Outcome; empty if no response was received. */
    std::string reason; /**< Value of the header Carob-Reason, or the error of the HTTP client. */
    std::string requestId; /**< Value of the header Carob-Request-Id. */

    /** @return whether the caller received a 2xx response that belongs to its call */
    bool isSuccessful() const
    {
        return status >= 200 && status < 300 && !hasWrongAnswer;
    }

    /** @return latency from the planned time of the call, which includes the time that the call waited for a busy sender (avoids coordinated omission) */
    double latencyMs() const
    {
        return std::chrono::duration<double, std::milli>(completed - plan.at).count();
    }
};

} // namespace carobjunction::bench
