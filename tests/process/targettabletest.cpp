#include "fakeclock.h"

#include <carobjunction/process/targettable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

TargetInfo makeTarget(const std::string &daemon, uint64_t incarnation = 1, const std::string &region = "pilbara")
{
    return { daemon, incarnation, region, region + "-1", "", "ordering", 9, false };
}

AttemptReport answeredAttempt(int status, Duration latency)
{
    return { Outcome::Ran, Reason::None, status, latency, std::nullopt, false };
}

LoadReport makeLoadReport(uint64_t sequence, uint32_t inFlight, std::chrono::microseconds serviceTime = 10ms)
{
    return { 1, sequence, 9, inFlight, 0, serviceTime, 0us, false, false };
}

struct TargetTableFixture {
    FakeClock clock;
    ServiceConfig config;
    TargetTable<FakeClock> table { clock, "a", "pilbara", "pilbara-1", 7 };

    TargetTableFixture()
    {
        config.service = "ordering";
        setTargets({ makeTarget("a"), makeTarget("b"), makeTarget("c"), makeTarget("d"), makeTarget("e") });
        clock.advance(10s);
    }
    void setTargets(std::vector<TargetInfo> targets)
    {
        table.setTargets("ordering", std::move(targets));
    }
    /**
     * Makes @p count calls. Calls to @p daemon end with @p reportForDaemon, the others are answered with status 200 after 10 ms.
     * @return number of calls to @p daemon
     */
    int makeCalls(int count, const std::string &daemon = "", const AttemptReport &reportForDaemon = {})
    {
        int callsToDaemon = 0;
        for (int i = 0; i < count; ++i) {
            const auto choice = table.choose(config, {});
            REQUIRE(choice);
            const bool isSelected = choice->target.daemon == daemon;
            const AttemptReport report = isSelected ? reportForDaemon : answeredAttempt(200, 10ms);
            callsToDaemon += isSelected ? 1 : 0;
            clock.advance(report.latency);
            table.finished("ordering", choice->target.daemon, choice->target.incarnation, report);
        }
        return callsToDaemon;
    }
    TargetSnapshot snapshotOf(const std::string &daemon) const
    {
        for (const TargetSnapshot &snapshot : table.snapshot("ordering")) {
            if (snapshot.target.daemon == daemon) {
                return snapshot;
            }
        }
        return {};
    }
    bool hasZeroWeight(const std::string &daemon) const
    {
        return snapshotOf(daemon).weight == 0;
    }
};

} // namespace

TEST_CASE("TargetTable.randomHistory.keepsItsLimits", "[routing]")
{
    // Guards against calls to excluded, leaving or unknown targets, and against ejecting more than the configured share of targets.
    CHECK(rc::check([](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
        TargetTableFixture fixture;
        fixture.config.routing.policy = *rc::gen::element(PolicyKind::Predicted, PolicyKind::RoundRobin, PolicyKind::ProbePool, PolicyKind::TwoChoices);
        fixture.config.routing.maxEjectedShare = *rc::gen::element(0.0, 0.3, 0.7, 1.0);
        std::set<std::string> leaving;
        for (const auto &[kind, value] : steps) {
            const std::string daemon(1, static_cast<char>('a' + value % 5));
            if (kind % 8 == 0) {
                fixture.table.reportUnreachable("ordering", daemon);
            } else if (kind % 16 == 1) {
                fixture.table.markLeaving("ordering", daemon, 1);
                fixture.setTargets({ makeTarget("a"), makeTarget("b"), makeTarget("c"), makeTarget("d"), makeTarget("e") });
                leaving.insert(daemon);
            } else {
                const std::vector<std::string> excluded { daemon };
                const auto choice = fixture.table.choose(fixture.config, excluded);
                if (choice) {
                    RC_ASSERT(choice->target.daemon != daemon);
                    RC_ASSERT(!leaving.contains(choice->target.daemon));
                    fixture.clock.advance(std::chrono::milliseconds(value));
                    fixture.table.finished("ordering", choice->target.daemon, 1, answeredAttempt(kind % 2 == 0 ? 500 : 200, std::chrono::milliseconds(value)));
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

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.targetStraggles.isEjectedWithinTensOfCalls", "[routing]")
{
    // Guards against a slow target that continues to receive its full share of calls.
    config.routing.policy = PolicyKind::RoundRobin;
    CHECK(makeCalls(100, "b", answeredAttempt(200, 100ms)) <= 10);
    CHECK(hasZeroWeight("b"));
    const auto changes = table.drainChanges();
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.front().cause == "slow");
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.targetFailsFast.attractsNoCalls", "[routing]")
{
    // Guards against a target that appears idle and fast because it rejects all requests, including when it may not be ejected.
    config.routing.maxEjectedShare = GENERATE(0.0, 0.3);
    AttemptReport failure = GENERATE(answeredAttempt(500, 1ms), AttemptReport { Outcome::NotRun, Reason::Shed, 503, 1ms, std::nullopt, false });
    failure.load = makeLoadReport(1, 0, 100us);
    CHECK(makeCalls(500, "b", failure) <= 10);
    CHECK_FALSE(snapshotOf("b").latency);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.ejectedTarget.returnsByTrialsAndRamp", "[routing]")
{
    // Guards against full load on a target that has just recovered, and against an ejected target that never receives calls again.
    table.reportUnreachable("ordering", "b");
    CHECK(makeCalls(50, "b") == 0);
    clock.advance(2s);
    const auto trial = table.choose(config, {});
    REQUIRE(trial);
    CHECK(trial->target.daemon == "b");
    CHECK(makeCalls(20, "b") == 0); // only one trial at a time
    table.finished("ordering", "b", 1, { Outcome::NotRun, Reason::PeerUnreachable, 0, 1ms, std::nullopt, false });
    CHECK(makeCalls(100, "b") == 0); // the back-off is longer after a failed trial
    clock.advance(3s);
    makeCalls(3, "b", answeredAttempt(200, 10ms));
    CHECK(snapshotOf("b").phase == TargetPhase::Ramp);
    CHECK(snapshotOf("b").weight < 0.2);
    clock.advance(config.targets.coldRamp);
    CHECK(snapshotOf("b").phase == TargetPhase::Normal);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.slownessOfAllTargets.doesNotPersistInTheirLatencies", "[routing]")
{
    // Guards against a daemon that uses only its own target indefinitely: the latencies of the other targets were measured while all targets
    // were slow, and so was their median, so these latencies must not decay towards that median.
    const auto call = [&](std::span<const std::string> excluded, Duration latency) {
        const auto choice = table.choose(config, excluded);
        REQUIRE(choice);
        clock.advance(latency);
        table.finished("ordering", choice->target.daemon, choice->target.incarnation, answeredAttempt(200, latency));
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
    CHECK(snapshotOf("b").latency.value() < 10ms);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.reportsOutOfOrder.keepsTheLatest", "[routing]")
{
    // Guards against decisions based on a load report that is older than the current one, or that an earlier incarnation of the target sent.
    CHECK(table.observeLoad("ordering", "b", makeLoadReport(5, 9)));
    CHECK_FALSE(table.observeLoad("ordering", "b", makeLoadReport(4, 0)));
    CHECK_FALSE(table.observeLoad("ordering", "b", makeLoadReport(5, 0)));
    CHECK(snapshotOf("b").load->inFlight == 9);
    setTargets({ makeTarget("b", 2) });
    CHECK_FALSE(table.observeLoad("ordering", "b", makeLoadReport(6, 0)));
    CHECK_FALSE(snapshotOf("b").load);
    CHECK(snapshotOf("b").phase == TargetPhase::Ramp);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.newIncarnation.isRampedByWeight", "[routing]")
{
    // Guards against a full share of calls to a backend server with cold caches, and against a share that remains small after the ramp.
    config.routing.policy = PolicyKind::Random;
    setTargets({ makeTarget("a"), makeTarget("b", 2), makeTarget("c"), makeTarget("d"), makeTarget("e") });
    const AttemptReport fastAnswer = answeredAttempt(200, 1ms);
    const int callsDuringRamp = makeCalls(200, "b", fastAnswer);
    CHECK(callsDuringRamp > 0);
    CHECK(callsDuringRamp < 30);
    clock.advance(config.targets.coldRamp);
    CHECK(makeCalls(200, "b", fastAnswer) > 25);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.callWithoutAnswer.lowersTheScoreAtOnce", "[routing]")
{
    // Guards against calls sent to a target that has stopped answering, until the first answer or time-out is received.
    makeCalls(100);
    setTargets({ makeTarget("a"), makeTarget("b") });
    std::vector<std::string> others { "a" };
    REQUIRE(table.choose(config, others)); // this call never finishes
    clock.advance(200ms);
    table.observeLoad("ordering", "a", makeLoadReport(1, 7));
    table.observeLoad("ordering", "b", makeLoadReport(1, 1));
    CHECK(makeCalls(50, "b") == 0);
}

TEST_CASE_METHOD(TargetTableFixture, "TargetTable.farRegion.servesOnlyWhenNearWaitExceedsItsCost", "[routing]")
{
    // Guards against unnecessary traffic over the link between regions, which is billed by volume, against waiting longer than the cost of the
    // link, and against ejecting a target as slow because of the latency of the link.
    setTargets({ makeTarget("a"), makeTarget("b"), makeTarget("x", 1, "midwest"), makeTarget("y", 1, "midwest") });
    clock.advance(10s);
    const auto countOtherRegionCalls = [&](uint64_t sequence, uint32_t inFlight) {
        int otherRegionCalls = 0;
        for (int i = 0; i < 200; ++i) {
            table.observeLoad("ordering", "a", makeLoadReport(sequence + i, inFlight));
            table.observeLoad("ordering", "b", makeLoadReport(sequence + i, inFlight));
            const auto choice = table.choose(config, {});
            const bool isOtherRegion = choice->target.region == "midwest";
            otherRegionCalls += isOtherRegion ? 1 : 0;
            clock.advance(10ms);
            table.finished("ordering", choice->target.daemon, 1, answeredAttempt(200, isOtherRegion ? 70ms : 10ms));
        }
        return otherRegionCalls;
    };
    CHECK(countOtherRegionCalls(1, 8) == 0);
    CHECK(countOtherRegionCalls(1000, 60) > 150);
    CHECK_FALSE(hasZeroWeight("x"));
}
