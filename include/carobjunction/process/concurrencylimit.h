#pragma once

#include <carobjunction/process/servicetimeestimate.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace carobjunction
{

/**
 * Adaptive limit of the number of concurrent requests on a backend server, using additive increase and multiplicative decrease.
 *
 * The limit is lowered if the smoothed service time is much longer than the baseline, or if the backend server rejects requests
 * because of overload. Otherwise it is raised by one request at a time. It stays between one and the number of slots.
 */
class ConcurrencyLimit
{
public:
    /** @param slots  upper bound, at least 1 */
    explicit ConcurrencyLimit(uint32_t slots) : m_slots(std::max(slots, 1U)), m_limit(m_slots)
    {
    }

    /** Resets the limit to the new upper bound @p slots. */
    void reset(uint32_t slots)
    {
        m_slots = std::max(slots, 1U);
        m_limit = m_slots;
        m_answersSinceUpdate = 0;
    }

    /** @return maximum number of concurrent requests */
    uint32_t current() const
    {
        return static_cast<uint32_t>(std::max(1.0, std::floor(m_limit)));
    }

    /** Records an answered request. The limit is updated once for every current() answers. */
    void onAnswer(const ServiceTimeEstimate &times)
    {
        if (++m_answersSinceUpdate < current()) {
            return;
        }
        m_answersSinceUpdate = 0;
        if (times.smoothed() > times.baseline() * SlowAnswerRatio) {
            m_limit = std::max(slowdownFloor(), m_limit * SlowAnswerDecrease);
            return;
        }
        m_limit = std::min<double>(m_slots, m_limit + 1);
    }

    /** Lowers the limit after the backend server rejected a request because of overload. */
    void onOverload()
    {
        m_answersSinceUpdate = 0;
        m_limit = std::max(1.0, m_limit * OverloadDecrease);
    }

private:
    // Slow answers can have a cause outside the backend server, so they alone never lower the limit below a third of the slots.
    double slowdownFloor() const
    {
        return std::max(1.0, m_slots / 3.0);
    }

    static constexpr int SlowAnswerRatio = 4;
    static constexpr double SlowAnswerDecrease = 0.9;
    static constexpr double OverloadDecrease = 0.8;

    uint32_t m_slots;
    double m_limit;
    uint32_t m_answersSinceUpdate = 0;
};

} // namespace carobjunction
