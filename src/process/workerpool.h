#pragma once

#include <tbb/concurrent_queue.h>

#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace carobjunction
{

/**
 * Runs short blocking tasks from a oneTBB queue on a fixed number of threads.
 *
 * The pool does not use a oneTBB arena, because arena workers search for tasks to steal before they sleep. At 280 calls per second,
 * that used most of a core.
 */
class WorkerPool
{
public:
    /** @param threads  number of threads, and thus of tasks that can block at the same time */
    explicit WorkerPool(uint32_t threads);

    /** Waits for all submitted tasks. */
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /** Queues a task for one of the threads. The task must not throw. */
    void run(std::function<void()> task);

private:
    void runTasks();

    tbb::concurrent_bounded_queue<std::function<void()>> m_queue;
    std::vector<std::thread> m_threads;
};

} // namespace carobjunction
