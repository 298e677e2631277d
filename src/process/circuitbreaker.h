#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <random>

namespace carobjunction
{

/** Limits of a CircuitBreaker. */
struct CircuitBreakerOptions {
    uint32_t failuresToOpen = 3; /**< Failures in a row before calls are stopped; a single lost answer must not stop them. */
    Duration firstPause = std::chrono::milliseconds(100);
    Duration longestPause = std::chrono::seconds(8); /**< 1,700 daemons at this pause make some 280 trial calls a second, below the store's rate limit. */
    uint64_t seed = std::random_device {}();
};

/**
 * Stops calls to a service that fails. While open, one trial call at a time is let through after a pause, which doubles with
 * each failure up to a cap and is shortened at random by up to half, so that many clients do not come back at the same moment.
 * Thread-safe.
 */
template<MonotonicClock C>
class CircuitBreaker
{
public:
    /** What a caller may do. */
    enum class Permit {
        Denied,
        Call,
        Trial, /**< The only call let through while open. */
    };

    /** Change of state caused by a result. */
    enum class Change {
        None,
        Opened,
        Closed,
    };

    CircuitBreaker(const C &clock, const CircuitBreakerOptions &options)
        : m_clock(clock), m_options(options), m_random(options.seed), m_pause(options.firstPause)
    {
    }

    /** @return whether the caller may make a call; each permit other than Denied is handed back with finish() */
    Permit acquire()
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_open) {
            return Permit::Call;
        }
        if (m_trialInProgress || m_clock.now() < m_nextTrial) {
            return Permit::Denied;
        }
        m_trialInProgress = true;
        return Permit::Trial;
    }

    /**
     * Takes the result of a call.
     * @param permit  what acquire() returned
     * @param succeeded  whether the service answered
     */
    Change finish(Permit permit, bool succeeded)
    {
        const std::scoped_lock lock(m_mutex);
        if (permit == Permit::Trial) {
            m_trialInProgress = false;
        } else if (m_open) {
            return Change::None; // A call from before the breaker opened says nothing about the present.
        }
        if (succeeded) {
            return close();
        }
        return countFailure(permit);
    }

private:
    Change close()
    {
        const bool wasOpen = m_open;
        m_open = false;
        m_failures = 0;
        m_pause = m_options.firstPause;
        return wasOpen ? Change::Closed : Change::None;
    }

    Change countFailure(Permit permit)
    {
        if (permit == Permit::Call && ++m_failures < m_options.failuresToOpen) {
            return Change::None;
        }
        if (permit == Permit::Trial) {
            m_pause = std::min(m_pause * 2, m_options.longestPause);
        }
        std::uniform_real_distribution<double> share(0.5, 1.0);
        m_nextTrial = m_clock.now() + std::chrono::duration_cast<Duration>(m_pause * share(m_random));
        const bool wasOpen = m_open;
        m_open = true;
        return wasOpen ? Change::None : Change::Opened;
    }

    const C &m_clock;
    const CircuitBreakerOptions m_options;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    bool m_open = false;
    bool m_trialInProgress = false;
    uint32_t m_failures = 0;
    Duration m_pause;
    TimePoint m_nextTrial {};
};

} // namespace carobjunction
