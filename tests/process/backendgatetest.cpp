#include "fakeclock.h"

#include <carobjunction/process/backendgate.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

Heartbeat beat(const std::string &id, uint64_t born, uint64_t sequence, bool draining = false)
{
    Heartbeat result;
    result.id = id;
    result.startedAtMs = born;
    result.service = "ordering";
    result.slots = 9;
    result.sequence = sequence;
    result.draining = draining;
    return result;
}

} // namespace

struct BackendGateFixture {
    bool leave(const std::string &id, uint64_t unixMs = 1000)
    {
        return gate.onLeave(id, clock.now(), unixMs);
    }

    FakeClock clock;
    BackendGate gate { 3s };
};

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.noHeartbeatYet.isClosed")
{
    // Guards against work for a leaving server after a restart of the daemon.
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.onHeartbeat(beat("a", 1, 1), clock.now()) == HeartbeatResult::Changed);
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.laterReadyHeartbeatOfALeavingProcess.staysClosed")
{
    gate.onHeartbeat(beat("a", 1, 1), clock.now());
    gate.onHeartbeat(beat("a", 1, 2, true), clock.now());
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(beat("a", 1, 3), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveWithoutDraining.staysClosed")
{
    gate.onHeartbeat(beat("a", 1, 1), clock.now());
    CHECK(leave("a"));
    gate.onHeartbeat(beat("a", 1, 2), clock.now());
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().state == BackendState::Gone);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveAfterARestartOfTheDaemon.staysClosed")
{
    // Guards against a heartbeat sent before the leave that arrives after it, at a daemon that knew nothing of the process.
    CHECK_FALSE(leave("a", 1000));
    gate.onHeartbeat(beat("a", 1, 7), clock.now());
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(beat("a", 0, 8), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.laterProcessWithTheIdOfOneThatLeft.opens")
{
    leave("a", 1000);
    gate.onHeartbeat(beat("a", 1001, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.recalledLeave.keepsALateHeartbeatFromOpening")
{
    // Guards against work for a process whose leave the daemon acknowledged before it was restarted.
    CHECK(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Gone, true }, clock.now()));
    gate.onHeartbeat(beat("a", 5, 7), clock.now());
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().isLeaving);
    gate.onHeartbeat(beat("b", 6, 1), clock.now());
    CHECK(gate.isOpen());
    CHECK_FALSE(gate.record().isLeaving);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveRecalledAfterALateHeartbeat.closes")
{
    // Guards against a store that answers later than the heartbeat arrives.
    gate.onHeartbeat(beat("a", 5, 7), clock.now());
    CHECK(gate.isOpen());
    CHECK(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Draining, true }, clock.now()));
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(beat("a", 5, 8), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.recalledSilence.doesNotClose")
{
    // Guards against a sound backend server that is kept out because its former daemon had not heard from it for a while.
    CHECK_FALSE(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Gone, false }, clock.now()));
    gate.onHeartbeat(beat("a", 5, 7), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.longPastLeaveOfAnUnknownProcess.isForgotten")
{
    // Guards against a gate that a jump of the time of day closes for good.
    leave("a", 5000);
    clock.advance(BackendGate::LeaveNoticeRetention);
    gate.onHeartbeat(beat("a", 4000, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.delayedHeartbeatOfAFormerProcess.changesNothing")
{
    // Guards against a beat held up by a partition that arrives after its sender crashed and another process registered.
    gate.onHeartbeat(beat("a", 1, 1), clock.now());
    gate.onHeartbeat(beat("b", 5, 1, true), clock.now());
    CHECK(gate.onHeartbeat(beat("a", 1, 9), clock.now()) == HeartbeatResult::Stale);
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().id == "b");
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.sameIdWithALaterBirth.opensAgain")
{
    gate.onHeartbeat(beat("a", 1, 7), clock.now());
    leave("a");
    CHECK(gate.onHeartbeat(beat("a", 2, 1), clock.now()) == HeartbeatResult::Changed);
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.silence.closesUntilTheNextHeartbeat")
{
    gate.onHeartbeat(beat("a", 1, 1), clock.now());
    clock.advance(3s);
    CHECK_FALSE(gate.checkHeartbeatTimeout(clock.now()));
    clock.advance(1ms);
    CHECK(gate.checkHeartbeatTimeout(clock.now()));
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(beat("a", 1, 2), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE("BackendGate.randomMessages.neverOpenForAProcessThatLeft")
{
    CHECK(rc::check([] {
        FakeClock clock;
        BackendGate gate(3s);
        std::set<uint64_t> left;
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const uint64_t born = *rc::gen::inRange(1, 4);
            const std::string id = "p" + std::to_string(born);
            const int kind = *rc::gen::inRange(0, 4);
            if (kind == 0) {
                left.insert(born);
                gate.onLeave(id, clock.now(), 1000);
            } else {
                const bool draining = kind == 1;
                const auto effect = gate.onHeartbeat(beat(id, born, *rc::gen::inRange(1, 20), draining), clock.now());
                if (draining && effect != HeartbeatResult::Stale) {
                    left.insert(born);
                }
            }
            RC_ASSERT(!(gate.isOpen() && left.count(gate.record().startedAtMs) > 0));
        }
    }));
}
