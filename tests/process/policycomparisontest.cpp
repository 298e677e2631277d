#include "fakeclock.h"

#include <carobjunction/process/targettable.h>

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <iostream>
#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

struct Scenario {
    const char *name = "";
    size_t targets = 5;
    double ejectableShare = 0.3; /**< Maximum share of ejected targets. */
    bool isStragglerMoving = false; /**< Whether every 500 ms a different target is slow for 300 ms; otherwise target 0 is slow from 2 s on. */
    double minLatencyRatio = 2; /**< Minimum ratio of the p99 latency of round robin to that of `predicted`. */
};

struct Target {
    std::deque<std::function<void()>> queue;
    LoadReport load { 1, 0, 9, 0, 0, 10ms, 0ms, false, false };
};

/**
 * Simulates, in virtual time, daemons that route requests to targets with 9 slots and a queue of 18 requests. Service times are
 * exponentially distributed with a mean of 10 ms, or 100 ms on a slow target. The load is 60 % of the capacity of the targets that are
 * not permanently slow.
 */
struct Simulation {
    Scenario scenario;
    FakeClock clock;
    ServiceConfig config;
    std::vector<Target> targets;
    std::vector<std::unique_ptr<TargetTable<FakeClock>>> tables;
    std::multimap<TimePoint, std::function<void()>> events;
    TimePoint startedAt = clock.now() + 10s; // after the end of the cold ramp
    Rng rng { 20261204 };
    std::multiset<double> latencies;
    size_t failedCount = 0;

    Simulation(const Scenario &selectedScenario, PolicyKind policy) : scenario(selectedScenario), targets(selectedScenario.targets)
    {
        config.service = "dispatch";
        config.routing.policy = policy;
        config.routing.maxEjectedShare = scenario.ejectableShare;
        std::vector<TargetInfo> infos;
        for (size_t i = 0; i < targets.size(); ++i) {
            infos.push_back({ std::to_string(i), 1, "pilbara", "pil-a", "", "dispatch", 9, false });
        }
        for (const TargetInfo &info : infos) {
            tables.push_back(std::make_unique<TargetTable<FakeClock>>(clock, info.daemon, "pilbara", "pil-a", 100 + tables.size()));
            tables.back()->setTargets("dispatch", infos);
        }
        events.emplace(startedAt, [this] { onArrival(); });
        while (!events.empty()) {
            const auto event = events.extract(events.begin());
            clock.advance(event.key() - clock.now());
            event.mapped()();
        }
    }
    double latencyQuantileMs(double share) const
    {
        return *std::next(latencies.begin(), static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size())));
    }
    bool isSlow(size_t index, Duration elapsed) const
    {
        const bool isMovingStraggler = elapsed % 500ms < 300ms && index == static_cast<size_t>(elapsed / 500ms) * 7 % targets.size();
        return elapsed > 2s && (scenario.isStragglerMoving ? isMovingStraggler : index == 0);
    }
    void schedule(double delayMs, std::function<void()> action)
    {
        events.emplace(clock.now() + std::chrono::nanoseconds(static_cast<int64_t>(delayMs * 1e6)), std::move(action));
    }
    void onArrival()
    {
        routeRequest(std::uniform_int_distribution<size_t>(0, tables.size() - 1)(rng), clock.now(), {});
        if (clock.now() - startedAt < 20s) {
            schedule(std::exponential_distribution(0.54 * static_cast<double>(targets.size() - (scenario.isStragglerMoving ? 0 : 1)))(rng),
                     [this] { onArrival(); });
        }
    }
    void routeRequest(size_t entry, TimePoint requestedAt, std::vector<std::string> excluded)
    {
        const auto choice = tables[entry]->choose(config, excluded);
        if (!choice || excluded.size() > config.routing.maxReroutes) {
            return void(++failedCount);
        }
        const size_t index = std::stoul(choice->target.daemon);
        const double oneWayDelayMs = choice->own ? 0 : 0.3;
        const auto sendAnswer = [=, this, sentAt = clock.now()](bool ran) {
            LoadReport &load = targets[index].load;
            ++load.sequence;
            load.queued = static_cast<uint32_t>(targets[index].queue.size());
            load.predictedWait = load.inFlight < 9 ? 0us : load.serviceTime * (load.queued + 1) / 9;
            schedule(oneWayDelayMs, [=, this, report = load]() mutable {
                const AttemptReport attempt {
                    ran ? Outcome::Ran : Outcome::NotRun, ran ? Reason::None : Reason::Full, 200, clock.now() - sentAt, report, false
                };
                tables[entry]->finished("dispatch", std::to_string(index), 1, attempt);
                if (ran) {
                    latencies.insert(std::chrono::duration<double, std::milli>(clock.now() - requestedAt).count());
                } else {
                    excluded.push_back(std::to_string(index));
                    routeRequest(entry, requestedAt, excluded);
                }
            });
        };
        schedule(oneWayDelayMs, [=, this] {
            if (targets[index].queue.size() >= 18) {
                return sendAnswer(false);
            }
            targets[index].queue.emplace_back([=, this] {
                const double serviceTimeMs = std::exponential_distribution(isSlow(index, clock.now() - startedAt) ? 0.01 : 0.1)(rng);
                schedule(serviceTimeMs, [=, this] {
                    LoadReport &load = targets[index].load;
                    --load.inFlight;
                    load.serviceTime
                        = std::chrono::microseconds(static_cast<int64_t>(0.9 * static_cast<double>(load.serviceTime.count()) + 100 * serviceTimeMs));
                    startNext(targets[index]);
                    sendAnswer(true);
                });
            });
            startNext(targets[index]);
        });
    }
    static void startNext(Target &target)
    {
        if (target.load.inFlight < 9 && !target.queue.empty()) {
            ++target.load.inFlight;
            target.queue.front()();
            target.queue.pop_front();
        }
    }
};
} // namespace

TEST_CASE("PredictedPolicy.oneStragglerOfTenTimes.halvesP99OfRoundRobin", "[routing]")
{
    // Guards against calls that wait for a slow target which may not be ejected, or if the slowness moves to
    // another target before ejection takes effect. Prints the results of all policies.
    // If the slow target can be ejected, round robin avoids it too, so `predicted` need only be better by any margin.
    const auto scenario
        = GENERATE(values<Scenario>({ { "no ejection", 5, 0 }, { "3 targets", 3 }, { "moving", 5, 0.3, true }, { "5 targets", 5, 0.3, false, 1 } }));
    std::map<PolicyKind, double> p99;
    for (const auto &[kind, name] : EnumNames<PolicyKind>::Table) {
        const Simulation simulation(scenario, kind);
        p99[kind] = simulation.latencyQuantileMs(0.99);
        std::cout << scenario.name << " | " << name << " | p50 " << simulation.latencyQuantileMs(0.5) << " ms | p99 " << p99[kind] << " ms | failed "
                  << simulation.failedCount << "\n";
    }
    CHECK(scenario.minLatencyRatio * p99[PolicyKind::Predicted] < p99[PolicyKind::RoundRobin]);
}
