#pragma once

#include <carobjunction/process/clock.h>

#include <algorithm>
#include <cstdint>
#include <map>

namespace carobjunction
{

/** Estimates how long a request takes on one backend server, from completions and from the age of the requests in progress. */
class ServiceTimeEstimate
{
public:
    /** Time after the last answer for which an idle backend server's service time still holds. */
    static constexpr Duration Validity = std::chrono::seconds(5);

    /** Forgets everything, for a new process of the backend server. */
    void reset()
    {
        m_smoothed = Duration::zero();
        m_baseline = Duration::zero();
    }

    /** Takes a request that was answered at @p now. @param duration  time that it took */
    void onCompletion(Duration duration, TimePoint now)
    {
        m_lastCompletion = now;
        if (m_smoothed == Duration::zero()) {
            m_smoothed = duration;
            m_baseline = duration;
            return;
        }
        m_smoothed += (duration - m_smoothed) / SmoothingDivisor;
        // The baseline falls quickly to fast answers and rises slowly, so that it stays near the unloaded service time.
        const int divisor = duration < m_baseline ? SmoothingDivisor : BaselineRiseDivisor;
        m_baseline += (duration - m_baseline) / divisor;
    }

    /** @return smoothed service time; zero if nothing is known */
    Duration smoothed() const
    {
        return m_smoothed;
    }

    /** @return whether the last answer is too long ago for the service time of an idle backend server to hold */
    bool isOutdated(TimePoint now) const
    {
        return now - m_lastCompletion > Validity;
    }

    /** @return service time without overload; zero if nothing is known */
    Duration baseline() const
    {
        return m_baseline;
    }

    /**
     * Service time to expect now. A backend server whose requests in progress are all older than usual is stalled,
     * which shows long before the first of them is answered.
     * @param youngestHalfAge  age of the middle one of the requests in progress, zero if there is none
     */
    Duration expected(Duration youngestHalfAge) const
    {
        if (youngestHalfAge > m_smoothed * StallFactor) {
            return youngestHalfAge;
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
