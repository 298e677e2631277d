#include <carobjunction/process/stopschedule.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

/** Stop of a daemon in calm, with callers that still send requests during the whole grace period. */
struct StopScheduleFixture {
    const TimePoint start = TimePoint {} + 100s;
    const StopSchedule schedule { start, 6s };
};

TEST_CASE_METHOD(StopScheduleFixture, "StopSchedule.steps.areInOrderWithinTheGracePeriod")
{
    for (const Duration gracePeriod : { Duration(500ms), Duration(2s), Duration(6s), Duration(60s) }) {
        const StopSchedule other(start, gracePeriod);
        CHECK(start < other.serveUntil());
        CHECK(other.serveUntil() < other.answerBy());
        CHECK(other.answerBy() < other.exitBy());
        CHECK(other.exitBy() < start + gracePeriod);
    }
}

TEST_CASE_METHOD(StopScheduleFixture, "StopSchedule.orderThatDoesNotFit.mayNotStart")
{
    // Guards against an order that is dispatched late in the grace period and cut off at its end with an unknown outcome.
    CHECK(schedule.mayStart(false, 2s, start));
    CHECK(schedule.mayStart(false, 2s, schedule.answerBy() - 4100ms));
    CHECK_FALSE(schedule.mayStart(false, 2s, schedule.answerBy() - 3900ms));
    CHECK_FALSE(schedule.mayStart(false, 0s, schedule.answerBy()));
}

TEST_CASE_METHOD(StopScheduleFixture, "StopSchedule.lookupThatFitsWithoutMargin.mayStart")
{
    CHECK(schedule.mayStart(true, 2s, schedule.answerBy() - 2100ms));
    CHECK_FALSE(schedule.mayStart(true, 2s, schedule.answerBy() - 1900ms));
}
