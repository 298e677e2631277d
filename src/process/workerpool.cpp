#include "process/workerpool.h"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

#include <thread>

namespace carobjunction
{

struct WorkerPool::Arena {
    explicit Arena(uint32_t threads)
        // The work blocks on sockets, so it needs more threads than there are cores.
        : parallelism(tbb::global_control::max_allowed_parallelism, threads + 1), arena(static_cast<int>(threads), 0)
    {
    }

    tbb::global_control parallelism;
    tbb::task_arena arena;
    tbb::task_group group;
};

WorkerPool::WorkerPool(uint32_t threads) : m_arena(std::make_unique<Arena>(threads))
{
}

WorkerPool::~WorkerPool()
{
    m_arena->arena.execute([this] { m_arena->group.wait(); });
}

void WorkerPool::run(std::function<void()> work)
{
    m_arena->arena.enqueue(m_arena->group.defer(std::move(work)));
}

} // namespace carobjunction
