#include <carobjunction/process/targetload.h>

#include <algorithm>

namespace carobjunction::detail
{

namespace
{

uint32_t outstandingRequests(const LoadReport &report)
{
    return report.inFlight + report.queued;
}

} // namespace

bool TargetLoad::observe(const LoadReport &report, TimePoint at, bool isFromFailedCall)
{
    constexpr double SmoothingFactor = 0.1; // weight of a new report in the moving average, which follows a change of load within about ten reports
    if (m_report) {
        if (report.incarnation < m_report->incarnation || (report.incarnation == m_report->incarnation && report.sequence <= m_report->sequence)) {
            return false;
        }
        if (isFromFailedCall && (outstandingRequests(report) < outstandingRequests(*m_report) || report.predictedWait < m_report->predictedWait)) {
            return false;
        }
    }
    m_otherDaemonsInFlight = std::max(0.0, static_cast<double>(outstandingRequests(report)) - inFlight());
    m_otherDaemonsInFlightMean
        = m_report ? m_otherDaemonsInFlightMean + SmoothingFactor * (m_otherDaemonsInFlight - m_otherDaemonsInFlightMean) : m_otherDaemonsInFlight;
    m_report = report;
    m_reportedAt = at;
    return true;
}

void TargetLoad::started(TimePoint now)
{
    m_startTimes.insert(std::upper_bound(m_startTimes.begin(), m_startTimes.end(), now), now);
}

void TargetLoad::finished(TimePoint now, Duration latency)
{
    if (m_startTimes.empty()) {
        return;
    }
    m_lastFinishedAt = now;
    // The caller does not identify the call, so the call whose start time is nearest to the computed one is removed.
    const TimePoint start = now - latency;
    auto found = std::lower_bound(m_startTimes.begin(), m_startTimes.end(), start);
    if (found == m_startTimes.end() || (found != m_startTimes.begin() && start - *std::prev(found) < *found - start)) {
        --found;
    }
    m_startTimes.erase(found);
}

Duration TargetLoad::oldestInFlightAge(TimePoint now) const
{
    return m_startTimes.empty() ? Duration::zero() : now - m_startTimes.front();
}

Duration TargetLoad::totalUnansweredTime(TimePoint now) const
{
    Duration sum = Duration::zero();
    for (const TimePoint startTime : m_startTimes) {
        sum += now - std::max(startTime, m_lastFinishedAt);
    }
    return sum;
}

Duration TargetLoad::reportAge(TimePoint now) const
{
    return m_report ? now - m_reportedAt : Duration::max();
}

} // namespace carobjunction::detail
