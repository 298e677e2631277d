#include "process/crashdetector.h"

#include <catch2/catch.hpp>

using namespace carobjunction;

TEST_CASE("CrashDetector.lostAnswerWithoutEndOfProcess.reportsNothing")
{
    // Guards against suspicion after a connection that was merely dropped.
    CrashDetector detector;
    detector.onStarted(1, 5, 100);
    detector.onFinished(1, false);
    CHECK_FALSE(detector.onProcessEnded(5));
}

TEST_CASE("CrashDetector.processEnded.reportsAllRequestsInProgressOnce")
{
    // Guards against missed and doubled suspicions when several requests notice the same crash.
    CrashDetector detector;
    detector.onStarted(1, 5, 100);
    detector.onStarted(2, 5, 200);
    detector.onStarted(3, 5, 300);
    detector.onFinished(3, false);
    detector.onFinished(1, true);
    const auto report = detector.onProcessEnded(5);
    REQUIRE(report);
    CHECK(report->fingerprints == std::vector<uint64_t> { 100, 200 });
    detector.onFinished(2, true);
    CHECK_FALSE(detector.onProcessEnded(5));
}
