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
    // Guards against variants that are compared under different calls.
    const auto times = arrivalSchedule(500, seconds(20), 7);
    CHECK(times == arrivalSchedule(500, seconds(20), 7));
    CHECK(times != arrivalSchedule(500, seconds(20), 8));
    CHECK(std::is_sorted(times.begin(), times.end()));
    CHECK(times.back() < seconds(20));
    // Five standard deviations of a Poisson count of 10000.
    CHECK(std::abs(static_cast<int>(times.size()) - 10000) < 500);
    CHECK(arrivalSchedule(0, seconds(1), 7).empty());
}

TEST_CASE("Quantiles.nearestRank.returnsSamples")
{
    // Guards against interpolation and against ranks that are off by one through binary rounding.
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
    // Guards against faults that differ between variants, or that the experiment file doesn't allow.
    FaultSpec stragglers;
    stragglers.at = seconds(1);
    stragglers.length = seconds(30);
    FaultSpec lost;
    lost.kind = FaultKind::KillNode;
    lost.share = 0.333;
    lost.at = seconds(5);
    const auto actions = faultSchedule({ stragglers, lost }, 12, seconds(60), 3);
    CHECK(actions == faultSchedule({ stragglers, lost }, 12, seconds(60), 3));
    std::vector<std::size_t> lostTargets;
    Duration previous = Duration::zero();
    for (const FaultAction &action : actions) {
        CHECK(action.at >= previous);
        previous = action.at;
        CHECK(action.target < 12);
        if (action.kind == FaultKind::KillNode) {
            lostTargets.push_back(action.target);
            continue;
        }
        CHECK(action.at >= seconds(1));
        CHECK(action.at < seconds(31));
        CHECK(action.length >= milliseconds(50));
        CHECK(action.length <= seconds(2));
        CHECK(action.factor == 10);
    }
    std::sort(lostTargets.begin(), lostTargets.end());
    CHECK(lostTargets.size() == 4);
    CHECK(std::unique(lostTargets.begin(), lostTargets.end()) == lostTargets.end());
}
