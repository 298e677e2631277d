#pragma once

#include <carobjunction/process/clock.h>

#include <ctime>

namespace carobjunction
{

/** Measures the time for which the VM was suspended since this object was made. The steady clock does not count it. */
class SuspensionMeter
{
public:
    SuspensionMeter() : m_startOffset(offset())
    {
    }

    Duration elapsed() const
    {
        return offset() - m_startOffset;
    }

private:
    static Duration read(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    static Duration offset()
    {
        return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
    }

    Duration m_startOffset;
};

} // namespace carobjunction
