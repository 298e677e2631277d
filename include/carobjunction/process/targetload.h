#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/loadreport.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace carobjunction::detail
{

/** Load of one incarnation of a target, as observed by one entry daemon. Not thread-safe. */
class TargetLoad
{
public:
    /**
     * Applies a load report unless it is older than the current one.
     * @param at  time at which the report was valid
     * @param isFromFailedCall  whether the report was received with a failed call. Such a report is applied only if it does not show
     *        less load than the current one, because a target that fails quickly always appears idle.
     * @return whether the report was applied
     */
    bool observe(const LoadReport &report, TimePoint at, bool isFromFailedCall);

    /** Records that a call was sent. */
    void started(TimePoint now);

    /** Records the end of a call with the given latency. */
    void finished(TimePoint now, Duration latency);

    /** @return number of calls in flight */
    uint32_t inFlight() const
    {
        return static_cast<uint32_t>(m_startTimes.size());
    }

    /** @return age of the oldest call in flight; zero if there is none */
    Duration oldestInFlightAge(TimePoint now) const;

    /** @return sum, over the calls in flight, of the time since the call started or since the last call ended, whichever is later */
    Duration totalUnansweredTime(TimePoint now) const;

    /** @return last report that was applied */
    const std::optional<LoadReport> &report() const
    {
        return m_report;
    }

    /** @return age of the last report; Duration::max() if there is none */
    Duration reportAge(TimePoint now) const;

    /** @return calls in flight from other entry daemons, derived from the last report */
    double otherDaemonsInFlight() const
    {
        return m_otherDaemonsInFlight;
    }

    /** @return moving average of otherDaemonsInFlight() over the reports */
    double otherDaemonsInFlightMean() const
    {
        return m_otherDaemonsInFlightMean;
    }

private:
    std::optional<LoadReport> m_report;
    TimePoint m_reportedAt;
    double m_otherDaemonsInFlight = 0;
    double m_otherDaemonsInFlightMean = 0;
    std::vector<TimePoint> m_startTimes; /**< Start times of the calls in flight, in chronological order. */
    TimePoint m_lastFinishedAt;
};

} // namespace carobjunction::detail
