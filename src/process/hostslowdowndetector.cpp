#include <carobjunction/process/hostslowdowndetector.h>

#include <algorithm>

namespace carobjunction
{

void HostSlowdownDetector::observe(double slowdownFactor, bool isCold, TimePoint now)
{
    while (!m_readings.empty() && now - m_readings.front().at > BaselineWindow) {
        m_readings.pop_front();
    }
    if (m_readings.empty()) {
        // There are no recent readings, so the previous baseline is assumed to be still valid.
        m_readings.push_back({ now, std::max(m_baselineFactor, isCold ? ColdStartFactor : 1) });
    }
    m_readings.push_back({ now, slowdownFactor });
    m_baselineFactor = std::min_element(m_readings.begin(), m_readings.end(), [](const Reading &a, const Reading &b) {
                           return a.slowdownFactor < b.slowdownFactor;
                       })->slowdownFactor;
}

} // namespace carobjunction
