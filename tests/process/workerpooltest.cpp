#include "process/workerpool.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace carobjunction;

TEST_CASE("WorkerPool.end.waitsForAllWorkAndForWorkThatItSubmits")
{
    // Guards against work that is discarded at shutdown: owners wait for the completion of all work that they have submitted.
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
