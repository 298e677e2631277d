#include "fakeclock.h"

#include <carobjunction/process/backendgate.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

Heartbeat makeHeartbeat(const std::string &id, uint64_t startedAt, uint64_t sequence, bool draining = false)
{
    Heartbeat result;
    result.id = id;
    result.startedAtMs = startedAt;
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
    BackendGate gate { "ordering", 3s, clock.now() };
};

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.noHeartbeatYet.isClosed")
{
    // Guards against requests to a backend server that is leaving: a restarted daemon does not know the state of the backend server until
    // it receives a heartbeat.
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now()) == HeartbeatResult::Changed);
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.laterReadyHeartbeatOfALeavingProcess.staysClosed")
{
    gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now());
    gate.onHeartbeat(makeHeartbeat("a", 1, 2, true), clock.now());
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(makeHeartbeat("a", 1, 3), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveWithoutDraining.staysClosed")
{
    gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now());
    CHECK(leave("a"));
    gate.onHeartbeat(makeHeartbeat("a", 1, 2), clock.now());
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().state == BackendState::Gone);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveAfterARestartOfTheDaemon.staysClosed")
{
    // Guards against a heartbeat that was sent before the leave notice but arrives after it. The restarted daemon has no record of the
    // process, so only the leave notice identifies it.
    CHECK_FALSE(leave("a", 1000));
    gate.onHeartbeat(makeHeartbeat("a", 1, 7), clock.now());
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(makeHeartbeat("a", 0, 8), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.laterProcessWithTheIdOfOneThatLeft.opens")
{
    leave("a", 1000);
    gate.onHeartbeat(makeHeartbeat("a", 1001, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.restoredLeave.staysClosedAfterALateHeartbeat")
{
    // Guards against requests to a process whose leave notice the daemon acknowledged before the daemon was restarted.
    CHECK(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Gone, true }, clock.now()));
    gate.onHeartbeat(makeHeartbeat("a", 5, 7), clock.now());
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().isLeaving);
    gate.onHeartbeat(makeHeartbeat("b", 6, 1), clock.now());
    CHECK(gate.isOpen());
    CHECK_FALSE(gate.record().isLeaving);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveRestoredAfterALateHeartbeat.closes")
{
    // Guards against requests to a leaving process if the store returns its record only after its heartbeat has opened the gate.
    gate.onHeartbeat(makeHeartbeat("a", 5, 7), clock.now());
    CHECK(gate.isOpen());
    CHECK(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Draining, true }, clock.now()));
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(makeHeartbeat("a", 5, 8), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.restoredGoneStateWithoutLeave.doesNotClose")
{
    // Guards against a healthy backend server that receives no requests because the daemon had recorded a heartbeat timeout before it was
    // restarted.
    CHECK_FALSE(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Gone, false }, clock.now()));
    gate.onHeartbeat(makeHeartbeat("a", 5, 7), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveOfTheProcessFromBeforeARestart.isRecorded")
{
    // Guards against a leave that a second restart of the daemon forgets, because the first one had left the daemon without a heartbeat.
    const BackendRecord ready { "a", 5, "ordering", 9, BackendState::Ready, false };
    SECTION("record restored first")
    {
        gate.restoreRecord(ready, clock.now());
        CHECK(leave("a", 1000));
    }
    SECTION("leave received first")
    {
        leave("a", 1000);
        CHECK(gate.restoreRecord(ready, clock.now()));
    }
    CHECK(gate.record() == BackendRecord { "a", 5, "ordering", 9, BackendState::Gone, true });
    gate.onHeartbeat(makeHeartbeat("a", 5, 7), clock.now());
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveAfterAHeartbeatTimeout.changesTheRecord")
{
    // Guards against a leave that is not stored, because the backend server already counted as gone without having announced it.
    gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now());
    clock.advance(4s);
    gate.checkHeartbeatTimeout(clock.now());
    CHECK(leave("a"));
    CHECK(gate.record().isLeaving);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.longPastLeaveOfAnUnknownProcess.isForgotten")
{
    // Guards against a gate that stays closed permanently after a jump of the system clock: a process that starts after the jump may have a
    // start time before the start time in the leave notice.
    leave("a", 5000);
    clock.advance(BackendGate::LeaveNoticeRetention);
    gate.onHeartbeat(makeHeartbeat("a", 4000, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.delayedHeartbeatOfAFormerProcess.changesNothing")
{
    // Guards against a heartbeat that a network partition delays until its sender has crashed and another process has registered.
    gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now());
    gate.onHeartbeat(makeHeartbeat("b", 5, 1, true), clock.now());
    CHECK(gate.onHeartbeat(makeHeartbeat("a", 1, 9), clock.now()) == HeartbeatResult::Stale);
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().id == "b");
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.sameIdWithALaterStart.opensAgain")
{
    gate.onHeartbeat(makeHeartbeat("a", 1, 7), clock.now());
    leave("a");
    CHECK(gate.onHeartbeat(makeHeartbeat("a", 2, 1), clock.now()) == HeartbeatResult::Changed);
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.heartbeatTimeout.closesUntilTheNextHeartbeat")
{
    gate.onHeartbeat(makeHeartbeat("a", 1, 1), clock.now());
    clock.advance(3s);
    CHECK_FALSE(gate.checkHeartbeatTimeout(clock.now()));
    clock.advance(1ms);
    CHECK(gate.checkHeartbeatTimeout(clock.now()));
    CHECK_FALSE(gate.isOpen());
    gate.onHeartbeat(makeHeartbeat("a", 1, 2), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.heartbeatOfAnotherService.changesNothing")
{
    // Guards against a message of another writer that outranks the backend server, and takes it out until the daemon is replaced.
    Heartbeat foreign = makeHeartbeat("other", 1000, 1000, true);
    foreign.service = "unnamed";
    CHECK(gate.onHeartbeat(foreign, clock.now()) == HeartbeatResult::Foreign);
    CHECK(gate.record().id.empty());
    gate.onHeartbeat(makeHeartbeat("a", 5, 1), clock.now());
    for (const std::string id : { "other", "a" }) {
        foreign.id = id;
        CHECK(gate.onHeartbeat(foreign, clock.now()) == HeartbeatResult::Foreign);
        CHECK(gate.isOpen());
        CHECK(gate.record().id == "a");
    }
    CHECK(gate.onHeartbeat(makeHeartbeat("a", 5, 2), clock.now()) == HeartbeatResult::Refreshed);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.restoredRecordOfAnotherService.isIgnored")
{
    // Guards against a foreign leave in the store that a restarted daemon puts into force.
    for (const std::string id : { "other", "a" }) {
        CHECK_FALSE(gate.restoreRecord({ id, 1000, "unnamed", 9, BackendState::Gone, true }, clock.now()));
    }
    gate.onHeartbeat(makeHeartbeat("a", 5, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.restoredLeaveThatIsNotVerified.appliesForALimitedTime")
{
    // Guards against a foreign leave that an earlier program stored, and against requests to a server whose leave an earlier program has acknowledged.
    const BackendRecord unverified { "a", 7, "ordering", 9, BackendState::Gone, true, false };
    SECTION("restored before the first heartbeat")
    {
        CHECK_FALSE(gate.restoreRecord(unverified, clock.now()));
        gate.onHeartbeat(makeHeartbeat("a", 5, 1), clock.now());
    }
    SECTION("restored after it")
    {
        gate.onHeartbeat(makeHeartbeat("a", 5, 1), clock.now());
        CHECK(gate.restoreRecord(unverified, clock.now()));
    }
    CHECK_FALSE(gate.isOpen());
    CHECK_FALSE(gate.record().isLeaving);
    clock.advance(BackendGate::UnverifiedLeaveRetention - 1ms);
    gate.restoreRecord(unverified, clock.now()); // a further peer returns it
    gate.onHeartbeat(makeHeartbeat("a", 5, 2), clock.now());
    CHECK_FALSE(gate.isOpen());
    clock.advance(1ms);
    gate.onHeartbeat(makeHeartbeat("a", 5, 3), clock.now());
    CHECK(gate.isOpen());
    leave("a");
    gate.onHeartbeat(makeHeartbeat("a", 5, 4), clock.now());
    CHECK_FALSE(gate.isOpen());
    CHECK(gate.record().isLeaving);
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.leaveThatIsNotVerified.isIgnoredLongAfterTheStart")
{
    // Guards against a server that stops being used for a time, because another writer replaced the stored record while the daemon ran.
    clock.advance(BackendGate::UnverifiedLeaveRetention);
    gate.onHeartbeat(makeHeartbeat("a", 5, 1), clock.now());
    CHECK_FALSE(gate.restoreRecord({ "a", 5, "ordering", 9, BackendState::Gone, true, false }, clock.now()));
    gate.onHeartbeat(makeHeartbeat("a", 5, 2), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE_METHOD(BackendGateFixture, "BackendGate.restoredLeaveThatIsNotVerified.concernsNoOtherProcess")
{
    gate.restoreRecord({ "a", 7, "ordering", 9, BackendState::Gone, true, false }, clock.now());
    gate.onHeartbeat(makeHeartbeat("b", 5, 1), clock.now());
    CHECK(gate.isOpen());
    gate.onHeartbeat(makeHeartbeat("a", 8, 1), clock.now());
    CHECK(gate.isOpen());
}

TEST_CASE("BackendGate.randomMessages.neverOpenForAProcessThatLeft")
{
    CHECK(rc::check([] {
        FakeClock clock;
        BackendGate gate("ordering", 3s, clock.now());
        std::set<uint64_t> leavingProcesses;
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const uint64_t startedAt = *rc::gen::inRange(1, 4);
            const std::string id = "p" + std::to_string(startedAt);
            const int kind = *rc::gen::inRange(0, 4);
            if (kind == 0) {
                leavingProcesses.insert(startedAt);
                gate.onLeave(id, clock.now(), 1000);
            } else {
                const bool draining = kind == 1;
                const auto heartbeatResult = gate.onHeartbeat(makeHeartbeat(id, startedAt, *rc::gen::inRange(1, 20), draining), clock.now());
                if (draining && heartbeatResult != HeartbeatResult::Stale) {
                    leavingProcesses.insert(startedAt);
                }
            }
            RC_ASSERT(!(gate.isOpen() && leavingProcesses.count(gate.record().startedAtMs) > 0));
        }
    }));
}
