#include "fakeclock.h"

#include <carobjunction/process/routefetchscheduler.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

struct CatchUpFixture {
    FakeClock clock;
    RouteFetchScheduler catchUp;
};

} // namespace

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.changeHeardFromAnotherRegion.isFetchedInTheOwnRegion")
{
    // Guards against daemons that all fetch a change over the link between the regions, as seen at 300 VMs.
    catchUp.onNewerRoutesAdvertised({ "far", 7, false }, clock.now());
    clock.advance(800ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    catchUp.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    CHECK(catchUp.source(clock.now()) == "near");
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.changeThatTheStoreBrings.isNotFetched")
{
    // Guards against copies from other daemons of what the store is about to bring.
    catchUp.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    clock.advance(400ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    CHECK_FALSE(catchUp.hasNewerRoutes(7));
    clock.advance(10s);
    CHECK_FALSE(catchUp.source(clock.now()));
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.regionWithoutTheChange.asksTheOtherRegion")
{
    // Guards against a region that stays behind when the store doesn't answer any daemon in it.
    catchUp.onNewerRoutesAdvertised({ "far", 7, false }, clock.now());
    clock.advance(1400ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    clock.advance(100ms);
    CHECK(catchUp.source(clock.now()) == "far");
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.daemonWithoutAnAnswer.isNotAskedAgain")
{
    // Guards against asking a daemon that has ended over and over.
    catchUp.onNewerRoutesAdvertised({ "near", 7, true }, clock.now());
    catchUp.onNewerRoutesAdvertised({ "far", 8, false }, clock.now());
    clock.advance(2s);
    CHECK(catchUp.source(clock.now()) == "near");
    catchUp.onQueried("near");
    CHECK(catchUp.source(clock.now()) == "far");
    catchUp.onQueried("far");
    CHECK_FALSE(catchUp.hasNewerRoutes(6));
}
