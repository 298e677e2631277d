#include "fakeclock.h"

#include <carobjunction/process/suspecttable.h>
#include <carobjunction/request/fingerprint.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t Culprit = 1;

struct SuspectFixture {
    FakeClock clock;
    SuspectTable<FakeClock> table { clock };
    void crash(std::vector<uint64_t> inFlight)
    {
        table.onCrash("ordering", inFlight);
    }
};

/** Does a random operation on one of two fingerprints. */
void change(SuspectTable<FakeClock> &table, int operation)
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
    // Guards against two different requests with one fingerprint, and a value that changes between processes or versions.
    CHECK(computeFingerprint("a", "bc", "/", "") != computeFingerprint("ab", "c", "/", ""));
    CHECK(computeFingerprint("ordering", "POST", "/orders", "{}") == 0x3aa37547925018fc); // computed by Python's hashlib
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.crashInCompany.neverCondemns")
{
    // Guards against refusing a request that only ran beside the one that crashes backend servers.
    CHECK(rc::check([](const std::vector<std::vector<uint8_t>> &crashes) {
        SuspectFixture fixture;
        for (const auto &others : crashes) {
            std::vector<uint64_t> inFlight { Culprit, 1000 };
            inFlight.insert(inFlight.end(), others.begin(), others.end());
            fixture.crash(inFlight);
            RC_ASSERT(fixture.table.state(Culprit) == SuspectState::Suspect);
        }
    }));
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.suspectCrashesAlone.isCondemnedUntilExpiry")
{
    // Guards against a request that goes on crashing backend servers, and against a sentence without end.
    crash({ Culprit });
    CHECK(table.state(Culprit) == SuspectState::Suspect);
    crash({ Culprit });
    CHECK(table.state(Culprit) == SuspectState::Condemned);
    CHECK_FALSE(table.onRequestCompleted(Culprit, true));
    clock.advance(10min);
    CHECK(table.state(Culprit) == SuspectState::Clear);
    crash({ Culprit });
    CHECK(table.state(Culprit) == SuspectState::Suspect);
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.cleanRun.clearsOnlyWhenAlone")
{
    // Guards against clearing a suspect whose run beside others proves nothing, and against keeping one that ran well alone.
    crash({ Culprit, 2 });
    CHECK_FALSE(table.onRequestCompleted(Culprit, false));
    CHECK(table.state(Culprit) == SuspectState::Suspect);
    CHECK(table.onRequestCompleted(Culprit, true));
    CHECK(table.state(Culprit) == SuspectState::Clear);
    crash({ Culprit });
    CHECK(table.state(Culprit) == SuspectState::Suspect);
}

TEST_CASE("SuspectTable.mergeInAnyOrder.converges")
{
    // Guards against daemons that disagree about a request for good, or keep an entry alive by passing it around.
    CHECK(rc::check([](const std::vector<std::pair<bool, uint8_t>> &operations, const std::vector<uint8_t> &order) {
        FakeClock clock;
        SuspectTable<FakeClock> tables[2] { SuspectTable(clock), SuspectTable(clock) };
        std::vector<SuspectEntry> seen;
        for (const auto &[which, operation] : operations) {
            change(tables[which ? 1 : 0], operation);
            for (const SuspectEntry &entry : tables[which ? 1 : 0].entries()) {
                seen.push_back(entry);
            }
        }
        SuspectTable<FakeClock> forward(clock);
        SuspectTable<FakeClock> shuffled(clock);
        for (const SuspectEntry &entry : seen) {
            forward.merge(entry);
        }
        for (const uint8_t index : order) {
            if (!seen.empty()) {
                shuffled.merge(seen[index % seen.size()]);
            }
        }
        for (auto entry = seen.rbegin(); entry != seen.rend(); ++entry) {
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
    // Guards against a condemnation that comes back by gossip after an operator lifted it.
    SuspectTable<FakeClock> other(clock);
    for (int i = 0; i < 5; ++i) {
        other.onCrash("ordering", std::vector { Culprit });
    }
    const SuspectEntry cleared = table.clear(Culprit);
    CHECK_FALSE(table.merge(other.entries().front()));
    CHECK(other.merge(cleared));
    CHECK(other.state(Culprit) == SuspectState::Clear);
    other.onCrash("ordering", std::vector { Culprit });
    CHECK(table.merge(other.entries().front()));
    CHECK(table.state(Culprit) == SuspectState::Suspect);
}

TEST_CASE_METHOD(SuspectFixture, "SuspectTable.expiredEntry.doesNotComeBackFromASlowPeer")
{
    // Guards against entries that never expire because each exchange adds its transit time.
    crash({ Culprit });
    const SuspectEntry entry = table.entries().front();
    clock.advance(1s);
    SuspectTable<FakeClock> slow(clock);
    slow.merge(entry);
    clock.advance(10min - 1s);
    REQUIRE(slow.state(Culprit) == SuspectState::Suspect);
    CHECK_FALSE(table.merge(slow.entries().front()));
    CHECK(table.state(Culprit) == SuspectState::Clear);
    SuspectTable<FakeClock> restarted(clock);
    clock.advance(2s);
    restarted.onCrash("ordering", std::vector { Culprit });
    CHECK(table.merge(restarted.entries().front()));
}
