#include "fakeclock.h"

#include <carobjunction/process/crashhistory.h>

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t Request = 7;

struct CrashHistoryFixture {
    bool crash(const std::string &backend, uint64_t fingerprint = Request)
    {
        return history.add({ fingerprint, backend }, clock.now());
    }

    bool isCondemned() const
    {
        return history.isCondemned(Request, clock.now());
    }

    FakeClock clock;
    CrashHistory history;
};

/**
 * Fleet whose backend servers end and start again at random moments. A lookup that many callers send is running most of the time; another request
 * crashes each backend server that runs it.
 */
struct CrashingFleet {
    static constexpr size_t VmCount = 6;
    static constexpr Duration Step = 50ms;
    static constexpr uint64_t Lookup = 1;
    static constexpr uint64_t Crasher = 2;

    explicit CrashingFleet(uint32_t seed) : random(seed)
    {
    }

    bool occurs(double probability)
    {
        return std::bernoulli_distribution(probability)(random);
    }

    /** Ends the backend server of @p vm. The requests that it was running are blamed, and the report reaches most daemons. */
    void endServer(size_t vm, const std::vector<uint64_t> &running)
    {
        const std::string process = std::to_string(vm) + "@" + std::to_string(++lastProcess);
        for (const uint64_t fingerprint : running) {
            if (!daemons[vm].add({ fingerprint, process }, clock.now())) {
                continue;
            }
            for (CrashHistory &daemon : daemons) {
                if (occurs(0.8)) {
                    daemon.add({ fingerprint, process }, clock.now());
                }
            }
        }
    }

    /** Exchanges the recent reports and clearances between two daemons. */
    void gossip(const CrashHistory &sender, CrashHistory &receiver)
    {
        for (const CrashReport &report : sender.reportsSince(clock.now() - 8s, 24)) {
            receiver.add(report, clock.now());
        }
        for (const uint64_t fingerprint : sender.clearedSince(clock.now() - 8s, 24)) {
            receiver.onAnswered(fingerprint, clock.now());
        }
    }

    void step()
    {
        clock.advance(Step);
        const size_t vm = random() % VmCount;
        const bool canLookUp = !daemons[vm].isCondemned(Lookup, clock.now());
        lookups += 1;
        refusedLookups += canLookUp ? 0 : 1;
        if (occurs(0.1)) {
            endServer(vm, canLookUp ? std::vector<uint64_t> { Lookup } : std::vector<uint64_t> {});
        } else if (canLookUp) {
            daemons[vm].onAnswered(Lookup, clock.now());
        }
        if (occurs(0.02) && !daemons[vm].isCondemned(Crasher, clock.now())) {
            ++crashes;
            endServer(vm, { Crasher });
        }
        gossip(daemons[random() % VmCount], daemons[random() % VmCount]);
    }

    FakeClock clock;
    std::mt19937 random;
    std::array<CrashHistory, VmCount> daemons;
    int lastProcess = 0;
    int lookups = 0;
    int refusedLookups = 0;
    int crashes = 0;
};

} // namespace

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.twoCrashesWithoutAnAnswer.condemnForAWhile")
{
    CHECK(crash("a"));
    CHECK_FALSE(crash("a"));
    CHECK_FALSE(isCondemned());
    CHECK(crash("b"));
    CHECK(history.condemnedFor(Request, clock.now()) == CrashHistory::FirstCondemnation);
    clock.advance(CrashHistory::FirstCondemnation);
    CHECK_FALSE(isCondemned());
}

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.crashAfterTheFirstCondemnation.condemnsForLong")
{
    // Guards against a request that crashes another backend server each time its refusal ends.
    crash("a");
    crash("b");
    clock.advance(CrashHistory::FirstCondemnation);
    crash("c");
    CHECK(history.condemnedFor(Request, clock.now()) == CrashHistory::Retention);
    clock.advance(CrashHistory::Retention - 1s);
    CHECK(isCondemned());
}

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.repeatedReportOfACrash.doesNotProlongTheRefusal")
{
    crash("a");
    crash("b");
    clock.advance(6s);
    CHECK_FALSE(crash("b"));
    clock.advance(2s);
    CHECK_FALSE(isCondemned());
}

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.answerBetweenTwoCrashes.clearsTheFirst")
{
    // Guards against a lookup that many callers send and that is refused everywhere, because it was running at two ends of a flapping server.
    crash("a");
    clock.advance(1s);
    CHECK(history.onAnswered(Request, clock.now()));
    CHECK(history.clearedSince(clock.now(), 10) == std::vector<uint64_t> { Request });
    CHECK_FALSE(crash("b"));
    CHECK_FALSE(crash("c"));
    CHECK_FALSE(isCondemned());
}

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.answerShortlyBeforeTwoCrashesAtOnce.isCounted")
{
    // Guards against a frequent lookup that is refused because two servers that were running it ended at the same moment.
    history.onAnswered(Request, clock.now());
    clock.advance(3s);
    crash("a");
    crash("b");
    CHECK_FALSE(isCondemned());
    CHECK(history.clearedSince(clock.now(), 10) == std::vector<uint64_t> { Request });
}

TEST_CASE_METHOD(CrashHistoryFixture, "CrashHistory.answerLongAgo.doesNotClear")
{
    // Guards against a request that crashes a new version of the backend servers and is let through, because the old version had answered it.
    history.onAnswered(Request, clock.now());
    clock.advance(2 * CrashHistory::AnswerRetention);
    crash("a");
    crash("b");
    CHECK(isCondemned());
}

TEST_CASE("CrashHistory.fleetWithFlappingServers.refusesOnlyTheRequestThatCrashesThem")
{
    // Guards against the confusion of the two in any order of ends, answers and lost reports.
    const uint32_t seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    CrashingFleet fleet(seed);
    for (Duration time = 0s; time < 60s; time += CrashingFleet::Step) {
        fleet.step();
    }
    CHECK(fleet.refusedLookups * 20 <= fleet.lookups);
    CHECK(fleet.crashes >= 2);
    CHECK(fleet.crashes <= 6);
}
