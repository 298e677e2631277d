#pragma once

#include <carobjunction/process/clock.h>

namespace carobjunction
{

/** Clock that only a test moves. */
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
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace carobjunction
