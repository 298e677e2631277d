#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <random>

namespace carobjunction
{

/** Options of a CircuitBreaker. */
struct CircuitBreakerOptions {
    uint32_t failureThreshold = 3; /**< Consecutive failures that open the breaker. More than one, so that a single lost response does not open it. */
    Duration initialBackoff = std::chrono::milliseconds(100); /**< Time from opening to the first trial call. */
    /** Limit of the backoff. With 1,700 daemons, 8 s gives about 280 trial calls per second, below the rate limit of the store. */
    Duration maxBackoff = std::chrono::seconds(8);
    uint64_t seed = std::random_device {}();
};

/**
 * Blocks calls to a failing service. While the breaker is open, it permits one trial call at a time after an exponential backoff, which
 * doubles with each failed trial up to a limit. Each backoff is shortened at random by up to half, so that clients don't retry in step.
 * Thread-safe.
 */
template<MonotonicClock C>
class CircuitBreaker
{
public:
    /** Whether a call may be made. */
    enum class Permit {
        Denied, /**< The breaker is open; the call must not be made. */
        Call, /**< The breaker is closed. */
        Trial, /**< The breaker is open, and this is its only call in progress. */
    };

    /** State transition caused by the result of a call. */
    enum class Change {
        None,
        Opened,
        Closed,
    };

    CircuitBreaker(const C &clock, const CircuitBreakerOptions &options)
        : m_clock(clock), m_options(options), m_random(options.seed), m_backoff(options.initialBackoff)
    {
    }

    /** @return whether the caller may make a call; pass each permit other than Denied to recordResult() when the call ends */
    Permit acquirePermit()
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isOpen) {
            return Permit::Call;
        }
        if (m_isTrialInProgress || m_clock.now() < m_nextTrialAt) {
            return Permit::Denied;
        }
        m_isTrialInProgress = true;
        return Permit::Trial;
    }

    /**
     * Records the result of a call.
     * @param permit  permit that acquirePermit() returned for the call
     * @param succeeded  whether the service responded
     * @return the state transition that the result caused
     */
    Change recordResult(Permit permit, bool succeeded)
    {
        const std::scoped_lock lock(m_mutex);
        if (permit == Permit::Trial) {
            m_isTrialInProgress = false;
        } else if (m_isOpen) {
            return Change::None; // The call started before the breaker opened, so its result does not show the current state of the service.
        }
        if (succeeded) {
            return close();
        }
        return recordFailure(permit);
    }

private:
    Change close()
    {
        const bool wasOpen = m_isOpen;
        m_isOpen = false;
        m_consecutiveFailures = 0;
        m_backoff = m_options.initialBackoff;
        return wasOpen ? Change::Closed : Change::None;
    }

    Change recordFailure(Permit permit)
    {
        if (permit == Permit::Call && ++m_consecutiveFailures < m_options.failureThreshold) {
            return Change::None;
        }
        if (permit == Permit::Trial) {
            m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
        }
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        m_nextTrialAt = m_clock.now() + std::chrono::duration_cast<Duration>(m_backoff * jitter(m_random));
        const bool wasOpen = m_isOpen;
        m_isOpen = true;
        return wasOpen ? Change::None : Change::Opened;
    }

    const C &m_clock;
    const CircuitBreakerOptions m_options;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    bool m_isOpen = false;
    bool m_isTrialInProgress = false;
    uint32_t m_consecutiveFailures = 0;
    Duration m_backoff;
    TimePoint m_nextTrialAt {};
};

} // namespace carobjunction
