#pragma once

#include <carobjunction/process/clock.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace carobjunction
{

/** Runs a function on its own thread at fixed intervals, and additionally whenever woken. */
class PeriodicTask
{
public:
    /**
     * Starts the thread.
     * @param interval  time between two scheduled runs
     * @param function  function to run; @p isIntervalOver is false if the run was requested by wake() before the interval passed. Must not throw.
     */
    PeriodicTask(Duration interval, std::function<void(bool isIntervalOver)> function);

    /** Calls stop(). */
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /** Requests a run as soon as possible. Does not block. */
    void wake();

    /** Waits for the run in progress, if any, and ends the thread. */
    void stop();

private:
    void runLoop();

    const Duration m_interval;
    const std::function<void(bool)> m_function;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWakeRequested = false;
    bool m_isStopRequested = false;
    std::thread m_thread;
};

} // namespace carobjunction
