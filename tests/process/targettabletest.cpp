#include "process/fakeclock.h"

#include <carobjunction/process/latencyquantile.h>
#include <carobjunction/process/probebudget.h>
#include <carobjunction/process/retrybudget.h>
#include <carobjunction/process/targettable.h>

#include <catch2/catch.hpp>

using namespace carobjunction;

TEST_CASE("TargetTable.targetLeaving.isNeverChosen")
{
    // Guards against new work for a target that announced that it leaves.
    FakeClock clock;
    TargetTable<FakeClock> table(clock, "a", "pilbara", "pil-a", 1);
    table.setTargets("ordering", { { "a", 1, "pilbara", "pil-a", "", "ordering", 9, false }, { "b", 1, "pilbara", "pil-a", "", "ordering", 9, false } });
    table.markLeaving("ordering", "a", 1);
    ServiceConfig config;
    config.service = "ordering";
    for (int i = 0; i < 100; ++i) {
        const auto choice = table.choose(config, {});
        REQUIRE(choice);
        CHECK(choice->target.daemon == "b");
    }
}
