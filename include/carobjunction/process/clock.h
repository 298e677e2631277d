#pragma once

#include <chrono>
#include <concepts>

namespace carobjunction
{

/** Point in time on a clock that never goes back; comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Difference of two TimePoint values, in nanoseconds. */
using Duration = std::chrono::steady_clock::duration;

/** Source of the current time. Decision logic takes it by template parameter, so that tests control time. */
template<typename T>
concept MonotonicClock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/** The machine's steady clock. */
class SteadyClock
{
public:
    TimePoint now() const
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace carobjunction
