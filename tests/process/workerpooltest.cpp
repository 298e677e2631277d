#include "process/workerpool.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace carobjunction;

TEST_CASE("WorkerPool.end.waitsForAllWorkAndForWorkThatItSubmits")
{
    // Guards against tasks that are discarded at shutdown: components that submit tasks to the pool wait for the completion of all of them.
    std::atomic<int> completedCount { 0 };
    {
        WorkerPool pool(4);
        for (int index = 0; index < 100; ++index) {
            pool.run([&pool, &completedCount] {
                pool.run([&completedCount] { ++completedCount; });
                ++completedCount;
            });
        }
    }
    CHECK(completedCount == 200);
}
