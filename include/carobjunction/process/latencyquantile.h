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
 * Observed latency quantile of one route. Estimates are made per time window and the last full window is used
 * until the current one has enough values, so the figure follows changes. Thread-safe.
 */
template<MonotonicClock Clock>
class LatencyQuantile
{
public:
    /** Values needed before an estimate is used; the P-square method is rough below this. */
    static constexpr size_t LeastCount = 20;

    /**
     * @param clock  must outlive the object
     * @param probability  quantile to estimate, between 0 and 1
     * @param window  length of one window
     */
    LatencyQuantile(const Clock &clock, double probability, Duration window = std::chrono::seconds(10))
        : m_clock(clock), m_probability(probability), m_window(window), m_startedAt(clock.now()), m_current(makeEstimate())
    {
    }

    /** Adds the latency of one complete answer. */
    void record(Duration latency)
    {
        const std::lock_guard lock(m_mutex);
        rotate();
        m_current(std::chrono::duration<double, std::milli>(latency).count());
    }

    /** @return the quantile, or empty if too few values were seen within the last two windows */
    std::optional<Duration> quantile() const
    {
        const std::lock_guard lock(m_mutex);
        rotate();
        if (boost::accumulators::count(m_current) >= LeastCount) {
            return valueOf(m_current);
        }
        return m_previous;
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

    void rotate() const
    {
        const TimePoint now = m_clock.now();
        if (now - m_startedAt < m_window) {
            return;
        }
        const bool adjacent = now - m_startedAt < 2 * m_window;
        m_previous = adjacent && boost::accumulators::count(m_current) >= LeastCount ? std::optional(valueOf(m_current)) : std::nullopt;
        m_current = makeEstimate();
        m_startedAt = now;
    }

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    double m_probability;
    Duration m_window;
    mutable TimePoint m_startedAt;
    mutable Estimate m_current;
    mutable std::optional<Duration> m_previous;
};

} // namespace carobjunction
