#include "platform/platformstandins.h"

#include "childprocess.h"
#include "connection/endpoints.h"
#include "connection/httpclientpool.h"
#include "connection/messagefields.h"
#include "freeports.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

Json route(const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs = 2000)
{
    return { { "type", "routes" },
             { "metadata", { { "name", "route" + prefix } } },
             { "spec",
               { { "host", "h.example" },
                 { "prefix", prefix },
                 { "kind", kind },
                 { "timeout_ms", timeoutMs },
                 { "aim_ms", 800 },
                 { "priority", 1 },
                 { "service", service },
                 { "attempts", 2 } } } };
}

std::string config(int version, const std::vector<Json> &routes)
{
    Json resources = routes;
    for (const char *service : { "ordering", "dispatch" }) {
        resources.push_back(
            { { "type", "services" }, { "metadata", { { "name", service } } }, { "spec", { { "health_path", "/healthz" }, { "max_connections", 260 } } } });
    }
    return Json { { "version", version }, { "resources", resources } }.dump();
}

/** A daemon as a process of its own, with the backend server beside it. */
struct Vm {
    std::string name;
    std::string service;
    std::string caller;
    std::string peer;
    std::string ready;
    std::string control;
    std::string settingsFile;
    std::unique_ptr<StandInBackend> backend;
    std::unique_ptr<bench::ChildProcess> daemon;
    uint64_t sequence = 0;
};

} // namespace

/** Two VMs: the callers are on the first, whose backend server is of another service. */
struct PlatformDaemonFixture {
    PlatformDaemonFixture()
    {
        store.put("op", "config", config(1, { route("/look/", "idempotent", "ordering"), route("/order/", "non_idempotent", "ordering") }));
        vms.push_back(makeVm("vm-1", "dispatch"));
        vms.push_back(makeVm("vm-2", "ordering"));
        for (Vm &vm : vms) {
            start(vm);
        }
        for (Vm &vm : vms) {
            REQUIRE(waitFor([&] { return get(vm.ready, "/v1/readyz") == 200; }));
            REQUIRE(beat(vm) == 200);
        }
    }

    Vm makeVm(const std::string &name, const std::string &service)
    {
        Vm vm;
        vm.name = name;
        vm.service = service;
        vm.backend = std::make_unique<StandInBackend>(loop, "i-" + name);
        const auto address = [this] {
            return "127.0.0.1:" + std::to_string(ports.next());
        };
        vm.caller = address();
        vm.peer = address();
        vm.ready = address();
        vm.control = address();
        vm.settingsFile = std::string(CAROBJUNCTION_BINARY_DIR) + "/platform-test-" + std::to_string(getpid()) + "-" + name + ".yaml";
        return vm;
    }

    void start(Vm &vm, const std::string &storeAddress = "")
    {
        std::ofstream file(vm.settingsFile);
        file << "daemon: " << vm.name << "\nregion: r\ndata-centre: a\nservice: " << vm.service << "\nbackend-address: " << vm.backend->address()
             << "\ncaller-address: " << vm.caller << "\npeer-address: " << vm.peer << "\nready-address: " << vm.ready << "\noperator-address: " << vm.control
             << "\nstore-address: " << (storeAddress.empty() ? store.address() : storeAddress) << "\nheartbeat-interval: 10s\ngrace-period: 4s\n";
        file.close();
        setenv("CAROBJUNCTION_NODE_FILE", vm.settingsFile.c_str(), 1);
        vm.daemon = bench::ChildProcess::start({ std::string(CAROBJUNCTION_BINARY_DIR) + "/platform/carobjunction-platformd" }, vm.settingsFile + ".log");
        REQUIRE(vm.daemon != nullptr);
    }

    bool waitFor(const std::function<bool()> &condition, Duration limit = 5s)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while (SteadyClock().now() < end) {
            if (condition()) {
                return true;
            }
            runFor(20ms);
        }
        return false;
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    /** Sends a request without waiting for its answer. */
    std::shared_ptr<std::optional<ExchangeResult>> begin(const std::string &address, HttpRequest request, CancellationPtr cancellation = nullptr)
    {
        const auto result = std::make_shared<std::optional<ExchangeResult>>();
        const auto pool = std::make_shared<HttpClientPool>(loop, toEndpoint(address).value(), PoolLimits {});
        const auto cancel = cancellation ? cancellation : std::make_shared<Cancellation>();
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + 8s;
        request.set(http::field::host, "h.example");
        request.prepare_payload();
        asio::co_spawn(
            loop, [result, pool, request, options, cancel]() -> Task<void> { *result = co_await pool->exchange(request, options, cancel); }, asio::detached);
        return result;
    }

    HttpResponse send(const std::string &address, const HttpRequest &request)
    {
        const auto result = begin(address, request);
        if (!waitFor([&] { return result->has_value(); }, 9s) || (*result)->end != ExchangeEnd::Answered) {
            return HttpResponse(static_cast<http::status>(0), 11);
        }
        return (*result)->response;
    }

    unsigned get(const std::string &address, const std::string &path)
    {
        return send(address, HttpRequest(http::verb::get, path, 11)).result_int();
    }

    HttpRequest request(http::verb method, const std::string &path)
    {
        HttpRequest message(method, path, 11);
        message.set("X-Attempt-Id", "a" + std::to_string(++lastRequest));
        message.set("X-Deadline-Ms", "3000");
        message.set("X-Caller-Service", "forged");
        return message;
    }

    HttpResponse call(http::verb method, const std::string &path)
    {
        return send(vms[0].caller, request(method, path));
    }

    unsigned beat(Vm &vm, const std::string &state = "ready")
    {
        HttpRequest message(http::verb::put, "/v1/instances/" + vm.backend->id, 11);
        message.body() = Json {
            { "address", vm.backend->address() },
            { "born", 1700000000000 },
            { "info", { { "service", vm.service }, { "version", "v1" }, { "zone", "a" }, { "slots", 9 } } },
            { "status", { { "state", state }, { "seq", ++vm.sequence }, { "cold_remaining_ms", 0 } } }
        }.dump();
        return send(vm.control, message).result_int();
    }

    bool servesLookups()
    {
        return waitFor([&] { return call(http::verb::get, "/look/1").result_int() == 200; });
    }

    asio::io_context loop { 1 };
    bench::FreePorts ports;
    StandInTableStore store { loop };
    std::vector<Vm> vms;
    int lastRequest = 0;
};

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.requestForAnotherVm.isAnsweredByItsBackendServer")
{
    REQUIRE(servesLookups());
    HttpRequest message = request(http::verb::post, "/order/7?x=1");
    message.body() = "three bags";
    const HttpResponse response = send(vms[0].caller, message);
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "answer of i-vm-2");
    CHECK(fieldText(response, "X-Response-Seal") == "seal-of-i-vm-2");
    const HttpRequest &ran = vms[1].backend->ran.back();
    CHECK(ran.target() == "/order/7?x=1");
    CHECK(ran.body() == "three bags");
    CHECK(fieldText(ran, "X-Caller-Service") == "dispatch");
    CHECK(fieldText(ran, "X-Expected-Instance") == "i-vm-2");
    const int left = std::stoi(fieldText(ran, "X-Deadline-Ms"));
    CHECK(left <= 2000);
    CHECK(left > 1000);
    CHECK_FALSE(hasField(ran, "Carob-Forward"));
    CHECK(call(http::verb::get, "/nowhere/").result_int() == 404);
    const HttpResponse figures = send(vms[0].control, HttpRequest(http::verb::get, "/metrics", 11));
    CHECK(figures.body().find("carobjunction_call_latency_seconds_count") != std::string::npos);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.acknowledgedDraining.getsNoMoreWork")
{
    // Guards against work for a leaving server, also when a delayed heartbeat still calls it ready.
    REQUIRE(servesLookups());
    REQUIRE(beat(vms[1], "draining") == 200);
    const size_t before = vms[1].backend->ran.size();
    beat(vms[1], "ready");
    for (int i = 0; i < 5; ++i) {
        CHECK(call(http::verb::get, "/look/1").result_int() == 503);
    }
    CHECK(vms[1].backend->ran.size() == before);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.leaveWithoutDraining.getsNoMoreWork")
{
    REQUIRE(servesLookups());
    REQUIRE(send(vms[1].control, HttpRequest(http::verb::delete_, "/v1/instances/i-vm-2", 11)).result_int() == 200);
    const size_t before = vms[1].backend->ran.size();
    CHECK(call(http::verb::post, "/order/1").result_int() == 503);
    CHECK(vms[1].backend->ran.size() == before);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.restartedDaemon.sendsNothingBeforeAHeartbeat")
{
    REQUIRE(servesLookups());
    vms[1].daemon->kill();
    start(vms[1]);
    REQUIRE(waitFor([&] { return get(vms[1].ready, "/v1/readyz") == 200; }));
    const size_t before = vms[1].backend->ran.size();
    CHECK(call(http::verb::get, "/look/1").result_int() == 503);
    CHECK(vms[1].backend->ran.size() == before);
    REQUIRE(beat(vms[1]) == 200);
    CHECK(servesLookups());
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.restartAfterALeave.keepsItsPromise")
{
    // Guards against a late heartbeat that makes a restarted daemon forget a leave which its former start acknowledged.
    REQUIRE(servesLookups());
    REQUIRE(send(vms[1].control, HttpRequest(http::verb::delete_, "/v1/instances/i-vm-2", 11)).result_int() == 200);
    vms[1].daemon->kill();
    start(vms[1]);
    REQUIRE(waitFor([&] { return get(vms[1].ready, "/v1/readyz") == 200; }));
    REQUIRE(beat(vms[1]) == 200);
    const size_t before = vms[1].backend->ran.size();
    for (int i = 0; i < 20; ++i) {
        CHECK(call(http::verb::get, "/look/1").result_int() == 503);
        runFor(20ms);
    }
    CHECK(vms[1].backend->ran.size() == before);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.callForAPartOfTheState.bringsNoMore")
{
    // Guards against routes that cross the link between regions once for each datagram with a changed record that was lost, and against
    // the records of 300 VMs that cross it once for each daemon that is behind after a change of the configuration.
    REQUIRE(servesLookups());
    const HttpResponse record = send(vms[1].peer, HttpRequest(http::verb::get, "/carobjunction/record", 11));
    REQUIRE(record.result_int() == 200);
    CHECK(Json::parse(record.body())["routes"] == "");
    CHECK(Json::parse(record.body())["vms"].size() == 1);
    const HttpResponse routes = send(vms[1].peer, HttpRequest(http::verb::get, "/carobjunction/routes", 11));
    REQUIRE(routes.result_int() == 200);
    CHECK(Json::parse(routes.body())["routes"].get<std::string>().find("/order/") != std::string::npos);
    CHECK(Json::parse(routes.body())["vms"].empty());
    const HttpResponse all = send(vms[1].peer, HttpRequest(http::verb::get, "/carobjunction/state", 11));
    CHECK(Json::parse(all.body())["routes"].get<std::string>().find("/order/") != std::string::npos);
    CHECK(Json::parse(all.body())["vms"].size() == 2);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.anotherServerAtTheAddress.provesThatNothingRan")
{
    REQUIRE(servesLookups());
    vms[1].backend->id = "i-other";
    const size_t before = vms[1].backend->ran.size();
    const HttpResponse response = call(http::verb::post, "/order/1");
    CHECK(response.result_int() == 503);
    CHECK(hasField(response, "Retry-After"));
    CHECK(vms[1].backend->ran.size() == before);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.newVersion.isInForceEverywhereAndNeverGoesBack")
{
    REQUIRE(servesLookups());
    const std::string newer = config(5, { route("/added/", "idempotent", "ordering") });
    store.put("op", "config", newer);
    CHECK(waitFor([&] { return call(http::verb::get, "/added/1").result_int() == 200; }, 1s));
    CHECK(send(vms[1].caller, request(http::verb::get, "/added/1")).result_int() == 200);
    CHECK(call(http::verb::get, "/look/1").result_int() == 404);
    store.put("op", "config", config(4, { route("/look/", "idempotent", "ordering") }));
    store.put("op", "config", "{\"version\":9");
    runFor(200ms);
    CHECK(call(http::verb::get, "/look/1").result_int() == 404);
    CHECK(call(http::verb::get, "/added/1").result_int() == 200);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.storeForgetsItsHistory.daemonsReadAgain")
{
    REQUIRE(servesLookups());
    store.put("op", "config", config(5, { route("/added/", "idempotent", "ordering") }));
    store.forgetHistory();
    CHECK(waitFor([&] { return call(http::verb::get, "/added/1").result_int() == 200; }, 2s));
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.storeDown.requestsGoOn")
{
    REQUIRE(servesLookups());
    store.isDown = true;
    runFor(300ms);
    CHECK(call(http::verb::get, "/look/1").result_int() == 200);
    CHECK(beat(vms[1], "draining") == 200);
    CHECK(call(http::verb::get, "/look/1").result_int() == 503);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.storeThatRefusesOneVm.isMadeUpForByAPeer")
{
    REQUIRE(servesLookups());
    vms[0].daemon->kill();
    start(vms[0], "127.0.0.1:1");
    CHECK(waitFor([&] { return get(vms[0].ready, "/v1/readyz") == 200; }, 6s));
    CHECK(servesLookups());
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.lostAnswersOfTheStore.recordsArriveAllTheSame")
{
    store.losesWrites = true;
    vms[1].daemon->kill();
    start(vms[1]);
    REQUIRE(waitFor([&] { return get(vms[1].ready, "/v1/readyz") == 200; }));
    REQUIRE(beat(vms[1]) == 200);
    CHECK(servesLookups());
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.callerLeaves.backendServerIsToldWithinHalfASecond")
{
    REQUIRE(servesLookups());
    vms[1].backend->hangs = true;
    const auto cancellation = std::make_shared<Cancellation>();
    const size_t before = vms[1].backend->ran.size();
    begin(vms[0].caller, request(http::verb::get, "/look/1"), cancellation);
    REQUIRE(waitFor([&] { return vms[1].backend->ran.size() > before; }));
    cancellation->request();
    CHECK(waitFor([&] { return vms[1].backend->cancelled == 1; }, 500ms));
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.silentServer.isAnsweredAtTheTimeoutOfTheRoute")
{
    store.put("op", "config", config(2, { route("/order/", "non_idempotent", "ordering", 500) }));
    REQUIRE(waitFor([&] { return call(http::verb::post, "/order/1").result_int() == 200; }));
    runFor(200ms);
    vms[1].backend->hangs = true;
    const TimePoint start = SteadyClock().now();
    CHECK(call(http::verb::post, "/order/1").result_int() == 504);
    CHECK(SteadyClock().now() - start < 1s);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.stopSignal.finishesWhatIsInProgress")
{
    // Guards against cut requests in a graceful stop.
    REQUIRE(servesLookups());
    vms[1].backend->work = 600ms;
    const auto result = begin(vms[0].caller, request(http::verb::post, "/order/1"));
    runFor(200ms);
    vms[0].daemon->terminate();
    vms[1].daemon->terminate();
    runFor(100ms);
    CHECK(get(vms[0].ready, "/v1/readyz") == 503);
    REQUIRE(waitFor([&] { return result->has_value(); }));
    CHECK((*result)->end == ExchangeEnd::Answered);
    CHECK((*result)->response.result_int() == 200);
    CHECK(waitFor([&] { return vms[0].daemon->waitForExit(1ms); }, 4s));
    CHECK(vms[0].daemon->status() == 0);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.endOfTheGracePeriod.answersWhatIsStillInProgress")
{
    // Guards against connections that close without an answer: nps-mesh trouble-2, seed 416634611453.
    store.put("op", "config", config(2, { route("/order/", "non_idempotent", "ordering", 9000) }));
    REQUIRE(waitFor([&] { return call(http::verb::post, "/order/1").result_int() == 200; }));
    vms[1].backend->hangs = true;
    HttpRequest message = request(http::verb::post, "/order/1");
    message.set("X-Deadline-Ms", "9000");
    const auto result = begin(vms[0].caller, message);
    runFor(200ms);
    vms[0].daemon->terminate();
    REQUIRE(waitFor([&] { return result->has_value(); }, 5s));
    CHECK((*result)->end == ExchangeEnd::Answered);
    CHECK((*result)->response.result_int() == 502);
    CHECK(waitFor([&] { return vms[0].daemon->waitForExit(1ms); }, 1s));
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.requestThatCrashesItsServer.isRefusedEverywhere")
{
    // Guards against one request that ends one backend server after the other.
    REQUIRE(servesLookups());
    for (int i = 0; i < 2; ++i) {
        vms[1].backend->crashingPath = "/look/poison";
        CHECK(call(http::verb::get, "/look/poison").result_int() >= 500);
        runFor(300ms);
        // The next process has another address, so its daemon is started with new settings.
        vms[1].daemon->kill();
        vms[1].backend = std::make_unique<StandInBackend>(loop, "i-vm-2-" + std::to_string(i));
        start(vms[1]);
        REQUIRE(waitFor([&] { return get(vms[1].ready, "/v1/readyz") == 200; }));
        REQUIRE(beat(vms[1]) == 200);
        REQUIRE(servesLookups());
    }
    const size_t before = vms[1].backend->ran.size();
    CHECK(call(http::verb::get, "/look/poison").result_int() == 503);
    CHECK(vms[1].backend->ran.size() == before);
    CHECK(call(http::verb::get, "/look/1").result_int() == 200);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.sheddingServer.isAProofThatNothingRan")
{
    REQUIRE(servesLookups());
    vms[1].backend->sheds = true;
    CHECK(call(http::verb::post, "/order/1").result_int() == 503);
}

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.settingsChangedWithoutASignal.areInForce")
{
    REQUIRE(servesLookups());
    vms[1].backend->hangs = true;
    begin(vms[0].caller, request(http::verb::get, "/look/1"));
    std::ifstream file(vms[0].settingsFile);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    text.replace(text.find("grace-period: 4s"), 16, "grace-period: 1s");
    std::ofstream(vms[0].settingsFile) << text;
    runFor(2300ms);
    begin(vms[0].caller, request(http::verb::get, "/look/1"));
    runFor(100ms);
    vms[0].daemon->terminate();
    CHECK(waitFor([&] { return vms[0].daemon->waitForExit(1ms); }, 1500ms));
}

TEST_CASE("PlatformDaemon.faultySettings.endTheStartWithEachFault")
{
    const std::string path = std::string(CAROBJUNCTION_BINARY_DIR) + "/platform-test-" + std::to_string(getpid()) + "-faulty.yaml";
    std::ofstream(path) << "daemon: vm-1\nretry-ratio: much\n";
    setenv("CAROBJUNCTION_NODE_FILE", path.c_str(), 1);
    const auto process = bench::ChildProcess::start({ std::string(CAROBJUNCTION_BINARY_DIR) + "/platform/carobjunction-platformd" }, path + ".log");
    REQUIRE(process != nullptr);
    REQUIRE(process->waitForExit(3s));
    CHECK(WEXITSTATUS(process->status()) == 2);
}
