#include <carobjunction/process/targetload.h>

#include <algorithm>

namespace carobjunction::detail
{

namespace
{

uint32_t outstanding(const LoadReport &report)
{
    return report.inFlight + report.queued;
}

} // namespace

bool TargetLoad::observe(const LoadReport &report, TimePoint at, bool failing)
{
    constexpr double Smoothing = 0.1; // follows a change of load within about ten reports
    if (m_report) {
        if (report.incarnation < m_report->incarnation || (report.incarnation == m_report->incarnation && report.sequence <= m_report->sequence)) {
            return false;
        }
        if (failing && (outstanding(report) < outstanding(*m_report) || report.predictedWait < m_report->predictedWait)) {
            return false;
        }
    }
    m_othersAtReport = std::max(0.0, static_cast<double>(outstanding(report)) - inFlight());
    m_othersMean = m_report ? m_othersMean + Smoothing * (m_othersAtReport - m_othersMean) : m_othersAtReport;
    m_report = report;
    m_reportAt = at;
    return true;
}

void TargetLoad::started(TimePoint now)
{
    m_started.insert(std::upper_bound(m_started.begin(), m_started.end(), now), now);
}

void TargetLoad::finished(TimePoint now, Duration latency)
{
    if (m_started.empty()) {
        return;
    }
    m_lastEnd = now;
    // Reports of attempts do not name the call, so the one that started nearest to the computed start is taken.
    const TimePoint start = now - latency;
    auto found = std::lower_bound(m_started.begin(), m_started.end(), start);
    if (found == m_started.end() || (found != m_started.begin() && start - *std::prev(found) < *found - start)) {
        --found;
    }
    m_started.erase(found);
}

Duration TargetLoad::oldest(TimePoint now) const
{
    return m_started.empty() ? Duration::zero() : now - m_started.front();
}

Duration TargetLoad::unanswered(TimePoint now) const
{
    Duration sum = Duration::zero();
    for (const TimePoint started : m_started) {
        sum += now - std::max(started, m_lastEnd);
    }
    return sum;
}

Duration TargetLoad::reportAge(TimePoint now) const
{
    return m_report ? now - m_reportAt : Duration::max();
}

} // namespace carobjunction::detail
