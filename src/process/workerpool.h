#pragma once

#include <tbb/concurrent_queue.h>

#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace carobjunction
{

/**
 * Fixed number of threads that run short blocking work from a oneTBB queue.
 *
 * Threads of its own, not a oneTBB arena: the workers of an arena look for tasks to steal before they sleep, which took most of a core
 * at 280 calls per second.
 */
class WorkerPool
{
public:
    /** @param threads  threads that may block at the same time */
    explicit WorkerPool(uint32_t threads);

    /** Waits for all work that was submitted. */
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /** Runs @p work on one of the threads. @p work must not throw. */
    void run(std::function<void()> work);

private:
    void loop();

    tbb::concurrent_bounded_queue<std::function<void()>> m_queue;
    std::vector<std::thread> m_threads;
};

} // namespace carobjunction
