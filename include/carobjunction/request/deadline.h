#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>

namespace carobjunction
{

/** Point in time by which a request must be answered. Sent between processes only as remaining time, because their steady clocks are not comparable. */
class Deadline
{
public:
    /**
     * Returns the deadline that ends @p remaining after @p now.
     * @param now  the current time
     * @param remaining  remaining time; negative values are treated as zero
     */
    static Deadline after(TimePoint now, Duration remaining)
    {
        return Deadline(now + std::max(remaining, Duration::zero()));
    }

    /** @return the remaining time at @p now, never negative */
    Duration remaining(TimePoint now) const
    {
        return std::max(m_timePoint - now, Duration::zero());
    }

    /** @return whether the deadline is reached or passed at @p now */
    bool hasPassed(TimePoint now) const
    {
        return now >= m_timePoint;
    }

    /** @return the earlier of this deadline and @p other */
    Deadline earlier(Deadline other) const
    {
        return Deadline(std::min(m_timePoint, other.m_timePoint));
    }

    TimePoint timePoint() const
    {
        return m_timePoint;
    }

private:
    explicit Deadline(TimePoint timePoint) : m_timePoint(timePoint)
    {
    }

    TimePoint m_timePoint;
};

} // namespace carobjunction
