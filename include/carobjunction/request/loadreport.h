#pragma once

#include <chrono>
#include <cstdint>

namespace carobjunction
{

/** Load of one target as its own daemon knew it when the report was made. */
struct LoadReport {
    uint64_t incarnation = 0; /**< Incarnation of the backend server. */
    uint64_t sequence = 0; /**< Grows with each report of one incarnation. */
    uint32_t limit = 0; /**< Requests that may run at once, after adaptation. */
    uint32_t inFlight = 0; /**< Requests running on the backend server. */
    uint32_t queued = 0; /**< Requests waiting for a slot. */
    std::chrono::microseconds serviceTime { 0 }; /**< Smoothed time that a request takes on the backend server; 0 if none ended lately. */
    std::chrono::microseconds predictedWait { 0 }; /**< Predicted time until a new request gets a slot. */
    bool leaving = false; /**< The target accepts no new work. */
    bool cold = false; /**< The backend server started a short time ago. */

    bool operator==(const LoadReport &) const = default;
};

} // namespace carobjunction
