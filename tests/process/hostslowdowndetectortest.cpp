#include "fakeclock.h"

#include <carobjunction/process/hostslowdowndetector.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

struct HostSlownessFixture {
    void observe(double slowdownFactor, bool isCold = false)
    {
        host.observe(slowdownFactor, isCold, clock.now());
    }

    FakeClock clock;
    HostSlowdownDetector host;
};

TEST_CASE_METHOD(HostSlownessFixture, "HostSlowness.noReading.countsAsUsual")
{
    // Guards against requests that are held back because nothing is known.
    CHECK_FALSE(host.isFresh(clock.now()));
    CHECK_FALSE(host.isSlow(clock.now()));
    CHECK(host.slowdownFactor(clock.now()) == 1);
}

TEST_CASE_METHOD(HostSlownessFixture, "HostSlowness.oldReading.countsAsUsual")
{
    // Guards against a VM that is avoided for a spell that ended long ago.
    observe(5);
    CHECK(host.isSlow(clock.now()));
    clock.advance(HostSlowdownDetector::ReadingRefreshInterval + 1ms);
    CHECK_FALSE(host.isFresh(clock.now()));
    CHECK(host.isSlow(clock.now()));
    clock.advance(HostSlowdownDetector::ReadingExpiry);
    CHECK_FALSE(host.isSlow(clock.now()));
}

TEST_CASE_METHOD(HostSlownessFixture, "HostSlowness.slownessThatLasts.countsAsUsual")
{
    // Guards against requests that wait to their deadline for a VM that stays slow.
    for (Duration passed = 0ms; passed <= HostSlowdownDetector::BaselineWindow; passed += 20ms) {
        observe(5);
        CHECK(host.isSlow(clock.now()));
        clock.advance(20ms);
    }
    observe(5);
    CHECK_FALSE(host.isSlow(clock.now()));
    CHECK(host.slowdownFactor(clock.now()) == 5);
    observe(1);
    clock.advance(20ms);
    observe(5);
    CHECK(host.isSlow(clock.now()));
    CHECK(host.baselineFactor() == 1);
}

TEST_CASE_METHOD(HostSlownessFixture, "HostSlowness.coldServer.isNotInASpell")
{
    // Guards against a whole service that refuses work for seconds after all its backend servers have restarted.
    observe(2, true);
    CHECK_FALSE(host.isSlow(clock.now()));
    observe(10, true);
    CHECK(host.isSlow(clock.now()));
    CHECK(host.baselineFactor() == 2);
}

TEST_CASE_METHOD(HostSlownessFixture, "HostSlowness.readingAfterAPause.isComparedWithWhatWasUsual")
{
    // Guards against a spell that counts as usual because it is the first thing seen after an idle time.
    observe(1);
    clock.advance(10s);
    observe(5);
    CHECK(host.isSlow(clock.now()));
}
