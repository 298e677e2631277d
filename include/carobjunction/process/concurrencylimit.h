#pragma once

#include <carobjunction/process/servicetimeestimate.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace carobjunction
{

/**
 * Adaptive limit of the requests that a backend server runs at once.
 *
 * The limit falls when answers take much longer than the baseline while the slots are in use, or when the backend server
 * refuses requests, and rises by one request at a time. It stays between one slot and all slots.
 */
class ConcurrencyLimit
{
public:
    /** @param slots  upper bound, at least 1 */
    explicit ConcurrencyLimit(uint32_t slots) : m_slots(std::max(slots, 1U)), m_limit(m_slots)
    {
    }

    /** Starts again at the upper bound @p slots. */
    void reset(uint32_t slots)
    {
        m_slots = std::max(slots, 1U);
        m_limit = m_slots;
        m_completions = 0;
    }

    uint32_t current() const
    {
        return static_cast<uint32_t>(std::max(1.0, std::floor(m_limit)));
    }

    /** Takes one answered request into account. Acts once in as many answers as the limit allows at once. */
    void onAnswer(const ServiceTimeEstimate &times)
    {
        if (++m_completions < current()) {
            return;
        }
        m_completions = 0;
        if (times.smoothed() > times.baseline() * InflationTolerance) {
            m_limit = std::max(floorLimit(), m_limit * SlowdownFactor);
            return;
        }
        m_limit = std::min<double>(m_slots, m_limit + 1);
    }

    /** Takes into account that the backend server refused a request. */
    void onOverload()
    {
        m_completions = 0;
        m_limit = std::max(1.0, m_limit * OverloadFactor);
    }

private:
    // Slow answers alone may have a cause outside the backend server, so they never take more than two thirds of the slots.
    double floorLimit() const
    {
        return std::max(1.0, m_slots / 3.0);
    }

    static constexpr int InflationTolerance = 4;
    static constexpr double SlowdownFactor = 0.9;
    static constexpr double OverloadFactor = 0.8;

    uint32_t m_slots;
    double m_limit;
    uint32_t m_completions = 0;
};

} // namespace carobjunction
