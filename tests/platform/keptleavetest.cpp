#include "platform/platformdaemonfixture.h"

#include <carobjunction/process/durations.h>

#include <random>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

/** The leave of the backend server of the second VM, with faults of the store and a restart of the daemon at random moments. */
struct KeptLeaveFixture : PlatformDaemonFixture {
    enum class StoreFault { WriteNeverPerformed, WritePerformedLate, Unavailable, Silent };

    KeptLeaveFixture()
    {
        REQUIRE(waitForLookups());
        REQUIRE(waitFor([this] { return hasStoredState("ready"); }));
    }

    bool hasStoredState(const std::string &state)
    {
        const auto row = store.value("carobjunction-vms", vms[1].name);
        return row && row->find("\"state\":\"" + state + "\"") != std::string::npos;
    }

    Duration randomTime(Duration limit)
    {
        return scaled(limit, std::uniform_real_distribution<double>(0, 1)(random));
    }

    void begin(StoreFault fault)
    {
        store.writesToLose = fault == StoreFault::WriteNeverPerformed || fault == StoreFault::WritePerformedLate ? 1 : 0;
        store.lostWriteDelay = fault == StoreFault::WritePerformedLate ? std::optional<Duration>(3s) : std::nullopt;
        store.isDown = fault == StoreFault::Unavailable;
        store.isSilent = fault == StoreFault::Silent;
    }

    void endFault()
    {
        store.isDown = false;
        store.isSilent = false;
    }

    unsigned sendLeave(Vm &vm)
    {
        const bool announcesDraining = random() % 2 == 0;
        return announcesDraining ? sendHeartbeat(vm, "draining")
                                 : send(vm.control, HttpRequest(http::verb::delete_, "/v1/instances/" + vm.backend->id, 11)).result_int();
    }

    void restartDaemon(Vm &vm)
    {
        vm.daemon->kill();
        runFor(randomTime(300ms));
        start(vm);
        REQUIRE(waitFor([&] { return getStatus(vm.ready, "/v1/readyz") != 0; }));
    }

    /** Sends lookups for a while. @return number of requests that reached the backend server of the second VM */
    size_t lookupsThatArrive(Duration time)
    {
        const size_t before = vms[1].backend->startedRequests.size();
        const TimePoint end = SteadyClock().now() + time;
        while (SteadyClock().now() < end) {
            sendToFirstVm(http::verb::get, "/look/1");
            runFor(20ms);
        }
        return vms[1].backend->startedRequests.size() - before;
    }

    std::mt19937 random;
};

} // namespace

TEST_CASE_METHOD(KeptLeaveFixture, "KeptLeave.daemonRestartedAfterTheAcknowledgement.serverGetsNoMoreRequests")
{
    // Guards against requests to a server whose leave was acknowledged: the store had not recorded the leave, its daemon was killed, and a heartbeat
    // from before the leave arrived at the restarted daemon.
    const auto fault = GENERATE(StoreFault::WriteNeverPerformed, StoreFault::WritePerformedLate, StoreFault::Unavailable, StoreFault::Silent);
    const uint32_t seed = GENERATE(1U, 2U);
    CAPTURE(static_cast<int>(fault), seed);
    random.seed(seed);
    const uint64_t sequenceBeforeLeave = vms[1].sequence;
    begin(fault);
    REQUIRE(sendLeave(vms[1]) == 200);
    runFor(randomTime(400ms));
    const bool endsFaultBeforeRestart = random() % 2 == 0;
    if (endsFaultBeforeRestart) {
        endFault();
    }
    restartDaemon(vms[1]);
    runFor(randomTime(700ms));
    vms[1].sequence = sequenceBeforeLeave; // the late heartbeat was sent before the leave
    sendHeartbeat(vms[1]);
    CHECK(lookupsThatArrive(1s) == 0);
    endFault();
    CHECK(lookupsThatArrive(3500ms) == 0);
}

TEST_CASE_METHOD(KeptLeaveFixture, "KeptLeave.neitherStoreNorPeerRecordsIt.isNotAcknowledged")
{
    // Guards against the promise of a daemon that the next process can't know of.
    store.isDown = true;
    vms[0].daemon->kill();
    CHECK(send(vms[1].control, HttpRequest(http::verb::delete_, "/v1/instances/i-vm-2", 11)).result_int() == 503);
    store.isDown = false;
    CHECK(waitFor([this] { return send(vms[1].control, HttpRequest(http::verb::delete_, "/v1/instances/i-vm-2", 11)).result_int() == 200; }, 3s));
    CHECK(hasStoredState("gone"));
}

TEST_CASE_METHOD(KeptLeaveFixture, "KeptLeave.lostWrite.isAcknowledgedWithinASecond")
{
    // Guards against a backend server that calls in vain, because the daemon waits for the response to a lost write.
    store.writesToLose = 1;
    const TimePoint start = SteadyClock().now();
    CHECK(sendHeartbeat(vms[1], "draining") == 200);
    CHECK(SteadyClock().now() - start < 1s);
    CHECK(hasStoredState("draining"));
}

TEST_CASE_METHOD(KeptLeaveFixture, "KeptLeave.storeRestoredFromACopy.serverGetsNoMoreRequests")
{
    // Guards against a leave that is lost with the store's last writes, and with all daemons soon after.
    store.takeCopy();
    const uint64_t sequenceBeforeLeave = vms[1].sequence;
    REQUIRE(sendLeave(vms[1]) == 200);
    REQUIRE(waitFor([this] { return !hasStoredState("ready"); }));
    store.restoreCopy();
    CHECK(waitFor([this] { return !hasStoredState("ready"); }, 4s));
    vms[0].daemon->kill();
    vms[1].daemon->kill();
    start(vms[0]);
    start(vms[1]);
    REQUIRE(waitFor([&] { return getStatus(vms[0].ready, "/v1/readyz") == 200 && getStatus(vms[1].ready, "/v1/readyz") == 200; }));
    vms[1].sequence = sequenceBeforeLeave; // the late heartbeat was sent before the leave
    sendHeartbeat(vms[1]);
    CHECK(lookupsThatArrive(2s) == 0);
}
