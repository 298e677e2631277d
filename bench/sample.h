#pragma once

#include <carobjunction/process/clock.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace carobjunction::bench
{

/** A call as planned before the run. */
struct PlannedCall {
    Duration at = Duration::zero(); /**< From the start of the run. */
    std::size_t kind = 0; /**< Index of the CallKind. */
    std::size_t variant = 0;
    std::size_t entry = 0; /**< Index of the daemon or backend server that the caller sends to. */
};

/** What came of one call. Times count from the start of the run. */
struct Sample {
    PlannedCall plan;
    Duration sent = Duration::zero();
    Duration answered = Duration::zero();
    int status = 0; /**< 0 without a complete answer. */
    int target = -1; /**< Index of the target that answered, -1 if unknown. */
    uint32_t sendCount = 0; /**< How often the caller sent it. */
    bool hasWrongAnswer = false; /**< The answer isn't the one to this call. */
    std::string outcome; /**< Carob-Outcome; empty without an answer. */
    std::string reason; /**< Carob-Reason, or the client's error. */
    std::string requestId;

    /** @return whether the caller got what it asked for */
    bool isSuccessful() const
    {
        return status >= 200 && status < 300 && !hasWrongAnswer;
    }

    /** @return latency as the caller sees it: from the planned time, so that a slow answer doesn't hide the calls behind it */
    double latencyMs() const
    {
        return std::chrono::duration<double, std::milli>(answered - plan.at).count();
    }
};

} // namespace carobjunction::bench
