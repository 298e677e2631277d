#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace carobjunction
{

/**
 * Fixed number of threads that run short blocking work, on a oneTBB arena.
 * The destructor waits for all work that was submitted.
 */
class WorkerPool
{
public:
    /** @param threads  threads that may block at the same time */
    explicit WorkerPool(uint32_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /** Runs @p work on one of the threads. @p work must not throw. */
    void run(std::function<void()> work);

private:
    struct Arena;

    std::unique_ptr<Arena> m_arena;
};

} // namespace carobjunction
