#pragma once

#include <chrono>
#include <cstdint>

namespace carobjunction
{

/** Load of one target, as measured by its daemon when the report was created. */
struct LoadReport {
    uint64_t incarnation = 0; /**< Incarnation (start) of the backend server that the report describes. */
    uint64_t sequence = 0; /**< Increases with each report of one incarnation. */
    uint32_t limit = 0; /**< Maximum number of concurrent requests, as set by the adaptive limit. */
    uint32_t inFlight = 0; /**< Number of requests running on the backend server. */
    uint32_t queued = 0; /**< Number of requests waiting for a slot. */
    std::chrono::microseconds serviceTime { 0 }; /**< Smoothed time that the backend server takes per request; 0 if no request finished recently. */
    std::chrono::microseconds predictedWait { 0 }; /**< Predicted time until a new request gets a slot. */
    bool leaving = false; /**< Whether the target is draining and accepts no new requests. */
    bool cold = false; /**< Whether the backend server has only just started and is still warming up. */

    bool operator==(const LoadReport &) const = default;
};

} // namespace carobjunction
