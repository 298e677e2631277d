#pragma once

#include <carobjunction/process/clock.h>

#include <cstddef>
#include <unordered_set>
#include <utility>

namespace carobjunction
{

/**
 * Set of the values added recently, in two generations. A value is contained for one to two times the retention, or until twice @p MaxValues others
 * have been added. Adding a value takes constant time. Not thread-safe.
 */
template<typename Value, size_t MaxValues>
class RecentSet
{
public:
    /** @param retention  time for which a value is contained at least, unless there are too many values */
    explicit RecentSet(Duration retention) : m_retention(retention)
    {
    }

    void add(const Value &value, TimePoint now)
    {
        rotateIfDue(now);
        m_current.insert(value);
    }

    bool contains(const Value &value, TimePoint now) const
    {
        const Duration age = now - m_rotatedAt;
        const bool isInCurrent = age < 2 * m_retention && m_current.count(value) != 0;
        return isInCurrent || (age < m_retention && m_previous.count(value) != 0);
    }

private:
    /** Starts a new generation if the current one is full or old enough. */
    void rotateIfDue(TimePoint now)
    {
        const Duration age = now - m_rotatedAt;
        if (age < m_retention && m_current.size() < MaxValues) {
            return;
        }
        m_previous = age < 2 * m_retention ? std::move(m_current) : std::unordered_set<Value>();
        m_current.clear();
        m_rotatedAt = now;
    }

    Duration m_retention;
    TimePoint m_rotatedAt; /**< Time at which the current generation was started. */
    std::unordered_set<Value> m_current;
    std::unordered_set<Value> m_previous;
};

} // namespace carobjunction
