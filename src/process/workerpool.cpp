#include "process/workerpool.h"

namespace carobjunction
{

WorkerPool::WorkerPool(uint32_t threads)
{
    m_threads.reserve(threads);
    for (uint32_t index = 0; index < threads; ++index) {
        m_threads.emplace_back([this] { runTasks(); });
    }
}

WorkerPool::~WorkerPool()
{
    // Each empty task ends one thread, after all tasks queued before it.
    for (size_t index = 0; index < m_threads.size(); ++index) {
        m_queue.push(nullptr);
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    // Runs tasks that were submitted by the last tasks, after the threads have ended.
    std::function<void()> task;
    while (m_queue.try_pop(task)) {
        if (task) {
            task();
        }
    }
}

void WorkerPool::run(std::function<void()> task)
{
    m_queue.push(std::move(task));
}

void WorkerPool::runTasks()
{
    std::function<void()> task;
    m_queue.pop(task);
    while (task) {
        task();
        m_queue.pop(task);
    }
}

} // namespace carobjunction
