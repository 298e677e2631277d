#include <carobjunction/process/hostslowness.h>

#include <algorithm>

namespace carobjunction
{

void HostSlowness::observe(double factor, bool isCold, TimePoint now)
{
    while (!m_readings.empty() && now - m_readings.front().at > UsualWindow) {
        m_readings.pop_front();
    }
    if (m_readings.empty()) {
        // There are no recent readings, so the previous baseline is assumed to be still valid.
        m_readings.push_back({ now, std::max(m_baselineFactor, isCold ? ColdFactor : 1) });
    }
    m_readings.push_back({ now, factor });
    m_baselineFactor = std::min_element(m_readings.begin(), m_readings.end(), [](const Reading &a, const Reading &b) { return a.factor < b.factor; })->factor;
}

} // namespace carobjunction
