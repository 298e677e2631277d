#include "process/targetservice.h"
#include "connection/httplistener.h"
#include "connection/messagefields.h"
#include "connection/rawanswerserver.h"

#include <catch2/catch.hpp>

#include <array>

using namespace carobjunction;
using namespace std::chrono_literals;

struct TargetServiceFixture {
    TargetServiceFixture()
    {
        acceptor.open(Tcp::v4());
        acceptor.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        acceptor.listen(0);
        createService(acceptor.local_endpoint());
    }

    /** Creates a new TargetService for the backend server at @p address, whose first heartbeat it has received. */
    void createService(const Tcp::endpoint &address, Duration heartbeatTimeout = 10s)
    {
        target.emplace(loop,
                       address,
                       "ordering",
                       headers,
                       heartbeatTimeout,
                       crashes,
                       work,
                       TargetCallbacks { [] {},
                                         [this](const CrashReport &) { ++reportedCrashCount; },
                                         [](uint64_t) {},
                                         [this](const std::string &) {
                                             return healthPath;
                                         } });
        Heartbeat heartbeat;
        heartbeat.id = "backend";
        heartbeat.service = "ordering";
        heartbeat.slots = 9;
        heartbeat.sequence = 1;
        target->onHeartbeat(heartbeat);
        target->restoreRecord(nullptr);
    }

    ForwardRequest request() const
    {
        ForwardRequest forwardRequest;
        forwardRequest.message = HttpRequest(http::verb::get, "/x", 11);
        forwardRequest.requestId = "r1";
        forwardRequest.service = "ordering";
        forwardRequest.backend = "backend";
        forwardRequest.softDeadlineAt = SteadyClock().now() + 10s;
        forwardRequest.deadlineAt = SteadyClock().now() + 10s;
        return forwardRequest;
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    asio::io_context loop { 1 };
    PlatformHeaders headers { "Request-Id", "Time-Left", "Seal", "Expected", "Not-Executed", "Load", "Caller", "Backend" };
    CrashHistory crashes;
    RouteServiceTimes work;
    Tcp::acceptor acceptor { loop };
    std::optional<TargetService> target;
    int reportedCrashCount = 0;
    std::string healthPath;
};

TEST_CASE_METHOD(TargetServiceFixture, "TargetService.lostAnswerOfAServerThatTakesNoConnection.isReportedInBoundedTime")
{
    // Guards against a crash check that delays the answer and the release of the slot indefinitely because the accept queue of the backend
    // server is full.
    std::optional<ForwardResult> result;
    asio::co_spawn(
        loop, [&]() -> Task<void> { result = co_await target->run(request(), std::make_shared<Cancellation>()); }, asio::detached);
    Tcp::socket accepted(loop);
    acceptor.async_accept(accepted, [](ErrorCode) {});
    runFor(100ms);
    std::array<Tcp::socket, 4> queuedSockets { Tcp::socket(loop), Tcp::socket(loop), Tcp::socket(loop), Tcp::socket(loop) };
    for (Tcp::socket &queuedSocket : queuedSockets) {
        queuedSocket.async_connect(acceptor.local_endpoint(), [](ErrorCode) {});
    }
    runFor(100ms);
    accepted.close();
    runFor(1s);
    REQUIRE(result.has_value());
    CHECK(result->outcome == Outcome::Unknown);
    CHECK(reportedCrashCount == 0);
    CHECK(target->report().running == 0);
}

/** Backend server that reports the slowdown of its VM in the load field of its answers. */
struct SlowVmFixture : TargetServiceFixture {
    SlowVmFixture()
    {
        acceptor.close();
        ErrorCode error;
        backend = HttpListener::open(
            loop,
            target->backendAddress(),
            [this](HttpRequest message, CancellationPtr) { return answer(std::move(message)); },
            [] { return ListenerLimits {}; },
            error);
        REQUIRE(backend != nullptr);
        healthPath = "/health";
    }

    Task<MaybeResponse> answer(HttpRequest message)
    {
        HttpResponse response(http::status::ok, 11);
        if (reportsSlowdown) {
            response.set("Load", !loadFieldOverride.empty() ? loadFieldOverride : isSlow ? "0,0,9,500" : "0,0,9,100");
        }
        if (message.target() == "/health") {
            ++probeCount;
            co_return response;
        }
        startedWhileSlowCount += isSlow ? 1 : 0;
        response.set("Request-Id", "r1");
        response.set("Seal", "seal");
        co_return response;
    }

    std::shared_ptr<std::optional<ForwardResult>> startRequest(ForwardRequest forwardRequest)
    {
        const auto result = std::make_shared<std::optional<ForwardResult>>();
        asio::co_spawn(
            loop,
            [this, result, forwardRequest]() -> Task<void> { *result = co_await target->run(forwardRequest, std::make_shared<Cancellation>()); },
            asio::detached);
        return result;
    }

    ForwardRequest urgentRequest() const
    {
        ForwardRequest forwardRequest = request();
        forwardRequest.work = 100ms;
        forwardRequest.softDeadlineAt = SteadyClock().now() + 300ms;
        return forwardRequest;
    }

    std::shared_ptr<HttpListener> backend;
    bool isSlow = false;
    bool reportsSlowdown = true;
    int probeCount = 0;
    int startedWhileSlowCount = 0;
    std::string loadFieldOverride; /**< Value of the load field; if empty, the field is derived from `isSlow`. */
};

TEST_CASE_METHOD(SlowVmFixture, "TargetService.oddSlowness.isBounded")
{
    // Guards against a slowdown so large that peers can't decode the load report or the results that contain it.
    loadFieldOverride = "0,0,9,4294967295";
    startRequest(request());
    runFor(100ms);
    CHECK(target->report().slowdownFactor <= 1000);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.requestThatCantBeEncoded.givesItsSlotBack")
{
    // Guards against slots that are never released after an exception. Boost.Beast throws an exception for a TRACE request with a body.
    ForwardRequest forwardRequest = request();
    forwardRequest.message.method(http::verb::trace);
    forwardRequest.message.body() = "body";
    startRequest(forwardRequest);
    runFor(100ms);
    CHECK(target->report().running == 0);
    const auto result = startRequest(request());
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::Ran);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.slowVm.refusesWhatCanGoElsewhere")
{
    // Guards against requests that start during a temporary slowdown of the VM: they remain several times slower until they complete.
    isSlow = true;
    const auto result = startRequest(urgentRequest());
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::NotRun);
    CHECK((*result)->reason == Reason::HostSlow);
    CHECK(startedWhileSlowCount == 0);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.slowSpellEnds.startsWhatWaits")
{
    // Guards against requests that, after the end of the slowdown, wait until the next answer or timer tick.
    isSlow = true;
    ForwardRequest forwardRequest = urgentRequest();
    forwardRequest.mayQueue = true;
    const auto result = startRequest(forwardRequest);
    runFor(60ms);
    CHECK_FALSE(result->has_value());
    isSlow = false;
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::Ran);
    CHECK(startedWhileSlowCount == 0);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.simultaneousRequests.shareOneProbe")
{
    // Guards against a number of probes that increases with the load.
    std::vector<std::shared_ptr<std::optional<ForwardResult>>> results;
    for (int i = 0; i < 5; ++i) {
        results.push_back(startRequest(urgentRequest()));
    }
    runFor(100ms);
    for (const auto &result : results) {
        REQUIRE(result->has_value());
        CHECK((*result)->outcome == Outcome::Ran);
    }
    CHECK(probeCount == 1);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.serverThatReportsNoSlowdown.isNotProbedAgain")
{
    // Guards against requests that wait for probes of a backend server that never reports a slowdown.
    reportsSlowdown = false;
    for (int i = 0; i < 3; ++i) {
        const auto result = startRequest(urgentRequest());
        runFor(50ms);
        REQUIRE(result->has_value());
        CHECK((*result)->outcome == Outcome::Ran);
    }
    CHECK(probeCount == 1);
}

/** Backend server that repeats earlier answers. An answer has the request id that is passed to its function, and none if that is empty. */
struct RepeatingBackendFixture : TargetServiceFixture {
    static std::string answer(const std::string &status, const std::string &id, const std::string &fields, const std::string &body = "")
    {
        return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n") + fields + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    static std::string refusalAnswer(const std::string &id)
    {
        return answer("503 Service Unavailable", id, "Not-Executed: 1\r\n");
    }

    static std::string misdirectedAnswer(const std::string &id)
    {
        return answer("421 Misdirected Request", id, "Not-Executed: 1\r\n");
    }

    static std::string successAnswer(const std::string &id)
    {
        return answer("200 OK", id, "Seal: seal\r\n", "of " + id);
    }

    /** Answers each request with the bytes that @p makeBytes returns. */
    void serve(std::function<std::string(const std::string &id, RawAnswerServer::RequestPosition)> makeBytes)
    {
        backend.emplace(loop, [makeBytes](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition place) {
            return RawAnswerServer::write(socket, makeBytes(fieldValue(message, "Request-Id"), place));
        });
        createService(backend->address());
    }

    ForwardResult run(const std::string &id)
    {
        ForwardRequest forwardRequest = request();
        forwardRequest.requestId = id;
        forwardRequest.deadlineAt = SteadyClock().now() + 1s;
        if (!id.empty()) {
            forwardRequest.message.set("Request-Id", id);
        }
        std::optional<ForwardResult> result;
        asio::co_spawn(
            loop, [&]() -> Task<void> { result = co_await target->run(forwardRequest, std::make_shared<Cancellation>()); }, asio::detached);
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        REQUIRE(result.has_value());
        return *result;
    }

    std::optional<RawAnswerServer> backend;
};

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedRefusalWithItsId.isSkipped")
{
    // Guards against a request that runs but is reported as refused because the backend server repeats the refusal of the previous request.
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.request == 1 ? refusalAnswer(id) : refusalAnswer("r1") + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::NotRun);
    const ForwardResult second = run("r2");
    CHECK(second.outcome == Outcome::Ran);
    CHECK(second.response.body() == "of r2");
    CHECK(backend->connections == 1);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedRefusalWithoutId.provesNothing")
{
    // Guards against the outcome "not run" for a request that runs: on a reused connection, a refusal without an id may belong to an earlier
    // request.
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.request == 1 ? successAnswer(id) : refusalAnswer("") + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
    // The first connection can't be reused, because it still contains the answer to "r2".
    CHECK(run("r3").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.failureWithoutId.isNotPassedOnFromAKeptConnection")
{
    // Guards against a caller that receives the failure of another request as the answer to its own.
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.request == 1 ? successAnswer(id) : answer("500 Internal Server Error", "", "", "of another request") + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.firstAnswerOfAConnection.countsWithoutId")
{
    // Guards against refusals that are not classified as "not run": the first answer on a connection can only belong to its first request.
    serve([](const std::string &, RawAnswerServer::RequestPosition) { return refusalAnswer(""); });
    const ForwardResult first = run("r1");
    CHECK(first.outcome == Outcome::NotRun);
    CHECK(first.reason == Reason::Shed);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.answerWithoutIdAfterAForeignOne.provesNothing")
{
    // Guards against a refusal that is treated as the first answer on its connection although an answer to another request preceded it.
    serve([](const std::string &, RawAnswerServer::RequestPosition) { return refusalAnswer("r0") + refusalAnswer(""); });
    CHECK(run("r1").outcome == Outcome::Unknown);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.requestWithoutId.isSentOnANewConnection")
{
    // Guards against an unknown outcome of requests without an id, whose refusals by the backend server have no id either.
    serve([](const std::string &id, RawAnswerServer::RequestPosition) {
        return id.empty() ? answer("400 Bad Request", "", "Not-Executed: 1\r\n") : successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("").outcome == Outcome::NotRun);
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedMisdirectedAnswer.leavesTheGateOpen")
{
    // Guards against a healthy backend server that receives no more requests because an answer without an id, which may belong to an earlier
    // request, reports a different backend server at its address.
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.request == 1 ? successAnswer(id) : misdirectedAnswer("") + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
    CHECK(run("r3").outcome == Outcome::Ran);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.misdirectedAnswerOfAnotherRequest.isSkipped")
{
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.request == 1 ? successAnswer(id) : misdirectedAnswer("r1") + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 1);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.refusalWrittenTwice.endsTheConnection")
{
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.connection == 1 ? refusalAnswer(id) + refusalAnswer(id) : successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::NotRun);
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.sameIdAgain.isSentOnAnotherConnection")
{
    // Guards against reading a duplicate refusal, which belongs to the first dispatch of a request, as the answer to its second dispatch.
    serve([](const std::string &id, RawAnswerServer::RequestPosition place) {
        return place.connection == 1 && place.request == 1 ? refusalAnswer(id) : (place.request == 1 ? "" : refusalAnswer("r1")) + successAnswer(id);
    });
    CHECK(run("r1").outcome == Outcome::NotRun);
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
    // The connection on which the backend server refused "r1" is still used for other requests.
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.manyRefusalsOnAConnection.endItInsteadOfGrowing")
{
    // Guards against memory use that grows with the number of refusals on a connection, and against discarding ids of refused requests while
    // the connection is in use.
    constexpr int MaxRefusedRequestIds = 256;
    serve([](const std::string &id, RawAnswerServer::RequestPosition) { return refusalAnswer(id); });
    for (int i = 0; i < MaxRefusedRequestIds; ++i) {
        CHECK(run("r" + std::to_string(i)).outcome == Outcome::NotRun);
    }
    CHECK(backend->connections == 1);
    run("next");
    run("last");
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.refusalRepeatedToTheProbe.isNotThatOfTheNextRequest")
{
    // Guards against a probe that reads a delayed extra answer as its own, so that the refusal of the probe is read as the answer to a request
    // that runs.
    healthPath = "/health";
    int refusedCount = 0;
    backend.emplace(loop, [&](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition) -> Task<void> {
        const std::string refusedProbe = answer("503 Service Unavailable", "", "Not-Executed: 1\r\nLoad: 0,0,9,100\r\n");
        const std::string id = fieldValue(message, "Request-Id");
        std::string bytes = refusedProbe;
        if (message.target() != "/health") {
            bytes = ++refusedCount == 1 ? refusalAnswer(id) : successAnswer(id);
        } else if (refusedCount == 1) {
            co_await RawAnswerServer::write(socket, refusedProbe);
            asio::steady_timer pause(loop, 10ms); // the connection appears idle during this time
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_await RawAnswerServer::write(socket, bytes);
    });
    createService(backend->address());
    CHECK(run("r1").outcome == Outcome::NotRun);
    runFor(30ms);
    CHECK(run("r2").outcome == Outcome::Ran);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.requestAnswerRepeatedToTheProbe.isNotReadAsLoad")
{
    // Guards against requests that are withheld because the probe reads a duplicate answer to an earlier request as its own and applies the
    // load that it reports.
    healthPath = "/health";
    backend.emplace(loop, [&](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition) {
        const std::string health = answer("200 OK", "", "Load: 0,0,9,100\r\n", "healthy");
        const std::string slow = answer("200 OK", "r0", "Seal: seal\r\nLoad: 0,0,9,500\r\n");
        return RawAnswerServer::write(socket, message.target() == "/health" ? slow + health : successAnswer(fieldValue(message, "Request-Id")));
    });
    createService(backend->address());
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(target->report().slowdownFactor < 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.encodedAnswer.isDiscardedWithItsCause")
{
    // Guards against an answer that is reported as unsealed although its body was rejected for its encoding.
    serve([](const std::string &id, RawAnswerServer::RequestPosition) { return answer("200 OK", id, "Seal: seal\r\nContent-Encoding: gzip\r\n", "x"); });
    const ForwardResult result = run("r1");
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.detail == "answer with a content encoding");
}

/** Backend server that answers a request late, and whose heartbeats have stopped. */
struct SilentBackendFixture : RepeatingBackendFixture {
    SilentBackendFixture()
    {
        backend.emplace(loop, [this](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition) -> Task<void> {
            ++runCount;
            asio::steady_timer timer(loop, 400ms);
            ErrorCode ignored; // nothing cancels the timer
            co_await timer.async_wait(redirectError(ignored));
            co_await RawAnswerServer::write(socket, successAnswer(fieldValue(message, "Request-Id")));
        });
        createService(backend->address(), 100ms);
    }

    int runCount = 0;
};

TEST_CASE_METHOD(SilentBackendFixture, "TargetService.heartbeatsStopDuringARequest.requestIsNeitherAbandonedNorRunAgain")
{
    // Guards against running work that is given up or started again because its backend server is slow to report.
    ForwardRequest forwardRequest = request();
    forwardRequest.message.set("Request-Id", forwardRequest.requestId);
    std::optional<ForwardResult> result;
    asio::co_spawn(
        loop, [&]() -> Task<void> { result = co_await target->run(forwardRequest, std::make_shared<Cancellation>()); }, asio::detached);
    for (int i = 0; i < 15; ++i) {
        runFor(20ms);
        target->checkTimeouts();
    }
    CHECK(target->record().state == BackendState::Gone);
    runFor(300ms);
    REQUIRE(result.has_value());
    CHECK(result->outcome == Outcome::Ran);
    CHECK(result->response.body() == "of r1");
    CHECK(runCount == 1);
}

TEST_CASE_METHOD(SilentBackendFixture, "TargetService.heartbeatsStopped.newRequestIsRefusedAsNotRun")
{
    runFor(120ms);
    target->checkTimeouts();
    CHECK(run("r2").reason == Reason::TargetDown);
    CHECK(runCount == 0);
}
