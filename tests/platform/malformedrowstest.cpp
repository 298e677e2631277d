#include "platform/platformdaemonfixture.h"

#include "platform/platformadapter.h"
#include "process/clustersync.h"

#include <limits>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr uint64_t LargestNumber = std::numeric_limits<uint64_t>::max();
constexpr const char *VmTable = "carobjunction-vms";

Json encodedRecord(const std::string &daemon, const std::string &address)
{
    VmRecord record;
    record.daemon = daemon;
    record.incarnation = 1'700'000'000'000;
    record.revision = 1;
    record.address = address;
    record.dataCentre = "a";
    record.region = "r";
    record.backend = { "i-" + daemon, 1'700'000'000'000, "ordering", 9, BackendState::Ready, false };
    return Json::parse(VmRecordCodec::encode(record));
}

std::string nestedArrays(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/** ClusterSync of one daemon, run in the test process against a stand-in for the table store. */
struct ClusterSyncFixture {
    ClusterSyncFixture()
    {
        settings.daemon = "vm-1";
        settings.dataCentre = "a";
        settings.region = "r";
        settings.storeAddress = store.address();
        settings.peerAddress = "127.0.0.1:" + std::to_string(ports.allocatePort());
    }

    void start()
    {
        directory = std::make_unique<VmDirectory>("vm-1", Locality { "a", "r" });
        sync = std::make_unique<ClusterSync<PlatformAdapter>>(loop, settings, *directory, crashes, metrics, nullptr);
        sync->start([] { return TargetReport {}; },
                    [this](const BackendRecord *storedBackend) { restoredBackendIds.push_back(storedBackend == nullptr ? "" : storedBackend->id); });
    }

    bool waitFor(const std::function<bool()> &condition, Duration limit = 5s)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while (SteadyClock().now() < end && !condition()) {
            loop.restart();
            loop.run_for(20ms);
        }
        return condition();
    }

    /** @return the record of this VM in the store, or empty if there is none or it cannot be decoded */
    std::optional<VmRecord> storedRecord()
    {
        const auto value = store.value(VmTable, "vm-1");
        return value ? VmRecordCodec::decode(*value) : std::nullopt;
    }

    asio::io_context loop { 1 };
    bench::FreePorts ports;
    StandInTableStore store { loop };
    VmSettings settings;
    CrashHistory crashes;
    Metrics metrics;
    std::unique_ptr<VmDirectory> directory;
    std::unique_ptr<ClusterSync<PlatformAdapter>> sync;
    std::vector<std::string> restoredBackendIds;
};

} // namespace

TEST_CASE_METHOD(ClusterSyncFixture, "MalformedRows.rowUnderTheOwnKey.isReplaced")
{
    // Guards against a daemon that cannot publish the record of its VM, because another writer stored a newer record under its key.
    Json ownRecord = encodedRecord("vm-1", "10.9.9.9:1");
    SECTION("largest incarnation")
    {
        ownRecord["incarnation"] = LargestNumber;
        store.put(VmTable, "vm-1", ownRecord.dump());
    }
    SECTION("largest incarnation that is accepted")
    {
        ownRecord["incarnation"] = VmRecordCodec::maxAcceptedIncarnation();
        store.put(VmTable, "vm-1", ownRecord.dump());
    }
    SECTION("not a record")
    {
        store.put(VmTable, "vm-1", nestedArrays(100'000));
    }
    start();
    REQUIRE(waitFor([&] { return storedRecord() && storedRecord()->address == settings.peerAddress; }));
    CHECK_FALSE(restoredBackendIds.empty());
    CHECK(storedRecord()->incarnation > 0);
    CHECK(storedRecord()->incarnation <= VmRecordCodec::maxAcceptedIncarnation());
}

TEST_CASE_METHOD(ClusterSyncFixture, "MalformedRows.laterRevisionUnderTheOwnKey.isSuperseded")
{
    // Guards against records of this daemon that other daemons discard as older than the record of another writer.
    start();
    REQUIRE(waitFor([&] { return storedRecord().has_value(); }));
    Json foreignRecord = Json::parse(VmRecordCodec::encode(*storedRecord()));
    const uint64_t incarnation = foreignRecord["incarnation"];
    foreignRecord["revision"] = 1'000'000;
    foreignRecord["address"] = "10.9.9.9:1";
    store.put(VmTable, "vm-1", foreignRecord.dump());
    sync->setBackend({ "i-1", 1, "ordering", 9, BackendState::Ready, false });
    CHECK(waitFor([&] { return storedRecord() && storedRecord()->address == settings.peerAddress && storedRecord()->incarnation > incarnation; }));
}

TEST_CASE_METHOD(ClusterSyncFixture, "MalformedRows.rowOfAnotherShape.otherRowsAreRead")
{
    // Guards against a reader that discards the whole table because of one malformed row.
    store.put(VmTable, "vm-2", encodedRecord("vm-2", "127.0.0.1:1").dump());
    store.malformedRows = { { { "key", "odd" }, { "value", 5 }, { "ver", "x" } }, Json(7) };
    start();
    CHECK(waitFor([&] { return directory->find("vm-2") != nullptr; }, 2s));
}

TEST_CASE_METHOD(PlatformDaemonFixture, "MalformedRows.rowsAndDatagrams.daemonsKeepRunning")
{
    // Guards against one malformed row or datagram that terminates all daemons, or stops them from reading the table.
    REQUIRE(waitForLookups());
    Json lateRecord = encodedRecord("odd-late", "127.0.0.1:2");
    lateRecord["incarnation"] = LargestNumber;
    Json negativeRecord = encodedRecord("odd-negative", "127.0.0.1:2");
    negativeRecord["revision"] = -1;
    store.put(VmTable, "odd-late", lateRecord.dump());
    store.put(VmTable, "odd-negative", negativeRecord.dump());
    store.put(VmTable, "odd-port", encodedRecord("odd-port", "127.0.0.1:99999999999").dump());
    store.put(VmTable, "odd-deep", nestedArrays(100'000));
    Json malformedRow { { "table_name", VmTable }, { "key", "odd-shape" }, { "value", 5 }, { "ver", 7 } };
    store.malformedRows = { malformedRow, Json(3), { { "key", 4 } } };
    for (Vm &vm : vms) {
        vm.daemon->kill();
        start(vm);
    }
    for (Vm &vm : vms) {
        REQUIRE(waitFor([&] { return getStatus(vm.ready, "/v1/readyz") == 200; }));
        REQUIRE(sendHeartbeat(vm) == 200);
    }
    CHECK(waitForLookups());
    Udp::socket socket(loop, Udp::v4());
    const std::vector<std::string> datagrams { std::string(8192, '\x81'), std::string(60'000, '\x81'), std::string("\x89\xfb\x7f\xf8"), "", "{" };
    for (const Vm &vm : vms) {
        const auto peer = parseEndpoint(vm.peer).value();
        for (const std::string &datagram : datagrams) {
            socket.send_to(asio::buffer(datagram), Udp::endpoint(peer.address(), peer.port()));
        }
    }
    runFor(4s); // long enough for the second read of the table
    for (Vm &vm : vms) {
        REQUIRE(sendHeartbeat(vm) == 200);
        CHECK_FALSE(vm.daemon->waitForExit(1ms));
    }
    // A new VM is discovered and serves the requests after the only other VM of its service is killed.
    vms.push_back(makeVm("vm-3", "ordering"));
    start(vms.back());
    REQUIRE(waitFor([&] { return getStatus(vms.back().ready, "/v1/readyz") == 200; }));
    REQUIRE(sendHeartbeat(vms.back()) == 200);
    vms[1].daemon->kill();
    CHECK(waitForLookups());
    CHECK(waitFor([&] { return !vms[2].backend->startedRequests.empty() || (waitForLookups() && !vms[2].backend->startedRequests.empty()); }));
    std::ifstream file(vms[0].logFile);
    const std::string log((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (const std::string key : { "odd-late", "odd-negative", "odd-port", "odd-deep", "odd-shape" }) {
        INFO(key);
        size_t lines = 0;
        for (size_t at = log.find("key=" + key + " "); at != std::string::npos; at = log.find("key=" + key + " ", at + 1)) {
            ++lines;
        }
        CHECK(lines == 1);
    }
}
