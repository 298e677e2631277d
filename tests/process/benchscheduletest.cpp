#include "../../bench/arrivalschedule.h"
#include "../../bench/faultschedule.h"
#include "../../bench/quantiles.h"

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace carobjunction::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("ArrivalSchedule.equalSeeds.givesEqualAscendingTimes")
{
    // Guards against a comparison of variants whose calls arrive at different times.
    const auto times = arrivalSchedule(500, seconds(20), 7);
    CHECK(times == arrivalSchedule(500, seconds(20), 7));
    CHECK(times != arrivalSchedule(500, seconds(20), 8));
    CHECK(std::is_sorted(times.begin(), times.end()));
    CHECK(times.back() < seconds(20));
    // The tolerance is five standard deviations of a Poisson distribution with a mean of 10000.
    CHECK(std::abs(static_cast<int>(times.size()) - 10000) < 500);
    CHECK(arrivalSchedule(0, seconds(1), 7).empty());
}

TEST_CASE("Quantiles.nearestRank.returnsSamples")
{
    // Guards against interpolation between samples, and against ranks that are off by one because the quantile has no exact binary
    // representation.
    std::vector<double> samples;
    for (int i = 100; i > 0; --i) {
        samples.push_back(i);
    }
    const Quantiles quantiles(samples);
    CHECK(quantiles.at(0) == 1);
    CHECK(quantiles.at(0.5) == 50);
    CHECK(quantiles.at(0.99) == 99);
    CHECK(quantiles.at(0.995) == 100);
    CHECK(quantiles.at(1) == 100);
    CHECK(Quantiles({}).at(0.99) == 0);
}

TEST_CASE("FaultSchedule.stragglers.stayWithinTheirLimits")
{
    // Guards against faults that differ between variants or exceed the limits of the experiment file.
    FaultSpec stragglers;
    stragglers.at = seconds(1);
    stragglers.length = seconds(30);
    FaultSpec lossFault;
    lossFault.kind = FaultKind::KillNode;
    lossFault.share = 0.333;
    lossFault.at = seconds(5);
    const auto actions = faultSchedule({ stragglers, lossFault }, 12, seconds(60), 3);
    CHECK(actions == faultSchedule({ stragglers, lossFault }, 12, seconds(60), 3));
    std::vector<std::size_t> killedTargets;
    Duration previous = Duration::zero();
    for (const FaultAction &action : actions) {
        CHECK(action.at >= previous);
        previous = action.at;
        CHECK(action.target < 12);
        if (action.kind == FaultKind::KillNode) {
            killedTargets.push_back(action.target);
            continue;
        }
        CHECK(action.at >= seconds(1));
        CHECK(action.at < seconds(31));
        CHECK(action.length >= milliseconds(50));
        CHECK(action.length <= seconds(2));
        CHECK(action.factor == 10);
    }
    std::sort(killedTargets.begin(), killedTargets.end());
    CHECK(killedTargets.size() == 4);
    CHECK(std::unique(killedTargets.begin(), killedTargets.end()) == killedTargets.end());
}
