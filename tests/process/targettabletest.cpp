#include "fakeclock.h"

#include <carobjunction/process/targettable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

TargetInfo targetOf(const std::string &daemon, uint64_t incarnation = 1, const std::string &region = "pilbara")
{
    return { daemon, incarnation, region, region + "-1", "", "ordering", 9, false };
}

AttemptReport answered(int status, Duration latency)
{
    return { Outcome::Ran, Reason::None, status, latency, std::nullopt, false };
}

LoadReport loadOf(uint64_t sequence, uint32_t inFlight, std::chrono::microseconds serviceTime = 10ms)
{
    return { 1, sequence, 9, inFlight, 0, serviceTime, 0us, false, false };
}

struct TableFixture {
    FakeClock clock;
    ServiceConfig config;
    TargetTable<FakeClock> table { clock, "a", "pilbara", "pilbara-1", 7 };

    TableFixture()
    {
        config.service = "ordering";
        setTargets({ targetOf("a"), targetOf("b"), targetOf("c"), targetOf("d"), targetOf("e") });
        clock.advance(10s);
    }
    void setTargets(std::vector<TargetInfo> targets)
    {
        table.setTargets("ordering", std::move(targets));
    }
    /** Sends @p count calls; calls to @p daemon end with @p special, the others with a good answer after 10 ms. */
    int run(int count, const std::string &daemon = "", const AttemptReport &special = {})
    {
        int hits = 0;
        for (int i = 0; i < count; ++i) {
            const auto choice = table.choose(config, {});
            REQUIRE(choice);
            const bool hit = choice->target.daemon == daemon;
            const AttemptReport report = hit ? special : answered(200, 10ms);
            hits += hit ? 1 : 0;
            clock.advance(report.latency);
            table.finished("ordering", choice->target.daemon, choice->target.incarnation, report);
        }
        return hits;
    }
    TargetSnapshot shot(const std::string &daemon) const
    {
        for (const TargetSnapshot &snapshot : table.snapshot("ordering")) {
            if (snapshot.target.daemon == daemon) {
                return snapshot;
            }
        }
        return {};
    }
    bool stopped(const std::string &daemon) const
    {
        return shot(daemon).weight == 0;
    }
};

} // namespace

TEST_CASE("TargetTable.randomHistory.keepsItsLimits", "[routing]")
{
    // Guards against calls to excluded, leaving or unknown targets, and against ejecting more than the share allowed.
    CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
        TableFixture fixture;
        fixture.config.routing.policy = *rc::gen::element(PolicyKind::Predicted, PolicyKind::RoundRobin, PolicyKind::ProbePool, PolicyKind::TwoChoices);
        fixture.config.routing.maxEjectedShare = *rc::gen::element(0.0, 0.3, 0.7, 1.0);
        std::set<std::string> leaving;
        for (const auto &[kind, value] : steps) {
            const std::string daemon(1, static_cast<char>('a' + value % 5));
            if (kind % 8 == 0) {
                fixture.table.reportUnreachable("ordering", daemon);
            } else if (kind % 16 == 1) {
                fixture.table.markLeaving("ordering", daemon, 1);
                fixture.setTargets({ targetOf("a"), targetOf("b"), targetOf("c"), targetOf("d"), targetOf("e") });
                leaving.insert(daemon);
            } else {
                const std::vector<std::string> excluded { daemon };
                const auto choice = fixture.table.choose(fixture.config, excluded);
                if (choice) {
                    RC_ASSERT(choice->target.daemon != daemon);
                    RC_ASSERT(!leaving.contains(choice->target.daemon));
                    fixture.clock.advance(std::chrono::milliseconds(value));
                    fixture.table.finished("ordering", choice->target.daemon, 1, answered(kind % 2 == 0 ? 500 : 200, std::chrono::milliseconds(value)));
                } else {
                    RC_ASSERT(LastError<RouteError>::get() != RouteError::UnknownService);
                }
                size_t ejected = 0;
                for (const TargetSnapshot &snapshot : fixture.table.snapshot("ordering")) {
                    ejected += snapshot.weight == 0 && !snapshot.target.leaving ? 1 : 0;
                }
                RC_ASSERT(static_cast<double>(ejected) <= 5 * fixture.config.routing.maxEjectedShare);
                RC_ASSERT((leaving.size() == 5 || ejected + leaving.size() < 5));
            }
        }
    }));
}

TEST_CASE_METHOD(TableFixture, "TargetTable.targetStraggles.isEjectedWithinTensOfCalls", "[routing]")
{
    // Guards against a slow target that keeps its share of calls.
    config.routing.policy = PolicyKind::RoundRobin;
    CHECK(run(100, "b", answered(200, 100ms)) <= 10);
    CHECK(stopped("b"));
    const auto changes = table.drainChanges();
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.front().evidence == "slow");
}

TEST_CASE_METHOD(TableFixture, "TargetTable.targetFailsFast.attractsNoCalls", "[routing]")
{
    // Guards against a target that looks idle and quick because it rejects everything, also where it may not be ejected.
    config.routing.maxEjectedShare = GENERATE(0.0, 0.3);
    AttemptReport failure = GENERATE(answered(500, 1ms), AttemptReport { Outcome::NotRun, Reason::Shed, 503, 1ms, std::nullopt, false });
    failure.load = loadOf(1, 0, 100us);
    CHECK(run(500, "b", failure) <= 10);
    CHECK_FALSE(shot("b").latency);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.ejectedTarget.returnsByTrialsAndRamp", "[routing]")
{
    // Guards against a full load on a target that has just recovered, and against a target that never returns.
    table.reportUnreachable("ordering", "b");
    CHECK(run(50, "b") == 0);
    clock.advance(2s);
    const auto trial = table.choose(config, {});
    REQUIRE(trial);
    CHECK(trial->target.daemon == "b");
    CHECK(run(20, "b") == 0); // one trial at a time
    table.finished("ordering", "b", 1, { Outcome::NotRun, Reason::PeerUnreachable, 0, 1ms, std::nullopt, false });
    CHECK(run(100, "b") == 0); // a longer back-off
    clock.advance(3s);
    run(3, "b", answered(200, 10ms));
    CHECK(shot("b").phase == TargetPhase::Ramp);
    CHECK(shot("b").weight < 0.2);
    clock.advance(config.targets.coldRamp);
    CHECK(shot("b").phase == TargetPhase::Normal);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.slownessOfAllTargets.isForgottenByTheEntryThatCallsOne", "[routing]")
{
    // Guards against an entry that keeps to its own target for good: the latencies of the others date from a time in which all were
    // slow, and so does their median, to which they must not fade.
    const auto call = [&](std::span<const std::string> excluded, Duration latency) {
        const auto choice = table.choose(config, excluded);
        REQUIRE(choice);
        clock.advance(latency);
        table.finished("ordering", choice->target.daemon, choice->target.incarnation, answered(200, latency));
    };
    for (int i = 0; i < 100; ++i) {
        call({}, 60ms);
    }
    const std::vector<std::string> others { "b", "c", "d", "e" };
    for (int i = 0; i < 20; ++i) {
        call(others, 5ms);
    }
    for (int i = 0; i < 6000; ++i) {
        call({}, 5ms);
    }
    CHECK(shot("b").latency.value() < 10ms);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.reportsOutOfOrder.keepsTheLatest", "[routing]")
{
    // Guards against decisions on a load report that was overtaken, or that a former process of the target made.
    CHECK(table.observeLoad("ordering", "b", loadOf(5, 9)));
    CHECK_FALSE(table.observeLoad("ordering", "b", loadOf(4, 0)));
    CHECK_FALSE(table.observeLoad("ordering", "b", loadOf(5, 0)));
    CHECK(shot("b").load->inFlight == 9);
    setTargets({ targetOf("b", 2) });
    CHECK_FALSE(table.observeLoad("ordering", "b", loadOf(6, 0)));
    CHECK_FALSE(shot("b").load);
    CHECK(shot("b").phase == TargetPhase::Ramp);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.newIncarnation.isRampedByWeight", "[routing]")
{
    // Guards against a full share of calls for a backend server with cold caches, and against a share that stays small.
    config.routing.policy = PolicyKind::Random;
    setTargets({ targetOf("a"), targetOf("b", 2), targetOf("c"), targetOf("d"), targetOf("e") });
    const AttemptReport quick = answered(200, 1ms);
    const int cold = run(200, "b", quick);
    CHECK(cold > 0);
    CHECK(cold < 30);
    clock.advance(config.targets.coldRamp);
    CHECK(run(200, "b", quick) > 25);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.callWithoutAnswer.lowersTheScoreAtOnce", "[routing]")
{
    // Guards against calls sent to a stuck target until the first answer or timeout comes back.
    run(100);
    setTargets({ targetOf("a"), targetOf("b") });
    std::vector<std::string> others { "a" };
    REQUIRE(table.choose(config, others)); // never finished
    clock.advance(200ms);
    table.observeLoad("ordering", "a", loadOf(1, 7));
    table.observeLoad("ordering", "b", loadOf(1, 1));
    CHECK(run(50, "b") == 0);
}

TEST_CASE_METHOD(TableFixture, "TargetTable.farRegion.servesOnlyWhenNearWaitExceedsItsCost", "[routing]")
{
    // Guards against traffic over the billed link without need, against waiting when it would pay, and against taking the link for a straggler.
    setTargets({ targetOf("a"), targetOf("b"), targetOf("x", 1, "midwest"), targetOf("y", 1, "midwest") });
    clock.advance(10s);
    const auto farShare = [&](uint64_t sequence, uint32_t inFlight) {
        int farCalls = 0;
        for (int i = 0; i < 200; ++i) {
            table.observeLoad("ordering", "a", loadOf(sequence + i, inFlight));
            table.observeLoad("ordering", "b", loadOf(sequence + i, inFlight));
            const auto choice = table.choose(config, {});
            const bool isFar = choice->target.region == "midwest";
            farCalls += isFar ? 1 : 0;
            clock.advance(10ms);
            table.finished("ordering", choice->target.daemon, 1, answered(200, isFar ? 70ms : 10ms));
        }
        return farCalls;
    };
    CHECK(farShare(1, 8) == 0);
    CHECK(farShare(1000, 60) > 150);
    CHECK_FALSE(stopped("x"));
}
