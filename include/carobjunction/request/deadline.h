#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>

namespace carobjunction
{

/** Point in time by which a request must be answered. Travels between processes only as remaining time. */
class Deadline
{
public:
    /**
     * @param now  the current time
     * @param remaining  time left; values below zero count as zero
     */
    static Deadline after(TimePoint now, Duration remaining)
    {
        return Deadline(now + std::max(remaining, Duration::zero()));
    }

    /** @return time left at @p now, never below zero */
    Duration remaining(TimePoint now) const
    {
        return std::max(m_at - now, Duration::zero());
    }

    /** @return whether no time is left at @p now */
    bool isPast(TimePoint now) const
    {
        return now >= m_at;
    }

    /** @return the earlier of this deadline and @p other */
    Deadline earlier(Deadline other) const
    {
        return Deadline(std::min(m_at, other.m_at));
    }

    TimePoint at() const
    {
        return m_at;
    }

private:
    explicit Deadline(TimePoint at) : m_at(at)
    {
    }

    TimePoint m_at;
};

} // namespace carobjunction
