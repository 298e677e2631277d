#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <mutex>

namespace carobjunction
{

/**
 * Allowance for retries and hedges of one service: a share of the fresh calls, plus a small reserve per second,
 * so that a service with few calls can retry at all. Unused allowance is kept up to a bound. Thread-safe.
 *
 * Over any time t with n fresh calls, at most share x n + ReservePerSecond x t + Burst attempts are allowed.
 */
template<MonotonicClock Clock>
class RetryBudget
{
public:
    /** Attempts per second allowed without fresh calls. */
    static constexpr double ReservePerSecond = 0.5;
    /** Largest unused allowance. With 276 calls/s a daemon and a share of 10%, it is earned in less than half a second. */
    static constexpr double Burst = 10;
    /** Allowance at the start. */
    static constexpr double Initial = 2;

    /**
     * @param clock  must outlive the budget
     * @param share  further attempts as a share of fresh calls, at least 0
     */
    RetryBudget(const Clock &clock, double share) : m_clock(clock), m_share(share), m_filledAt(clock.now())
    {
    }

    /** Takes a new share into force, for example from a new configuration. */
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

    /** Counts a fresh call, which is neither a retry nor a hedge. */
    void onFresh()
    {
        const std::lock_guard lock(m_mutex);
        m_tokens = std::min(Burst, m_tokens + m_share);
    }

    /** @return whether one further attempt is allowed; it then counts as made */
    bool tryTake()
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_share > 0) {
            m_tokens = std::min(Burst, m_tokens + ReservePerSecond * std::chrono::duration<double>(now - m_filledAt).count());
        }
        m_filledAt = now;
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
    TimePoint m_filledAt;
};

} // namespace carobjunction
