#pragma once

#include <carobjunction/process/clock.h>

#include <deque>

namespace carobjunction
{

/**
 * Detects temporary slowdowns of a backend server's VM, which shares its physical host with other VMs. A request that starts during a
 * slowdown takes several times as long as usual, and a slowdown lasts only a fraction of a second. A persistent slowdown, such as
 * the cold start of a backend server, is part of the baseline, because delaying requests until it ends would not pay. Not thread-safe.
 */
class HostSlowdownDetector
{
public:
    /** Maximum age of a reading that is used without taking a new one. */
    static constexpr Duration ReadingRefreshInterval = std::chrono::milliseconds(20);
    /** Age after which a reading is ignored. */
    static constexpr Duration ReadingExpiry = std::chrono::milliseconds(150);
    /** Ratio of the current factor to the baseline factor above which the VM is considered slow. */
    static constexpr double SlowdownThreshold = 1.5;
    /** Time window whose lowest factor is the baseline. Longer than nearly all slowdowns. */
    static constexpr Duration BaselineWindow = std::chrono::seconds(1);
    /** Baseline factor that is assumed for a backend server in its cold start until there are enough readings. */
    static constexpr double ColdStartFactor = 2;

    /**
     * Records a reading.
     * @param slowdownFactor  service time of requests relative to a VM that is not slowed down
     * @param isCold  whether the backend server is in its cold start
     */
    void observe(double slowdownFactor, bool isCold, TimePoint now);

    /** @return whether the last reading is recent enough to be used without taking a new one */
    bool isFresh(TimePoint now) const
    {
        return !m_readings.empty() && now - m_readings.back().at <= ReadingRefreshInterval;
    }

    /** @return current service time relative to a VM that is not slowed down; 1 if the last reading is outdated */
    double slowdownFactor(TimePoint now) const
    {
        return m_readings.empty() || now - m_readings.back().at > ReadingExpiry ? 1 : m_readings.back().slowdownFactor;
    }

    /** @return factor that is expected after the current slowdown */
    double baselineFactor() const
    {
        return m_baselineFactor;
    }

    /** @return whether the VM is temporarily slowed down */
    bool isSlow(TimePoint now) const
    {
        return slowdownFactor(now) > SlowdownThreshold * m_baselineFactor;
    }

private:
    struct Reading {
        TimePoint at;
        double slowdownFactor = 1;
    };

    std::deque<Reading> m_readings; /**< Readings within the last BaselineWindow, in chronological order. */
    double m_baselineFactor = 1;
};

} // namespace carobjunction
