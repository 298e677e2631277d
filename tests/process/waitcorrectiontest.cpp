#include <carobjunction/process/waitcorrection.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

/** Queue whose requests of priority 2 are overtaken: they wait four times as long as predicted. */
struct WaitCorrectionFixture {
    WaitCorrectionFixture()
    {
        for (int i = 0; i < 60; ++i) {
            correction.onGranted(2, 50ms, 200ms);
        }
    }

    WaitCorrection correction;
};

TEST_CASE_METHOD(WaitCorrectionFixture, "WaitCorrection.overtakenRequests.lengthenThePredictionOfTheirPriority")
{
    CHECK(correction.corrected(2, 50ms) > 190ms);
    CHECK(correction.corrected(2, 50ms) <= 200ms);
    CHECK(correction.corrected(1, 50ms) == 50ms);
}

TEST_CASE_METHOD(WaitCorrectionFixture, "WaitCorrection.refusalAfterAWait.neverShortensThePrediction")
{
    // A request that is refused after 60 ms would have waited longer, so it is no evidence of a short wait.
    const Duration before = correction.corrected(2, 50ms);
    correction.onExpired(2, 50ms, 60ms);
    CHECK(correction.corrected(2, 50ms) == before);
    correction.onExpired(2, 50ms, 280ms);
    CHECK(correction.corrected(2, 50ms) > before);
}

TEST_CASE_METHOD(WaitCorrectionFixture, "WaitCorrection.requestsWithoutAWait.letTheCorrectionFade")
{
    for (int i = 0; i < 60; ++i) {
        correction.onGranted(2, 0ms, 0ms);
    }
    CHECK(correction.corrected(2, 100ms) < 110ms);
}

TEST_CASE_METHOD(WaitCorrectionFixture, "WaitCorrection.extremeWaits.areBounded")
{
    for (int i = 0; i < 200; ++i) {
        correction.onExpired(2, 0ms, 10s);
        correction.onGranted(1, 10s, 1ms);
    }
    CHECK(correction.corrected(2, 100ms) <= 600ms);
    CHECK(correction.corrected(1, 100ms) >= 50ms);
}
