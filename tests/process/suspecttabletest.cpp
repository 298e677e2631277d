#include "fakeclock.h"

#include <carobjunction/process/suspecttable.h>
#include <carobjunction/request/fingerprint.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t CrashingFingerprint = 1;

struct SuspectFixture {
    FakeClock clock;
    SuspectTable<FakeClock> table { clock };
    void recordCrash(std::vector<uint64_t> inFlight)
    {
        table.onCrash("ordering", inFlight);
    }
};

/** Applies one of four operations, selected by @p operation, to one of two fingerprints. */
void applyOperation(SuspectTable<FakeClock> &table, int operation)
{
    const auto fingerprint = static_cast<uint64_t>(1 + operation % 2);
    switch (operation / 2 % 4) {
    case 0:
        table.onCrash("ordering", std::vector { fingerprint });
        break;
    case 1:
        table.onCrash("ordering", std::vector<uint64_t> { 1, 2 });
        break;
    case 2:
        table.onRequestCompleted(fingerprint, true);
        break;
    default:
        table.clear(fingerprint);
    }
}

} // namespace

TEST_CASE("Fingerprint.partsShifted.differs")
{
    // Guards against equal fingerprints of different requests, and against fingerprints that differ between processes or versions.
    CHECK(computeFingerprint("a", "bc", "/", "") != computeFingerprint("ab", "c", "/", ""));
    CHECK(computeFingerprint("ordering", "POST", "/orders", "{}") == 0x3aa37547925018fc); // computed by Python's hashlib
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.crashWithOthersInFlight.neverCondemns")
{
    // Guards against condemning a request that was merely in flight together with the request that crashes backend servers.
    CHECK(rc::check([](const std::vector<std::vector<uint8_t>> &crashes) {
        SuspectFixture fixture;
        for (const auto &others : crashes) {
            std::vector<uint64_t> inFlight { CrashingFingerprint, 1000 };
            inFlight.insert(inFlight.end(), others.begin(), others.end());
            fixture.recordCrash(inFlight);
            RC_ASSERT(fixture.table.state(CrashingFingerprint) == SuspectState::Suspect);
        }
    }));
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.suspectCrashesAlone.isCondemnedUntilExpiry")
{
    // Guards against a request that continues to crash backend servers, and against a fingerprint that remains condemned permanently.
    recordCrash({ CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
    recordCrash({ CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Condemned);
    CHECK_FALSE(table.onRequestCompleted(CrashingFingerprint, true));
    clock.advance(10min);
    CHECK(table.state(CrashingFingerprint) == SuspectState::Clear);
    recordCrash({ CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.cleanRun.clearsOnlyWhenAlone")
{
    // Guards against clearing a suspect that completed while other requests were in flight, which proves nothing, and against retaining a
    // suspect that completed alone.
    recordCrash({ CrashingFingerprint, 2 });
    CHECK_FALSE(table.onRequestCompleted(CrashingFingerprint, false));
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
    CHECK(table.onRequestCompleted(CrashingFingerprint, true));
    CHECK(table.state(CrashingFingerprint) == SuspectState::Clear);
    recordCrash({ CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
}

TEST_CASE("SuspectTable.mergeInAnyOrder.converges")
{
    // Guards against daemons whose tables never converge, and against entries that never expire because daemons exchange them.
    CHECK(rc::check([](const std::vector<std::pair<bool, uint8_t>> &operations, const std::vector<uint8_t> &order) {
        FakeClock clock;
        SuspectTable<FakeClock> tables[2] { SuspectTable(clock), SuspectTable(clock) };
        std::vector<SuspectEntry> allEntries;
        for (const auto &[isSecondTable, operation] : operations) {
            applyOperation(tables[isSecondTable ? 1 : 0], operation);
            for (const SuspectEntry &entry : tables[isSecondTable ? 1 : 0].entries()) {
                allEntries.push_back(entry);
            }
        }
        SuspectTable<FakeClock> forward(clock);
        SuspectTable<FakeClock> shuffled(clock);
        for (const SuspectEntry &entry : allEntries) {
            forward.merge(entry);
        }
        for (const uint8_t index : order) {
            if (!allEntries.empty()) {
                shuffled.merge(allEntries[index % allEntries.size()]);
            }
        }
        for (auto entry = allEntries.rbegin(); entry != allEntries.rend(); ++entry) {
            shuffled.merge(*entry);
            shuffled.merge(*entry);
        }
        RC_ASSERT(forward.entries() == shuffled.entries());
        clock.advance(10min);
        RC_ASSERT(forward.entries().empty());
    }));
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.clearedByOperator.winsOverOlderSuspicion")
{
    // Guards against a fingerprint that becomes condemned again through gossip after an operator has cleared it.
    SuspectTable<FakeClock> other(clock);
    for (int i = 0; i < 5; ++i) {
        other.onCrash("ordering", std::vector { CrashingFingerprint });
    }
    const SuspectEntry cleared = table.clear(CrashingFingerprint);
    CHECK_FALSE(table.merge(other.entries().front()));
    CHECK(other.merge(cleared));
    CHECK(other.state(CrashingFingerprint) == SuspectState::Clear);
    other.onCrash("ordering", std::vector { CrashingFingerprint });
    CHECK(table.merge(other.entries().front()));
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.expiredEntry.doesNotComeBackFromASlowPeer")
{
    // Guards against entries that never expire because each exchange between daemons extends their expiry by the transit time.
    recordCrash({ CrashingFingerprint });
    const SuspectEntry entry = table.entries().front();
    clock.advance(1s);
    SuspectTable<FakeClock> slowPeer(clock);
    slowPeer.merge(entry);
    clock.advance(10min - 1s);
    REQUIRE(slowPeer.state(CrashingFingerprint) == SuspectState::Suspect);
    CHECK_FALSE(table.merge(slowPeer.entries().front()));
    CHECK(table.state(CrashingFingerprint) == SuspectState::Clear);
    SuspectTable<FakeClock> restarted(clock);
    clock.advance(2s);
    restarted.onCrash("ordering", std::vector { CrashingFingerprint });
    CHECK(table.merge(restarted.entries().front()));
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.crashWithItsOwnCopyInFlight.condemns")
{
    // Guards against a request that crashes every backend server and is never condemned, because its caller sends it twice at the same time.
    recordCrash({ CrashingFingerprint, CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Suspect);
    recordCrash({ CrashingFingerprint, CrashingFingerprint });
    CHECK(table.state(CrashingFingerprint) == SuspectState::Condemned);
}
