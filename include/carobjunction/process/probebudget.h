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
 * Limits probes and their cross-region traffic. Within any second, wherever it starts, no more than the budget is spent.
 * With a budget below one probe a second, the same holds for the time that earns one probe. Thread-safe.
 */
template<MonotonicClock Clock>
class ProbeBudget
{
public:
    /**
     * @param clock  must outlive the budget
     * @param budget  limits in force
     */
    ProbeBudget(const Clock &clock, const MeasuringBudget &budget) : m_clock(clock), m_budget(budget)
    {
    }

    /** Takes new limits into force. What was spent before still counts. */
    void setBudget(const MeasuringBudget &budget)
    {
        const std::lock_guard lock(m_mutex);
        m_budget = budget;
    }

    /**
     * @param crossRegionBytes  bytes in both directions over the link between regions, 0 within a region.
     *        A probe that needs more than the budget of one second is never allowed.
     * @return whether the probe may be sent now; it then counts as sent
     */
    bool tryProbe(uint64_t crossRegionBytes)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_budget.probesPerSecond <= 0) {
            return false;
        }
        const double secondsPerProbe = std::max(1.0, 1.0 / m_budget.probesPerSecond);
        const auto probeWindow = std::chrono::ceil<Duration>(std::chrono::duration<double>(secondsPerProbe));
        double probes = 1;
        double bytes = static_cast<double>(crossRegionBytes);
        for (const Spent &spent : m_spent) {
            probes += now - spent.at < probeWindow ? 1 : 0;
            bytes += now - spent.at < std::chrono::seconds(1) ? static_cast<double>(spent.bytes) : 0;
        }
        // A rate of 2.5 allows 2 probes in each second; the product is 1 for rates below 1.
        const double allowed = std::max(1.0, m_budget.probesPerSecond);
        if (probes > allowed || (crossRegionBytes > 0 && bytes > m_budget.crossRegionBytesPerSecond)) {
            return false;
        }
        m_spent.push_back({ now, crossRegionBytes });
        while (now - m_spent.front().at >= std::max<Duration>(probeWindow, LongestWindow)) {
            m_spent.pop_front();
        }
        return true;
    }

private:
    struct Spent {
        TimePoint at;
        uint64_t bytes;
    };

    /** Entries are kept this long, in case a new configuration lowers the rate. */
    static constexpr Duration LongestWindow = std::chrono::seconds(10);

    const Clock &m_clock;
    std::mutex m_mutex;
    MeasuringBudget m_budget;
    std::deque<Spent> m_spent;
};

} // namespace carobjunction
