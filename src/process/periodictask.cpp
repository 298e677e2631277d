#include "process/periodictask.h"

namespace carobjunction
{

PeriodicTask::PeriodicTask(Duration interval, std::function<void(bool)> function)
    : m_interval(interval), m_function(std::move(function)), m_thread([this] { loop(); })
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
}

void PeriodicTask::wake()
{
    const std::scoped_lock lock(m_mutex);
    m_isWoken = true;
    m_condition.notify_one();
}

void PeriodicTask::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        m_condition.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeriodicTask::loop()
{
    const SteadyClock clock;
    TimePoint dueAt = clock.now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_condition.wait_until(lock, dueAt, [this] { return m_isStopping || m_isWoken; });
        if (m_isStopping) {
            return;
        }
        m_isWoken = false;
        const bool isDue = clock.now() >= dueAt;
        if (isDue) {
            dueAt = clock.now() + m_interval;
        }
        lock.unlock();
        m_function(isDue);
        lock.lock();
    }
}

} // namespace carobjunction
