#include "platform/platformdaemonfixture.h"
#include "platform/routefollowerfixture.h"

#include <random>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

constexpr const char *VmTable = ClusterSync<PlatformAdapter>::VmTableName;

/** How the store is away before it returns from a copy. */
enum class Absence { Refusing, Silent, None };

void begin(StandInTableStore &store, Absence absence)
{
    store.isDown = absence == Absence::Refusing;
    store.isSilent = absence == Absence::Silent;
}

void end(StandInTableStore &store)
{
    store.isDown = false;
    store.isSilent = false;
}

void putOtherRows(StandInTableStore &store, int count)
{
    for (int i = 0; i < count; ++i) {
        store.put("servers", "i-" + std::to_string(i), "{}");
    }
}

} // namespace

TEST_CASE_METHOD(RouteFollowerFixture, "StoreRestore.versionThatWasAssignedBefore.newRoutesAreInForceInTime")
{
    // Guards against requests that go by old routes: the store returned from an older copy, and new routes got a version that all daemons had read before.
    const auto absence = GENERATE(Absence::Refusing, Absence::Silent, Absence::None);
    const uint32_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(static_cast<int>(absence), seed);
    std::mt19937 random(seed);
    const auto randomCount = [&random](int limit) {
        return std::uniform_int_distribution<int>(0, limit)(random);
    };
    const int lostWrites = randomCount(3);
    store.takeCopy();
    putOtherRows(store, lostWrites);
    publish(2);
    REQUIRE(waitFor([this] { return allHave(2); }, ApplyLimit));
    begin(store, absence);
    runFor(absence == Absence::None ? 0ms : std::chrono::milliseconds(randomCount(2000)));
    store.restoreCopy();
    publish(3);
    putOtherRows(store, lostWrites + randomCount(2));
    end(store);
    CHECK(waitFor([this] { return allHave(3); }, RecoveryLimit));
    publish(4);
    CHECK(waitFor([this] { return allHave(4); }, ApplyLimit));
    for (const Daemon &daemon : daemons) {
        CHECK(waitFor([&] { return daemon.metrics.value(Counter::StoreRestores) == 1; }, RecoveryLimit));
    }
}

TEST_CASE_METHOD(RouteFollowerFixture, "StoreRestore.recordWrittenAfterTheCopy.isWrittenAgain")
{
    // Guards against a VM that daemons started later don't know: its row was lost with the store's last writes.
    store.takeCopy();
    Daemon late;
    start(late, "vm-late");
    REQUIRE(waitFor([this] { return store.value(VmTable, "vm-late").has_value(); }, 5s));
    runFor(500ms); // its watch is in progress
    store.restoreCopy();
    CHECK(waitFor([this] { return store.value(VmTable, "vm-late").has_value(); }, RecoveryLimit));
}

TEST_CASE_METHOD(PlatformDaemonFixture, "StoreRestore.routesMovedAndAdded.allDaemonsFollowThemInTime")
{
    // Guards against the incident of real processes: 404 on an added route, and requests run by the service that a route had before.
    constexpr Duration RecoveryLimit = 4s;
    const auto absence = GENERATE(Absence::Refusing, Absence::Silent);
    CAPTURE(static_cast<int>(absence));
    const PublishedRoute look { "/look/", "idempotent", "ordering" };
    store.takeCopy();
    store.put("op", "config", publishedConfig(2, { look, { "/moved/", "idempotent", "ordering" } }));
    for (const Vm &vm : vms) {
        REQUIRE(waitFor([&] { return send(vm.caller, request(http::verb::get, "/moved/1")).result_int() == 200; }));
    }
    begin(store, absence);
    runFor(1s);
    store.restoreCopy();
    store.put("op", "config", publishedConfig(3, { look, { "/moved/", "idempotent", "dispatch" }, { "/added/", "idempotent", "ordering" } }));
    end(store);
    runFor(RecoveryLimit);
    const std::string newServer = "answer of " + vms[0].backend->id;
    for (const Vm &vm : vms) {
        CAPTURE(vm.name);
        CHECK(send(vm.caller, request(http::verb::get, "/added/1")).result_int() == 200);
        CHECK(send(vm.caller, request(http::verb::get, "/moved/1")).body() == newServer);
    }
}
