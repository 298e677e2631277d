#pragma once

#include <chrono>
#include <concepts>

namespace carobjunction
{

/** Point in time on a monotonic clock; comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Difference between two TimePoint values, in nanoseconds. */
using Duration = std::chrono::steady_clock::duration;

/** Time source. Classes that depend on the time take it as a template parameter, so that tests can control the time. */
template<typename T>
concept MonotonicClock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/** Monotonic clock of the operating system. */
class SteadyClock
{
public:
    TimePoint now() const
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace carobjunction
