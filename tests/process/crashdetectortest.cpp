#include "process/crashdetector.h"

#include <catch2/catch.hpp>

using namespace carobjunction;

TEST_CASE("CrashDetector.lostAnswerWithoutEndOfProcess.reportsNothing")
{
    // Guards against a request that becomes a suspect although only its connection was closed and the backend server did not crash.
    CrashDetector detector;
    detector.onRequestStarted(1, 5, 100);
    detector.onRequestFinished(1, false);
    CHECK_FALSE(detector.onProcessEnded(5));
}

TEST_CASE("CrashDetector.processEnded.reportsAllRequestsInProgressOnce")
{
    // Guards against requests that are missing from the report or reported twice if several requests lose their response in the same crash.
    CrashDetector detector;
    detector.onRequestStarted(1, 5, 100);
    detector.onRequestStarted(2, 5, 200);
    detector.onRequestStarted(3, 5, 300);
    detector.onRequestFinished(3, false);
    detector.onRequestFinished(1, true);
    const auto report = detector.onProcessEnded(5);
    REQUIRE(report);
    CHECK(report->fingerprints == std::vector<uint64_t> { 100, 200 });
    detector.onRequestFinished(2, true);
    CHECK_FALSE(detector.onProcessEnded(5));
}
