#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/version/serviceconfig.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <mutex>

namespace carobjunction
{

/**
 * Rate limiter for probes and their cross-region traffic. Enforces the budget over a sliding window of one second; for rates below
 * one probe per second, the window is the reciprocal of the rate and allows one probe. Thread-safe.
 */
template<MonotonicClock Clock>
class ProbeBudget
{
public:
    /**
     * @param clock  must outlive this object
     * @param budget  initial limits
     */
    ProbeBudget(const Clock &clock, const ProbeBudgetRules &budget) : m_clock(clock), m_budget(budget)
    {
    }

    /** Replaces the limits. Probes that were already sent count against the new limits. */
    void setBudget(const ProbeBudgetRules &budget)
    {
        const std::lock_guard lock(m_mutex);
        m_budget = budget;
    }

    /**
     * Reserves budget for one probe.
     * @param crossRegionBytes  bytes that the probe transfers over the link between regions, both directions together; 0 within a region.
     *        A probe that exceeds the byte budget of one second is never allowed.
     * @return whether the probe may be sent now; if so, it is counted as sent
     */
    bool tryAcquire(uint64_t crossRegionBytes)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_budget.probesPerSecond <= 0) {
            return false;
        }
        const double secondsPerProbe = std::max(1.0, 1.0 / m_budget.probesPerSecond);
        const auto window = std::chrono::ceil<Duration>(std::chrono::duration<double>(secondsPerProbe));
        double probes = 1;
        double bytes = static_cast<double>(crossRegionBytes);
        for (const SentProbe &sent : m_sentProbes) {
            probes += now - sent.sentAt < window ? 1 : 0;
            bytes += now - sent.sentAt < std::chrono::seconds(1) ? static_cast<double>(sent.bytes) : 0;
        }
        // Fractions of a probe are not carried over: a rate of 2.5 allows 2 probes per window. For rates below 1, the longer window allows 1 probe.
        const double maxProbes = std::max(1.0, m_budget.probesPerSecond);
        if (probes > maxProbes || (crossRegionBytes > 0 && bytes > m_budget.crossRegionBytesPerSecond)) {
            return false;
        }
        m_sentProbes.push_back({ now, crossRegionBytes });
        while (now - m_sentProbes.front().sentAt >= std::max<Duration>(window, MinRetention)) {
            m_sentProbes.pop_front();
        }
        return true;
    }

private:
    struct SentProbe {
        TimePoint sentAt;
        uint64_t bytes;
    };

    /** Time for which sent probes are retained at least, because a new configuration may lower the rate and so lengthen the window. */
    static constexpr Duration MinRetention = std::chrono::seconds(10);

    const Clock &m_clock;
    std::mutex m_mutex;
    ProbeBudgetRules m_budget;
    std::deque<SentProbe> m_sentProbes;
};

} // namespace carobjunction
