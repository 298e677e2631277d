#include "process/workerpool.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace carobjunction;

TEST_CASE("WorkerPool.end.waitsForAllWorkAndForWorkThatItSubmits")
{
    // Guards against lost completions at shutdown; owners count the work that they submitted.
    std::atomic<int> done { 0 };
    {
        WorkerPool pool(4);
        for (int index = 0; index < 100; ++index) {
            pool.run([&pool, &done] {
                pool.run([&done] { ++done; });
                ++done;
            });
        }
    }
    CHECK(done == 200);
}
