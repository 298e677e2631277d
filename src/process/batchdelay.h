#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>

namespace carobjunction
{

/**
 * Delay before a batch. It doubles when the store's rate limit refuses a batch and shrinks with each batch accepted, so that daemons
 * which share the limit write larger batches less often instead of having them refused.
 */
class BatchDelay
{
public:
    explicit BatchDelay(Duration shortest) : m_shortest(shortest), m_current(shortest)
    {
    }

    Duration current() const
    {
        return m_current;
    }

    bool isLengthened() const
    {
        return m_current > m_shortest;
    }

    void noteAccepted()
    {
        m_current = std::max<Duration>(m_current - m_current / ShrinkDivisor, m_shortest);
    }

    void noteOverload()
    {
        m_current = std::min<Duration>(std::max<Duration>(m_current, std::chrono::milliseconds(1)) * 2, Longest);
    }

private:
    static constexpr Duration Longest = std::chrono::milliseconds(250);
    static constexpr int ShrinkDivisor = 16; // Shrinks by half in about 11 accepted batches, so refusals stay rare.

    Duration m_shortest;
    Duration m_current;
};

} // namespace carobjunction
