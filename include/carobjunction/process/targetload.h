#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace carobjunction::detail
{

/** What one entry daemon knows about the load of one incarnation of a target. Not thread-safe. */
class TargetLoad
{
public:
    /**
     * Takes a report unless a later one was seen.
     * @param at  time for which the report holds
     * @param failing  the report came with a failed call; it is then taken only if it shows no less load than the report
     *        before, because a target that fails fast always looks idle
     * @return whether the report was taken
     */
    bool observe(const LoadReport &report, TimePoint at, bool failing);

    /** Counts a call that was just sent. */
    void started(TimePoint now);

    /** Counts the end of a call that took @p latency. */
    void finished(TimePoint now, Duration latency);

    uint32_t inFlight() const
    {
        return static_cast<uint32_t>(m_started.size());
    }

    /** @return time since the oldest call in flight started, zero if there is none */
    Duration oldest(TimePoint now) const;

    /** @return sum over the calls in flight of the time since their start or since the last call ended, whichever is later */
    Duration unanswered(TimePoint now) const;

    const std::optional<LoadReport> &report() const
    {
        return m_report;
    }

    /** @return age of the report, Duration::max() if there is none */
    Duration reportAge(TimePoint now) const;

    /** @return calls of other entry daemons that the last report implies */
    double othersAtReport() const
    {
        return m_othersAtReport;
    }

    /** @return the same, smoothed over the reports seen */
    double othersMean() const
    {
        return m_othersMean;
    }

private:
    std::optional<LoadReport> m_report;
    TimePoint m_reportAt;
    double m_othersAtReport = 0;
    double m_othersMean = 0;
    std::vector<TimePoint> m_started; // in order of time
    TimePoint m_lastEnd;
};

} // namespace carobjunction::detail
