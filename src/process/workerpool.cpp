#include "process/workerpool.h"

namespace carobjunction
{

WorkerPool::WorkerPool(uint32_t threads)
{
    m_threads.reserve(threads);
    for (uint32_t index = 0; index < threads; ++index) {
        m_threads.emplace_back([this] { loop(); });
    }
}

WorkerPool::~WorkerPool()
{
    // One empty entry ends one thread, after all work before it.
    for (size_t index = 0; index < m_threads.size(); ++index) {
        m_queue.push(nullptr);
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    // Work that the last work submitted.
    std::function<void()> work;
    while (m_queue.try_pop(work)) {
        if (work) {
            work();
        }
    }
}

void WorkerPool::run(std::function<void()> work)
{
    m_queue.push(std::move(work));
}

void WorkerPool::loop()
{
    std::function<void()> work;
    m_queue.pop(work);
    while (work) {
        work();
        m_queue.pop(work);
    }
}

} // namespace carobjunction
