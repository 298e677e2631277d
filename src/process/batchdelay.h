#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>

namespace carobjunction
{

/**
 * Adaptive delay for collecting a batch of writes. The delay doubles after each refused or failed batch and decreases after
 * each accepted one, so that daemons which share the rate limit of the store write larger batches less often instead of having their
 * batches refused.
 */
class BatchDelay
{
public:
    explicit BatchDelay(Duration minimum) : m_minimum(minimum), m_current(minimum)
    {
    }

    /** @return the delay before the next batch */
    Duration current() const
    {
        return m_current;
    }

    /** @return whether the delay is above its minimum because of earlier failures */
    bool isAboveMinimum() const
    {
        return m_current > m_minimum;
    }

    /** Decreases the delay. */
    void onBatchAccepted()
    {
        m_current -= m_current / ShrinkDivisor;
        if (m_current < m_minimum + SnapToMinimum) {
            m_current = m_minimum;
        }
    }

    /** Doubles the delay, up to a limit. */
    void onBatchFailed()
    {
        m_current = std::min<Duration>(std::max<Duration>(m_current, std::chrono::milliseconds(1)) * 2, MaxDelay);
    }

private:
    static constexpr Duration MaxDelay = std::chrono::milliseconds(250);
    static constexpr Duration SnapToMinimum = std::chrono::microseconds(100); // Excess over the minimum that is dropped; shorter than one transaction.
    static constexpr int ShrinkDivisor = 16; // The delay halves in about 11 accepted batches, slowly enough to keep refusals rare.

    Duration m_minimum;
    Duration m_current;
};

} // namespace carobjunction
