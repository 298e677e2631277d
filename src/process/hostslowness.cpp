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
        // Nothing is known of the last moments, so what was usual before is taken to be so still.
        m_readings.push_back({ now, std::max(m_usual, isCold ? ColdFactor : 1) });
    }
    m_readings.push_back({ now, factor });
    m_usual = std::min_element(m_readings.begin(), m_readings.end(), [](const Reading &a, const Reading &b) { return a.factor < b.factor; })->factor;
}

} // namespace carobjunction
