#include "fakeclock.h"

#include <carobjunction/process/routescatchup.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

struct CatchUpFixture {
    FakeClock clock;
    RoutesCatchUp catchUp;
};

} // namespace

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.changeHeardFromAnotherRegion.isFetchedInTheOwnRegion")
{
    // Guards against daemons that all fetch a change over the link between the regions, as seen at 300 VMs.
    catchUp.onAhead({ "far", 7, false }, clock.now());
    clock.advance(800ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    catchUp.onAhead({ "near", 7, true }, clock.now());
    CHECK(catchUp.source(clock.now()) == "near");
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.changeThatTheStoreBrings.isNotFetched")
{
    // Guards against copies from other daemons of what the store is about to bring.
    catchUp.onAhead({ "near", 7, true }, clock.now());
    clock.advance(400ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    CHECK_FALSE(catchUp.isBehind(7));
    clock.advance(10s);
    CHECK_FALSE(catchUp.source(clock.now()));
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.regionWithoutTheChange.asksTheOtherRegion")
{
    // Guards against a region that stays behind when the store doesn't answer any daemon in it.
    catchUp.onAhead({ "far", 7, false }, clock.now());
    clock.advance(1400ms);
    CHECK_FALSE(catchUp.source(clock.now()));
    clock.advance(100ms);
    CHECK(catchUp.source(clock.now()) == "far");
}

TEST_CASE_METHOD(CatchUpFixture, "RoutesCatchUp.daemonWithoutAnAnswer.isNotAskedAgain")
{
    // Guards against asking a daemon that has ended over and over.
    catchUp.onAhead({ "near", 7, true }, clock.now());
    catchUp.onAhead({ "far", 8, false }, clock.now());
    clock.advance(2s);
    CHECK(catchUp.source(clock.now()) == "near");
    catchUp.onAsked("near");
    CHECK(catchUp.source(clock.now()) == "far");
    catchUp.onAsked("far");
    CHECK_FALSE(catchUp.isBehind(6));
}
