#pragma once

#include <carobjunction/process/clock.h>

#include <ctime>

namespace carobjunction
{

/** Measures how long the VM has been suspended since the construction of this object. The steady clock excludes this time. */
class SuspensionMeter
{
public:
    SuspensionMeter() : m_suspendedAtStart(suspendedTimeSinceBoot())
    {
    }

    /** @return total time of suspension since construction */
    Duration suspendedTime() const
    {
        return suspendedTimeSinceBoot() - m_suspendedAtStart;
    }

    /** @return total time of suspension since boot: CLOCK_BOOTTIME includes it, CLOCK_MONOTONIC does not */
    static Duration suspendedTimeSinceBoot()
    {
        return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
    }

private:
    static Duration readClock(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    Duration m_suspendedAtStart;
};

} // namespace carobjunction
