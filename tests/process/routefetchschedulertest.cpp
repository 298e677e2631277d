#include "fakeclock.h"

#include <carobjunction/process/routefetchscheduler.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

struct RouteFetchSchedulerFixture {
    FakeClock clock;
    RouteFetchScheduler scheduler;
};

} // namespace

TEST_CASE_METHOD(RouteFetchSchedulerFixture, "RouteFetchScheduler.changeAdvertisedByAnotherRegion.isFetchedInTheOwnRegion")
{
    // Guards against all daemons of a region fetching a change over the link between the regions, as observed with 300 VMs.
    scheduler.onNewerRoutesAdvertised({ "far", 7, false }, clock.now());
    clock.advance(800ms);
    CHECK_FALSE(scheduler.source(clock.now()));
    scheduler.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    CHECK(scheduler.source(clock.now()) == "near");
}

TEST_CASE_METHOD(RouteFetchSchedulerFixture, "RouteFetchScheduler.changeThatTheStoreDelivers.isNotFetched")
{
    // Guards against fetching routes from other daemons that the store is about to deliver.
    scheduler.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    clock.advance(400ms);
    CHECK_FALSE(scheduler.source(clock.now()));
    CHECK_FALSE(scheduler.hasNewerRoutes(7));
    clock.advance(10s);
    CHECK_FALSE(scheduler.source(clock.now()));
}

TEST_CASE_METHOD(RouteFetchSchedulerFixture, "RouteFetchScheduler.regionWithoutTheChange.queriesTheOtherRegion")
{
    // Guards against a region that keeps outdated routes if the store does not answer any daemon in it.
    scheduler.onNewerRoutesAdvertised({ "far", 7, false }, clock.now());
    clock.advance(1400ms);
    CHECK_FALSE(scheduler.source(clock.now()));
    clock.advance(100ms);
    CHECK(scheduler.source(clock.now()) == "far");
}

TEST_CASE_METHOD(RouteFetchSchedulerFixture, "RouteFetchScheduler.daemonWithoutAnAnswer.isNotQueriedAgain")
{
    // Guards against repeated queries to a daemon that has terminated.
    scheduler.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    scheduler.onNewerRoutesAdvertised({ "far", 8, false }, clock.now());
    clock.advance(2s);
    CHECK(scheduler.source(clock.now()) == "near");
    scheduler.onQueried("near");
    CHECK(scheduler.source(clock.now()) == "far");
    scheduler.onQueried("far");
    CHECK_FALSE(scheduler.hasNewerRoutes(6));
}
