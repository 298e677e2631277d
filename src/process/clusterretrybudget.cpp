#include <carobjunction/process/clusterretrybudget.h>

namespace carobjunction
{

namespace
{

void eraseOlderThan(std::deque<TimePoint> &times, TimePoint oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

ClusterRetryBudget::RetryWindow &ClusterRetryBudget::currentWindow(const std::string &service, TimePoint now)
{
    RetryWindow &window = m_windows[service];
    eraseOlderThan(window.requests, now - m_limits.window);
    eraseOlderThan(window.retries, now - m_limits.window);
    return window;
}

void ClusterRetryBudget::onRequest(const std::string &service, TimePoint now)
{
    currentWindow(service, now).requests.push_back(now);
}

bool ClusterRetryBudget::tryRetry(const std::string &service, TimePoint now)
{
    RetryWindow &window = currentWindow(service, now);
    const double retriesByRatio = m_limits.ratio * static_cast<double>(window.requests.size());
    const double slack = m_limits.slack / static_cast<double>(m_daemonCount);
    if (static_cast<double>(window.retries.size()) + 1 > OwnRetryShare * (retriesByRatio + slack)) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

} // namespace carobjunction
