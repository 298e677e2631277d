#include "fakeclock.h"

#include <carobjunction/process/vmdirectory.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

VmRecord makeRecord(const std::string &daemon, const std::string &dataCentre, const std::string &region, uint64_t revision = 1)
{
    VmRecord record;
    record.daemon = daemon;
    record.incarnation = 1;
    record.revision = revision;
    record.address = "10.0.0.1:1";
    record.dataCentre = dataCentre;
    record.region = region;
    record.backend = { daemon + "-backend", 1, "ordering", 9, BackendState::Ready };
    return record;
}

} // namespace

struct VmDirectoryFixture {
    VmDirectoryFixture()
    {
        directory.merge(makeRecord("near", "pil-a", "pilbara"));
        directory.merge(makeRecord("next", "sw-a", "pilbara"));
        directory.merge(makeRecord("far", "mid-a", "midwest"));
    }

    std::optional<std::string> selectTarget(TargetScope scope, std::set<std::string> excluded = {}, bool includesBackedOff = false)
    {
        return directory.selectTarget({ "ordering", 100ms, std::move(excluded), scope, includesBackedOff }, clock.now(), [] { return 0.0; });
    }

    void reportLoad(const std::string &daemon, uint32_t running, double slowdownFactor = 1)
    {
        directory.onLoadReport(daemon, { running, 0, 7, slowdownFactor, false }, clock.now());
    }

    FakeClock clock;
    VmDirectory directory { "self", { "pil-a", "pilbara" } };
};

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.leaveThatTheRestartedDaemonHasLost.staysInForce")
{
    // Guards against requests to a leaving server whose daemon was restarted and takes it for ready, because the store has not recorded the leave.
    VmRecord record = makeRecord("near", "pil-a", "pilbara", 2);
    record.backend.state = BackendState::Draining;
    record.backend.isLeaving = true;
    directory.merge(record);
    const bool startsUnknown = GENERATE(false, true);
    VmRecord restarted = makeRecord("near", "pil-a", "pilbara");
    restarted.incarnation = 2;
    if (startsUnknown) {
        restarted.backend = {};
        CHECK(directory.merge(restarted));
        CHECK(directory.find("near")->recordWithLeave().backend.isLeaving);
        restarted = makeRecord("near", "pil-a", "pilbara", 2);
        restarted.incarnation = 2;
    }
    CHECK(directory.merge(restarted));
    CHECK(directory.find("near")->record.backend.isLeaving);
    CHECK(selectTarget(TargetScope::Region) == "next");
    restarted.revision = 3;
    restarted.backend.startedAtMs = 2; // the next process
    CHECK(directory.merge(restarted));
    CHECK_FALSE(directory.find("near")->recordWithLeave().backend.isLeaving);
    CHECK(selectTarget(TargetScope::Region) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.idleTargets.nearestWins")
{
    CHECK(selectTarget(TargetScope::Anywhere) == "near");
    CHECK(selectTarget(TargetScope::Anywhere, { "near" }) == "next");
    CHECK(selectTarget(TargetScope::Anywhere, { "near", "next" }) == "far");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.fullRegion.hasNoRoomButAnotherRegionHas")
{
    // Guards against requests to another region, to which traffic is billed by volume, while the own region has free slots, and against an
    // overloaded region during a burst in it while the other has free slots.
    reportLoad("near", 7);
    reportLoad("next", 7);
    reportLoad("far", 2);
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == std::nullopt);
    CHECK(selectTarget(TargetScope::OtherRegionWithFreeSlot) == "far");
    CHECK(selectTarget(TargetScope::Region).has_value());
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.noisyNeighbour.isPassedOverWhileTheReportIsFresh")
{
    // Guards against requests to a VM on which requests temporarily take five times as long.
    reportLoad("near", 0, 5);
    reportLoad("next", 0);
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == "next");
    clock.advance(VmDirectory::SlowdownExpiry);
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.sentSinceTheReport.countsAsLoad")
{
    // Guards against the thundering herd effect, in which all requests between two load reports are sent to the same target.
    reportLoad("near", 0);
    for (int i = 0; i < 7; ++i) {
        directory.onRequestSent("near");
    }
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == "next");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.failuresInARow.avoidTheTargetForATime")
{
    // Guards against requests to a target that fails them although its health check succeeds.
    directory.onRequestEnded("near", true, clock.now());
    directory.onRequestEnded("near", true, clock.now());
    CHECK(selectTarget(TargetScope::Region) == "next");
    CHECK(selectTarget(TargetScope::Region, { "next" }) == std::nullopt);
    CHECK(selectTarget(TargetScope::Region, { "next" }, true) == "near");
    clock.advance(VmDirectory::InitialBackoff);
    CHECK(selectTarget(TargetScope::Region, { "next" }) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.unreachableDaemon.isAvoidedAtOnce")
{
    directory.onUnreachable("near", clock.now());
    CHECK(selectTarget(TargetScope::Region) == "next");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.targetThatDoesNotAccept.isNeverChosen")
{
    VmRecord leaving = makeRecord("near", "pil-a", "pilbara", 2);
    leaving.backend.state = BackendState::Draining;
    directory.merge(leaving);
    VmRecord stopping = makeRecord("next", "sw-a", "pilbara", 2);
    stopping.stopping = true;
    directory.merge(stopping);
    CHECK(selectTarget(TargetScope::Anywhere, {}, true) == "far");
    VmRecord other = makeRecord("far", "mid-a", "midwest", 2);
    other.backend.service = "dispatch";
    directory.merge(other);
    CHECK(selectTarget(TargetScope::Anywhere, {}, true) == std::nullopt);
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.leaveThatIsNotVerified.endsWithAVerifiedRecord")
{
    // Guards against a foreign leave that peers keep in force after the daemon of the VM has been upgraded.
    VmRecord leaving = makeRecord("near", "pil-a", "pilbara", 2);
    leaving.backend.isLeaving = true;
    leaving.backend.state = BackendState::Gone;
    const bool isVerified = GENERATE(true, false);
    leaving.backend.isVerified = isVerified;
    directory.merge(leaving);
    directory.merge(makeRecord("near", "pil-a", "pilbara", 3));
    CHECK(selectTarget(TargetScope::Region) == (isVerified ? "next" : "near"));
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.leaveOfAnotherService.isNotKept")
{
    VmRecord leaving = makeRecord("near", "pil-a", "pilbara", 2);
    leaving.backend.isLeaving = true;
    leaving.backend.service = "unnamed";
    directory.merge(leaving);
    directory.merge(makeRecord("near", "pil-a", "pilbara", 3));
    CHECK(selectTarget(TargetScope::Region) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.recordThatItsDaemonContradicts.isReplaced")
{
    VmRecord foreign = makeRecord("near", "pil-a", "pilbara", 9);
    foreign.backend.service = "unnamed";
    CHECK(directory.merge(foreign));
    CHECK_FALSE(directory.isContradicted("near")); // no report yet
    directory.onReportedVersion("near", { 1, 3 });
    CHECK(directory.isContradicted("near"));
    CHECK_FALSE(directory.merge(makeRecord("near", "pil-a", "pilbara", 3)));
    directory.replace(makeRecord("near", "pil-a", "pilbara", 3));
    CHECK(selectTarget(TargetScope::Region) == "near");
    CHECK_FALSE(directory.isContradicted("near"));
}

TEST_CASE("VmDirectory.addressThatIsUsedAgain.namesTheVmsThatHadItBefore")
{
    VmDirectory directory("self", { "pil-a", "pilbara" });
    const auto makeRecordAt = [](const std::string &daemon, const std::string &address) {
        VmRecord record = makeRecord(daemon, "pil-a", "pilbara");
        record.address = address;
        return record;
    };
    directory.merge(makeRecordAt("lost", "10.0.0.1:1"));
    directory.merge(makeRecordAt("other", "10.0.0.2:1"));
    directory.merge(makeRecordAt("new", "10.0.0.1:1"));
    const std::vector<VmRecord> previousVms = directory.findOthersByAddress("10.0.0.1:1", "new");
    REQUIRE(previousVms.size() == 1);
    CHECK(previousVms.front().daemon == "lost");
    CHECK(directory.findOthersByAddress("10.0.0.2:1", "other").empty());
}

TEST_CASE("VmDirectory.recordsInAnyOrder.endWithTheNewest")
{
    CHECK(rc::check([](std::vector<std::pair<uint8_t, uint8_t>> versions) {
        VmDirectory directory("self", { "a", "r" });
        std::pair<uint64_t, uint64_t> newest { 0, 0 };
        for (const auto &[incarnation, revision] : versions) {
            VmRecord record = makeRecord("x", "a", "r", revision);
            record.incarnation = incarnation;
            directory.merge(record);
            newest = directory.all().size() == 1 && newest == std::pair<uint64_t, uint64_t> { 0, 0 }
                ? std::pair<uint64_t, uint64_t>(incarnation, revision)
                : std::max(newest, std::pair<uint64_t, uint64_t>(incarnation, revision));
            const VmRecord &stored = directory.find("x")->record;
            RC_ASSERT((std::pair<uint64_t, uint64_t>(stored.incarnation, stored.revision) == newest));
        }
    }));
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.slowSpell.countsAsNoRoomWhileTheReportIsFresh")
{
    // Guards against wasted calls to a target that refuses requests during a temporary slowdown, before that slowdown can have ended.
    directory.onLoadReport("near", { 0, 0, 7, 5, false, true, {} }, clock.now());
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == "next");
    clock.advance(VmDirectory::SlowdownExpiry);
    CHECK(selectTarget(TargetScope::RegionWithFreeSlot) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.coldServerThatReportsItsSlowdown.isNotCountedTwice")
{
    // Guards against counting the cold start of a target in addition to its reported slowdown: the target would appear four times slower,
    // and a target in another region would be preferred.
    directory.onLoadReport("near", { 0, 0, 7, 2, true, false, {} }, clock.now());
    directory.onLoadReport("next", { 7, 0, 7, 1, false, false, {} }, clock.now());
    directory.onLoadReport("far", { 7, 0, 7, 1, false, false, {} }, clock.now());
    CHECK(selectTarget(TargetScope::Anywhere) == "near");
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.reportOfALongQueue.isSkippedIfTheWaitIsLimited")
{
    // Guards against asking one overloaded target after the other, although their reports show that they would answer late.
    reportLoad("near", 20);
    reportLoad("next", 20);
    TargetQuery query { "ordering", 100ms, {}, TargetScope::Region, false, 100ms };
    CHECK_FALSE(directory.selectTarget(query, clock.now(), [] { return 0.0; }).has_value());
    reportLoad("next", 9);
    CHECK(directory.selectTarget(query, clock.now(), [] { return 0.0; }) == "next");
    query.maxWait.reset();
    CHECK(directory.selectTarget(query, clock.now(), [] { return 0.0; }).has_value());
}

TEST_CASE_METHOD(VmDirectoryFixture, "VmDirectory.outdatedReportOfALongQueue.isNoEvidence")
{
    reportLoad("near", 20);
    reportLoad("next", 20);
    clock.advance(1100ms);
    const TargetQuery query { "ordering", 100ms, {}, TargetScope::Region, false, 100ms };
    CHECK(directory.selectTarget(query, clock.now(), [] { return 0.0; }).has_value());
}
