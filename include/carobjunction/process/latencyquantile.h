#pragma once

#include <carobjunction/process/clock.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <mutex>
#include <optional>

namespace carobjunction
{

/**
 * Estimates a latency quantile of one route. Each estimate covers one time window, so that it follows changes. The estimate of the
 * previous window is used until the current window has enough samples. Thread-safe.
 */
template<MonotonicClock Clock>
class LatencyQuantile
{
public:
    /** Minimum number of samples; the P-square algorithm is inaccurate with fewer. */
    static constexpr size_t MinSampleCount = 20;

    /**
     * @param clock  time source; must outlive the object
     * @param probability  quantile to estimate, between 0 and 1
     * @param window  length of a time window
     */
    LatencyQuantile(const Clock &clock, double probability, Duration window = std::chrono::seconds(10))
        : m_clock(clock), m_probability(probability), m_window(window), m_windowStartedAt(clock.now()), m_currentEstimate(makeEstimate())
    {
    }

    /** Adds the latency of a completed request. */
    void record(Duration latency)
    {
        const std::lock_guard lock(m_mutex);
        rotateWindow();
        m_currentEstimate(std::chrono::duration<double, std::milli>(latency).count());
    }

    /** @return estimated quantile, or std::nullopt if neither the current nor the previous window has enough samples */
    std::optional<Duration> quantile() const
    {
        const std::lock_guard lock(m_mutex);
        rotateWindow();
        if (boost::accumulators::count(m_currentEstimate) >= MinSampleCount) {
            return valueOf(m_currentEstimate);
        }
        return m_previousQuantile;
    }

private:
    using Estimate
        = boost::accumulators::accumulator_set<double,
                                               boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    Estimate makeEstimate() const
    {
        return Estimate(boost::accumulators::quantile_probability = m_probability);
    }

    static Duration valueOf(const Estimate &estimate)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(boost::accumulators::p_square_quantile(estimate)));
    }

    void rotateWindow() const
    {
        const TimePoint now = m_clock.now();
        if (now - m_windowStartedAt < m_window) {
            return;
        }
        const bool isNextWindow = now - m_windowStartedAt < 2 * m_window;
        m_previousQuantile
            = isNextWindow && boost::accumulators::count(m_currentEstimate) >= MinSampleCount ? std::optional(valueOf(m_currentEstimate)) : std::nullopt;
        m_currentEstimate = makeEstimate();
        m_windowStartedAt = now;
    }

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    double m_probability;
    Duration m_window;
    mutable TimePoint m_windowStartedAt;
    mutable Estimate m_currentEstimate;
    mutable std::optional<Duration> m_previousQuantile;
};

} // namespace carobjunction
