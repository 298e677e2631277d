#include <carobjunction/process/retryledger.h>

namespace carobjunction
{

namespace
{

void dropBefore(std::deque<TimePoint> &times, TimePoint oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

RetryLedger::Window &RetryLedger::current(const std::string &service, TimePoint now)
{
    Window &window = m_windows[service];
    dropBefore(window.requests, now - m_allowance.window);
    dropBefore(window.repeats, now - m_allowance.window);
    return window;
}

void RetryLedger::onRequest(const std::string &service, TimePoint now)
{
    current(service, now).requests.push_back(now);
}

bool RetryLedger::tryRepeat(const std::string &service, TimePoint now)
{
    Window &window = current(service, now);
    const double earned = m_allowance.ratio * static_cast<double>(window.requests.size());
    const double slack = m_allowance.slack / static_cast<double>(m_daemons);
    if (static_cast<double>(window.repeats.size()) + 1 > SpentShare * (earned + slack)) {
        return false;
    }
    window.repeats.push_back(now);
    return true;
}

} // namespace carobjunction
