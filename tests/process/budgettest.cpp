#include "fakeclock.h"

#include <carobjunction/process/latencyquantile.h>
#include <carobjunction/process/probebudget.h>
#include <carobjunction/process/retrybudget.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE("RetryBudget.randomCalls.isNeverExceeded")
{
    // Guards against retries that multiply the load during an outage.
    CHECK(rc::check([](const std::vector<uint8_t> &steps) {
        FakeClock clock;
        const double share = *rc::gen::element(0.0, 0.05, 0.1, 0.5);
        RetryBudget<FakeClock> budget(clock, share);
        const TimePoint start = clock.now();
        double allowed = RetryBudget<FakeClock>::Initial;
        int acquired = 0;
        for (const uint8_t step : steps) {
            if (step % 3 == 0) {
                budget.onFirstAttempt();
                allowed += share;
            } else if (step % 3 == 1) {
                clock.advance(std::chrono::milliseconds(step));
            } else {
                acquired += budget.tryAcquire() ? 1 : 0;
            }
            RC_ASSERT(acquired <= allowed + RetryBudget<FakeClock>::ReservePerSecond * std::chrono::duration<double>(clock.now() - start).count() + 1e-9);
            RC_ASSERT((share > 0 || acquired == 0));
        }
    }));
}

TEST_CASE("RetryBudget.longTimeWithoutRetries.allowsOnlyABoundedBurst")
{
    // Guards against a retry allowance that accumulates for hours and is then used in a single burst.
    FakeClock clock;
    RetryBudget<FakeClock> budget(clock, 0.1);
    for (int i = 0; i < 10'000; ++i) {
        budget.onFirstAttempt();
    }
    clock.advance(1h);
    int acquired = 0;
    while (acquired < 1000 && budget.tryAcquire()) {
        ++acquired;
    }
    CHECK(acquired == RetryBudget<FakeClock>::Burst);
}

TEST_CASE("ProbeBudget.anyWindowOfOneSecond.isNeverExceeded")
{
    // Guards against bursts of probes around the boundary of two counting periods, which together exceed the budget.
    CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
        FakeClock clock;
        const ProbeBudgetRules limits { *rc::gen::element(0.5, 2.0, 2.5, 7.0), *rc::gen::element(0.0, 100.0, 200.0) };
        ProbeBudget<FakeClock> budget(clock, limits);
        std::vector<std::pair<TimePoint, uint64_t>> sent;
        for (const auto &[pause, bytes] : steps) {
            clock.advance(std::chrono::milliseconds(pause));
            if (budget.tryAcquire(bytes)) {
                sent.emplace_back(clock.now(), bytes);
            }
        }
        // Only windows that start with a probe are checked, because no other window contains more probes or bytes.
        const auto window = std::chrono::duration<double>(std::max(1.0, 1 / limits.probesPerSecond));
        for (const auto &[from, first] : sent) {
            double probes = 0;
            double bytes = 0;
            for (const auto &[at, size] : sent) {
                probes += at >= from && at - from < window ? 1 : 0;
                bytes += at >= from && at - from < 1s ? static_cast<double>(size) : 0;
            }
            RC_ASSERT(probes <= std::max(1.0, limits.probesPerSecond));
            RC_ASSERT(bytes <= limits.crossRegionBytesPerSecond);
        }
        RC_ASSERT((steps.empty() || !sent.empty() || steps.front().second > limits.crossRegionBytesPerSecond));
    }));
}

TEST_CASE("LatencyQuantile.latencyChanges.followsWithinTwoWindows")
{
    // Guards against hedging delays that are based on a quantile from hours ago or on only a few samples.
    FakeClock clock;
    LatencyQuantile<FakeClock> quantile(clock, 0.95, 10s);
    const auto recordLatencies = [&](int scale) {
        for (int i = 1; i <= 100; ++i) {
            quantile.record(std::chrono::milliseconds(scale * (i * 37 % 100)));
        }
    };
    quantile.record(1ms);
    CHECK_FALSE(quantile.quantile());
    recordLatencies(1);
    CHECK(std::chrono::abs(*quantile.quantile() - 95ms) < 5ms);
    clock.advance(11s);
    CHECK(quantile.quantile());
    recordLatencies(10);
    CHECK(std::chrono::abs(*quantile.quantile() - 950ms) < 50ms);
    clock.advance(30s);
    CHECK_FALSE(quantile.quantile());
}
