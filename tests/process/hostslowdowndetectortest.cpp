#include "fakeclock.h"

#include <carobjunction/process/hostslowdowndetector.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

struct HostSlowdownDetectorFixture {
    void observe(double slowdownFactor, bool isCold = false)
    {
        detector.observe(slowdownFactor, isCold, clock.now());
    }

    FakeClock clock;
    HostSlowdownDetector detector;
};

TEST_CASE_METHOD(HostSlowdownDetectorFixture, "HostSlowdownDetector.noReading.isNotSlow")
{
    // Guards against requests that are delayed although there is no reading of the slowdown factor.
    CHECK_FALSE(detector.isFresh(clock.now()));
    CHECK_FALSE(detector.isSlow(clock.now()));
    CHECK(detector.slowdownFactor(clock.now()) == 1);
}

TEST_CASE_METHOD(HostSlowdownDetectorFixture, "HostSlowdownDetector.oldReading.isIgnored")
{
    // Guards against a VM that is avoided because of a slowdown that ended long ago.
    observe(5);
    CHECK(detector.isSlow(clock.now()));
    clock.advance(HostSlowdownDetector::ReadingRefreshInterval + 1ms);
    CHECK_FALSE(detector.isFresh(clock.now()));
    CHECK(detector.isSlow(clock.now()));
    clock.advance(HostSlowdownDetector::ReadingExpiry);
    CHECK_FALSE(detector.isSlow(clock.now()));
}

TEST_CASE_METHOD(HostSlowdownDetectorFixture, "HostSlowdownDetector.persistentSlowdown.becomesTheBaseline")
{
    // Guards against requests that wait until their deadline for the end of a slowdown that persists.
    for (Duration passed = 0ms; passed <= HostSlowdownDetector::BaselineWindow; passed += 20ms) {
        observe(5);
        CHECK(detector.isSlow(clock.now()));
        clock.advance(20ms);
    }
    observe(5);
    CHECK_FALSE(detector.isSlow(clock.now()));
    CHECK(detector.slowdownFactor(clock.now()) == 5);
    observe(1);
    clock.advance(20ms);
    observe(5);
    CHECK(detector.isSlow(clock.now()));
    CHECK(detector.baselineFactor() == 1);
}

TEST_CASE_METHOD(HostSlowdownDetectorFixture, "HostSlowdownDetector.coldServer.isNotSlow")
{
    // Guards against a service that refuses all requests for seconds after its backend servers were restarted together, because their cold
    // starts look like slowdowns.
    observe(2, true);
    CHECK_FALSE(detector.isSlow(clock.now()));
    observe(10, true);
    CHECK(detector.isSlow(clock.now()));
    CHECK(detector.baselineFactor() == 2);
}

TEST_CASE_METHOD(HostSlowdownDetectorFixture, "HostSlowdownDetector.readingAfterAPause.isComparedWithTheLastBaseline")
{
    // Guards against using a slow reading as the baseline because it is the first reading after an idle time.
    observe(1);
    clock.advance(10s);
    observe(5);
    CHECK(detector.isSlow(clock.now()));
}
