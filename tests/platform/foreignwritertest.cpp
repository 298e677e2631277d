#include "platform/foreignheartbeats.h"
#include "platform/platformdaemonfixture.h"

#include "process/gossipmessage.h"
#include "process/vmrecordcodec.h"

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr const char *VmTable = "carobjunction-vms";
constexpr const char *ForeignId = "i-other";
constexpr int64_t LeadMs = 3'600'000; // the foreign start time is an hour after the real one
constexpr uint64_t LateSequence = 1'000'000;

/** Another writer sends heartbeats and stores records that concern the backend server of the second VM. */
struct ForeignWriterFixture : PlatformDaemonFixture {
    /** @return a heartbeat that outranks those of the backend server */
    Json outrankingHeartbeat(const std::string &state)
    {
        return Json::parse(heartbeatBody(vms[1].backendAddress(), BackendStartedAtMs + LeadMs, "ordering", state, LateSequence));
    }

    unsigned deliver(const std::string &id, const std::string &body)
    {
        HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
        message.body() = body;
        return send(vms[1].control, message).result_int();
    }

    void restartDaemon(Vm &vm)
    {
        vm.daemon->kill();
        start(vm);
        REQUIRE(waitFor([&] { return getStatus(vm.ready, "/v1/readyz") == 200; }));
    }

    unsigned lookup()
    {
        return sendToFirstVm(http::verb::get, "/look/1").result_int();
    }

    /** @return whether a lookup succeeds within @p limit while the backend server sends heartbeats */
    bool isServedWithin(Duration limit)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while (SteadyClock().now() < end) {
            sendHeartbeat(vms[1]);
            if (lookup() == 200) {
                return true;
            }
            runFor(200ms);
        }
        return false;
    }

    /** @return the record of the second VM as an earlier program stored it after a heartbeat of another writer */
    Json recordOfEarlierProgram(const std::string &id, int64_t startedAtMs, const std::string &service)
    {
        VmRecord record;
        record.daemon = vms[1].name;
        record.incarnation = static_cast<uint64_t>(std::time(nullptr)) * 1000;
        record.revision = LateSequence;
        record.address = vms[1].peer;
        record.dataCentre = "a";
        record.region = "r";
        record.backend = { id, static_cast<uint64_t>(startedAtMs), service, 9, BackendState::Gone, true };
        Json json = Json::parse(VmRecordCodec::encode(record));
        json["backend"].erase("verified");
        return json;
    }
};

} // namespace

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.heartbeatBetweenTwoOfTheServer.changesNothing")
{
    // Guards against a sound server that gets no more requests, because a message of another writer with a later start time or sequence number replaced its
    // state.
    const std::string state = GENERATE("ready", "draining");
    REQUIRE(waitForLookups());
    for (const std::string &id : { std::string(ForeignId), vms[1].backend->id }) {
        for (const ForeignHeartbeat &heartbeat : foreignHeartbeats(outrankingHeartbeat(state))) {
            CAPTURE(state, id, heartbeat.defect);
            CHECK(deliver(id, heartbeat.body) == 400);
            CHECK(lookup() == 200);
        }
    }
    CHECK(sendHeartbeat(vms[1]) == 200);
    CHECK(lookup() == 200);
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.heartbeatBeforeTheFirstOfTheServer.namesNoTarget")
{
    // Guards against requests to a server that only another writer has announced, and against a server whose first heartbeat then counts as outdated.
    REQUIRE(waitForLookups());
    restartDaemon(vms[1]);
    const size_t startedBefore = vms[1].backend->startedRequests.size();
    for (const std::string &id : { std::string(ForeignId), vms[1].backend->id }) {
        for (const ForeignHeartbeat &heartbeat : foreignHeartbeats(outrankingHeartbeat("ready"))) {
            CAPTURE(id, heartbeat.defect);
            CHECK(deliver(id, heartbeat.body) == 400);
        }
    }
    CHECK(lookup() == 503);
    CHECK(vms[1].backend->startedRequests.size() == startedBefore);
    CHECK(isServedWithin(3s));
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.heartbeatBesideARestart.serverIsUsedAgain")
{
    // Guards against a foreign leave that all daemons store, and that the restarted ones put into force again.
    REQUIRE(waitForLookups());
    for (const std::string &id : { std::string(ForeignId), vms[1].backend->id }) {
        Json body = outrankingHeartbeat("draining");
        body["info"]["service"] = UnnamedService;
        deliver(id, body.dump());
    }
    for (Vm &vm : vms) {
        restartDaemon(vm);
    }
    CHECK(isServedWithin(3s));
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.leaveOfAnotherServer.changesNothing")
{
    // Guards against a leave that stops the traffic to a server that it does not name.
    REQUIRE(waitForLookups());
    for (const std::string &id : { std::string(ForeignId), vms[1].backend->id + "/x", vms[1].backend->id.substr(0, 3), std::string("%00") }) {
        CAPTURE(id);
        send(vms[1].control, HttpRequest(http::verb::delete_, "/v1/instances/" + id, 11));
        CHECK(lookup() == 200);
    }
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.leaveStoredByAnEarlierProgram.doesNotOutliveTheUpgrade")
{
    // Guards against a foreign leave that an earlier program accepted and stored: the daemon restores it after its upgrade.
    const auto &[id, startedAtMs, service, limit] = GENERATE_COPY(table<std::string, int64_t, std::string, Duration>({
        { ForeignId, BackendStartedAtMs + LeadMs, UnnamedService, 3s },
        { ForeignId, BackendStartedAtMs + LeadMs, "ordering", 3s },
        { vms[1].backend->id, BackendStartedAtMs + LeadMs, UnnamedService, 3s },
        { vms[1].backend->id, BackendStartedAtMs + LeadMs, "ordering", 12s },
        { vms[1].backend->id, BackendStartedAtMs, "ordering", 12s },
    }));
    CAPTURE(id, startedAtMs, service);
    REQUIRE(waitForLookups());
    vms[1].daemon->kill();
    store.put(VmTable, vms[1].name, recordOfEarlierProgram(id, startedAtMs, service).dump());
    start(vms[1]);
    restartDaemon(vms[0]);
    CHECK(isServedWithin(limit));
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.rowWrittenOverThatOfARunningDaemon.daemonsOwnRecordHolds")
{
    // Guards against a daemon that reads a foreign row of another VM at its start, and sends that VM nothing until the row is replaced.
    REQUIRE(waitForLookups());
    Json record = recordOfEarlierProgram(ForeignId, BackendStartedAtMs + LeadMs, UnnamedService);
    record["incarnation"] = record["incarnation"].get<uint64_t>() + LeadMs;
    SECTION("backend server of a service that no configuration names")
    {
    }
    SECTION("another peer address")
    {
        record["address"] = "127.0.0.1:1";
    }
    store.put(VmTable, vms[1].name, record.dump());
    restartDaemon(vms[0]);
    CHECK(isServedWithin(5s));
}

TEST_CASE_METHOD(ForeignWriterFixture, "ForeignWriter.reportInTheNameOfAnotherDaemon.daemonsOwnRecordHolds")
{
    // Guards against one datagram with a late incarnation that outranks all later reports of the daemon itself.
    REQUIRE(waitForLookups());
    GossipMessage message;
    message.record = VmRecordCodec::decode(recordOfEarlierProgram(ForeignId, BackendStartedAtMs + LeadMs, UnnamedService).dump());
    message.record->incarnation += LeadMs;
    message.daemon = vms[1].name;
    message.incarnation = message.record->incarnation;
    message.revision = message.record->revision;
    message.peerAddress = vms[1].peer;
    const auto peer = parseEndpoint(vms[0].peer).value();
    Udp::socket socket(loop, Udp::v4());
    socket.send_to(asio::buffer(message.encode()), Udp::endpoint(peer.address(), peer.port()));
    REQUIRE(waitFor([this] { return lookup() == 503; }));
    CHECK(isServedWithin(5s));
}
