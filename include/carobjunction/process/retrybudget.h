#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <mutex>

namespace carobjunction
{

/**
 * Token bucket that limits the retries and hedges of one service to a share of its first attempts. A small constant refill rate lets
 * a service with few calls retry as well. Thread-safe.
 *
 * Over any time t with n first attempts, at most share x n + ReservePerSecond x t + Burst further attempts are allowed.
 */
template<MonotonicClock Clock>
class RetryBudget
{
public:
    /** Refill rate in tokens per second that does not depend on the number of calls. */
    static constexpr double ReservePerSecond = 0.5;
    /** Capacity of the bucket in tokens. At 276 calls/s per daemon and a share of 10%, it refills in less than half a second. */
    static constexpr double Burst = 10;
    /** Tokens in the bucket at the start. */
    static constexpr double Initial = 2;

    /**
     * @param clock  must outlive this object
     * @param share  retries and hedges allowed per first attempt, at least 0; 0 disables them
     */
    RetryBudget(const Clock &clock, double share) : m_clock(clock), m_share(share), m_refilledAt(clock.now())
    {
    }

    /** Replaces the share, for example if the configuration changes. */
    void setShare(double share)
    {
        const std::lock_guard lock(m_mutex);
        m_share = share;
    }

    double share() const
    {
        const std::lock_guard lock(m_mutex);
        return m_share;
    }

    /** Counts the first attempt of a call, and refills the bucket by the share. */
    void onFirstAttempt()
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(Burst, m_tokens + m_share);
    }

    /**
     * Takes a token for a retry or hedge.
     * @return whether the attempt is allowed; if so, it is counted as made
     */
    bool tryAcquire()
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_share > 0) {
            m_tokens = std::min(Burst, m_tokens + ReservePerSecond * std::chrono::duration<double>(now - m_refilledAt).count());
        }
        m_refilledAt = now;
        if (m_share <= 0 || m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    double m_share;
    double m_tokens = Initial;
    TimePoint m_refilledAt;
};

} // namespace carobjunction
