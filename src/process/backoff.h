#pragma once

#include <carobjunction/process/durations.h>

#include <algorithm>
#include <random>

namespace carobjunction
{

/** Delays between the retries of a failed call. The limit of the delay doubles with each failure. Not thread-safe. */
class Backoff
{
public:
    /** Upper bound of the delay before the first retry. */
    static constexpr Duration InitialLimit = std::chrono::milliseconds(100);
    static constexpr Duration MaxLimit = std::chrono::milliseconds(1500);

    /** @return a random delay between half and all of the current limit, so that daemons don't retry at the same time */
    Duration next()
    {
        constexpr double MinShare = 0.5;
        const Duration limit = m_limit;
        m_limit = std::min<Duration>(m_limit * 2, MaxLimit);
        return scaled(limit, std::uniform_real_distribution<double>(MinShare, 1)(m_random));
    }

    /** Resets the limit after a successful call. */
    void reset()
    {
        m_limit = InitialLimit;
    }

private:
    Duration m_limit = InitialLimit;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
