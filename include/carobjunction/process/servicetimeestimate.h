#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <cstdint>
#include <map>

namespace carobjunction
{

/** Estimates the service time of one backend server from completed requests and from the age of the running requests. */
class ServiceTimeEstimate
{
public:
    /** Time after the last answer for which the estimate of an idle backend server remains valid. */
    static constexpr Duration IdleValidity = std::chrono::seconds(5);

    /** Discards all samples. To be called when a new process of the backend server starts. */
    void reset()
    {
        m_smoothed = Duration::zero();
        m_baseline = Duration::zero();
    }

    /**
     * Adds a sample.
     * @param duration  service time of a request that was answered at @p now
     */
    void onCompletion(Duration duration, TimePoint now)
    {
        m_lastCompletion = now;
        if (m_smoothed == Duration::zero()) {
            m_smoothed = duration;
            m_baseline = duration;
            return;
        }
        m_smoothed += (duration - m_smoothed) / SmoothingDivisor;
        // The baseline adapts quickly to shorter service times and slowly to longer ones, so that it stays close to the service time without load.
        const int divisor = duration < m_baseline ? SmoothingDivisor : BaselineRiseDivisor;
        m_baseline += (duration - m_baseline) / divisor;
    }

    /** @return smoothed service time; zero if there are no samples */
    Duration smoothed() const
    {
        return m_smoothed;
    }

    /** @return whether the estimate of an idle backend server is no longer valid */
    bool isStale(TimePoint now) const
    {
        return now - m_lastCompletion > IdleValidity;
    }

    /** @return estimated service time without load; zero if there are no samples */
    Duration baseline() const
    {
        return m_baseline;
    }

    /**
     * Returns the expected service time. If the running requests are much older than the smoothed service time, the backend server has
     * stalled; the age of the running requests shows this long before any of them is answered.
     * @param medianAge  median age of the running requests; zero if there are none
     */
    Duration expected(Duration medianAge) const
    {
        if (medianAge > m_smoothed * StallFactor) {
            return medianAge;
        }
        return m_smoothed;
    }

private:
    static constexpr int SmoothingDivisor = 8;
    static constexpr int BaselineRiseDivisor = 256;
    static constexpr int StallFactor = 3;

    Duration m_smoothed = Duration::zero();
    Duration m_baseline = Duration::zero();
    TimePoint m_lastCompletion;
};

} // namespace carobjunction
