#include "process/periodictask.h"

namespace carobjunction
{

PeriodicTask::PeriodicTask(Duration interval, std::function<void(bool)> function)
    : m_interval(interval), m_function(std::move(function)), m_thread([this] { runLoop(); })
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
}

void PeriodicTask::wake()
{
    const std::scoped_lock lock(m_mutex);
    m_isWakeRequested = true;
    m_condition.notify_one();
}

void PeriodicTask::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopRequested = true;
        m_condition.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeriodicTask::runLoop()
{
    const SteadyClock clock;
    TimePoint nextRunAt = clock.now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopRequested) {
        m_condition.wait_until(lock, nextRunAt, [this] { return m_isStopRequested || m_isWakeRequested; });
        if (m_isStopRequested) {
            return;
        }
        m_isWakeRequested = false;
        const bool isIntervalOver = clock.now() >= nextRunAt;
        if (isIntervalOver) {
            nextRunAt = clock.now() + m_interval;
        }
        lock.unlock();
        m_function(isIntervalOver);
        lock.lock();
    }
}

} // namespace carobjunction
