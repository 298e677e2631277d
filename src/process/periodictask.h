#pragma once

#include <carobjunction/process/clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace carobjunction
{

/** A thread that runs a function at intervals, and earlier when woken. */
class PeriodicTask
{
public:
    /**
     * @param interval  time between two runs
     * @param function  called with whether the interval has passed (otherwise the task was woken); must not throw
     */
    PeriodicTask(Duration interval, std::function<void(bool isDue)> function);

    /** Stops the thread after the run in progress. */
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /** Runs the function soon. Does not block. */
    void wake();

    /** Stops the thread after the run in progress. */
    void stop();

private:
    void loop();

    const Duration m_interval;
    const std::function<void(bool)> m_function;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWoken = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace carobjunction
