#include "fakeclock.h"

#include <carobjunction/process/slottuner.h>

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace carobjunction;

namespace
{

/** Backend server that is always at its concurrency limit, with noisy service times that increase above 7 concurrent requests. */
struct SaturatedServer {
    double slowdownAbove7 = 1;
    double externalSlowdown = 1; /**< Slowdown of all requests with an external cause, such as a downstream service. */
    std::minstd_rand generator { 7 };

    double seconds(uint32_t running)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        const double noiseFactor = uniform(generator) < 0.25 ? 3 : 1;
        return 0.1 * externalSlowdown * noiseFactor * (running > 7 ? slowdownAbove7 : 1);
    }
};

/**
 * Runs 4000 requests on the backend server.
 * @return the share of requests, without the first quarter, that started under the lower limit
 */
double shareStartedUnderLowerLimit(SaturatedServer &server, double externalSlowdownGrowth = 1, const SlotLimitStatistics &otherServers = {})
{
    FakeClock clock;
    SlotTuner tuner;
    tuner.setSlots(9);
    constexpr int RequestCount = 4000;
    int lowerLimitCount = 0;
    std::deque<SlotTuner::LimitAtStart> running;
    for (int i = 0; i < RequestCount; ++i) {
        const uint32_t limit = tuner.limit();
        running.push_back(tuner.onStart(limit, clock.now()));
        clock.advance(std::chrono::milliseconds(20));
        lowerLimitCount += i >= RequestCount / 4 && limit == 7 ? 1 : 0;
        if (running.size() >= limit) {
            tuner.onAnswer(running.front(), limit, "lookup", server.seconds(limit));
            running.pop_front();
        }
        server.externalSlowdown *= externalSlowdownGrowth;
        if (i % 25 == 0) {
            tuner.compareLimits(otherServers);
        }
    }
    return lowerLimitCount / (RequestCount * 0.75);
}

} // namespace

TEST_CASE("SlotTuner.serverThatSlowsWhenNearlyFull.runsBelowItsSlots")
{
    // Guards against use of all slots on a backend server that slows down all requests when the last slots are in use, which loses answers.
    // In the workload nps-mesh, the score was 0.70 with all slots in use, and 0.99 otherwise.
    SaturatedServer server { 1.7 };
    // Trials of the other limit take 15 % of the time.
    CHECK(shareStartedUnderLowerLimit(server) > 0.75);
}

TEST_CASE("SlotTuner.otherServersOfTheService.shareWhatTheyLearned")
{
    SaturatedServer server { 1.7 };
    CHECK(shareStartedUnderLowerLimit(server, 1, { { { 1.2, 600 }, { 9, 600 } }, { { 0.75, 600 }, { 7, 600 } } }) > 0.8);
}

TEST_CASE("SlotTuner.serverWithoutSlowdown.usesAllSlots")
{
    // Guards against use of the lower limit on a backend server that does not slow down with all slots in use, which loses answers. In the workload
    // epistrofi-mesh, the score was 0.78 with the lower limit, and 0.89 otherwise.
    SaturatedServer server { 1 };
    CHECK(shareStartedUnderLowerLimit(server) < 0.25);
}

TEST_CASE("SlotTuner.workThatSlowsForAnotherReason.usesAllSlots")
{
    SaturatedServer server { 1 };
    CHECK(shareStartedUnderLowerLimit(server, 1.0003) < 0.25);
}

TEST_CASE("SlotTuner.unloadedServer.keepsTheLowerLimit")
{
    SlotTuner tuner;
    tuner.setSlots(9);
    for (int i = 0; i < 500; ++i) {
        CHECK(tuner.onStart(3, TimePoint {}) == SlotTuner::LimitAtStart::Unloaded);
    }
    CHECK(tuner.limit() == 7);
}
