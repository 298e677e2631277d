#pragma once

#include <carobjunction/process/clock.h>

namespace carobjunction
{

/** Clock that advances only when a test advances it. */
class FakeClock
{
public:
    TimePoint now() const
    {
        return m_now;
    }

    void advance(Duration duration)
    {
        m_now += duration;
    }

private:
    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
};

} // namespace carobjunction
