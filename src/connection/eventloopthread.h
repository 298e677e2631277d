#pragma once

#include "connection/asio.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>

#include <thread>
#include <utility>

namespace carobjunction
{

/** Event loop that runs on a thread of its own, for callers that block. */
class EventLoopThread
{
public:
    EventLoopThread() : m_workGuard(m_loop.get_executor()), m_thread([this] { m_loop.run(); })
    {
    }

    ~EventLoopThread()
    {
        stop();
    }

    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    asio::io_context &loop()
    {
        return m_loop;
    }

    /** Stops the event loop and joins its thread, so that objects which the loop uses may be destroyed. Further calls have no effect. */
    void stop()
    {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /** Runs a task on the event loop, and blocks until it has ended. Thread-safe, but must not be called on the thread of the loop. */
    template<typename T>
    T run(Task<T> task)
    {
        return asio::co_spawn(m_loop, std::move(task), asio::use_future).get();
    }

private:
    asio::io_context m_loop { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

} // namespace carobjunction
