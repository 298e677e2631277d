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
        announceBackend(acceptor.local_endpoint());
    }

    /** Starts the service anew beside a backend server that has told of itself. */
    void announceBackend(const Tcp::endpoint &address)
    {
        target.emplace(loop,
                       address,
                       headers,
                       10s,
                       crashes,
                       work,
                       TargetCallbacks { [] {},
                                         [this](const CrashReport &) { ++reportedCrashes; },
                                         [this](const std::string &) {
                                             return healthPath;
                                         } });
        Heartbeat beat;
        beat.id = "backend";
        beat.service = "ordering";
        beat.slots = 9;
        beat.sequence = 1;
        target->onHeartbeat(beat);
        target->restoreRecord(nullptr);
    }

    ForwardRequest request() const
    {
        ForwardRequest wanted;
        wanted.message = HttpRequest(http::verb::get, "/x", 11);
        wanted.requestId = "r1";
        wanted.service = "ordering";
        wanted.backend = "backend";
        wanted.softDeadlineAt = SteadyClock().now() + 10s;
        wanted.deadlineAt = SteadyClock().now() + 10s;
        return wanted;
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
    int reportedCrashes = 0;
    std::string healthPath;
};

TEST_CASE_METHOD(TargetServiceFixture, "TargetService.lostAnswerOfAServerThatTakesNoConnection.isReportedInBoundedTime")
{
    // Guards against a slot and an answer that are held by the look for a crash while the backend server's accept queue is full.
    std::optional<ForwardResult> result;
    asio::co_spawn(
        loop, [&]() -> Task<void> { result = co_await target->run(request(), std::make_shared<Cancellation>()); }, asio::detached);
    Tcp::socket accepted(loop);
    acceptor.async_accept(accepted, [](ErrorCode) {});
    runFor(100ms);
    std::array<Tcp::socket, 4> fillers { Tcp::socket(loop), Tcp::socket(loop), Tcp::socket(loop), Tcp::socket(loop) };
    for (Tcp::socket &filler : fillers) {
        filler.async_connect(acceptor.local_endpoint(), [](ErrorCode) {});
    }
    runFor(100ms);
    accepted.close();
    runFor(1s);
    REQUIRE(result.has_value());
    CHECK(result->outcome == Outcome::Unknown);
    CHECK(reportedCrashes == 0);
    CHECK(target->report().running == 0);
}

/** The backend server answers and tells how slow its VM is. */
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
        if (tellsSlowness) {
            response.set("Load", !oddLoad.empty() ? oddLoad : isSlow ? "0,0,9,500" : "0,0,9,100");
        }
        if (message.target() == "/health") {
            ++questions;
            co_return response;
        }
        startedSlow += isSlow ? 1 : 0;
        response.set("Request-Id", "r1");
        response.set("Seal", "seal");
        co_return response;
    }

    std::shared_ptr<std::optional<ForwardResult>> begin(ForwardRequest wanted)
    {
        const auto result = std::make_shared<std::optional<ForwardResult>>();
        asio::co_spawn(
            loop, [this, result, wanted]() -> Task<void> { *result = co_await target->run(wanted, std::make_shared<Cancellation>()); }, asio::detached);
        return result;
    }

    ForwardRequest urgentRequest() const
    {
        ForwardRequest wanted = request();
        wanted.work = 100ms;
        wanted.softDeadlineAt = SteadyClock().now() + 300ms;
        return wanted;
    }

    std::shared_ptr<HttpListener> backend;
    bool isSlow = false;
    bool tellsSlowness = true;
    int questions = 0;
    int startedSlow = 0;
    std::string oddLoad; /**< Told instead, if not empty. */
};

TEST_CASE_METHOD(SlowVmFixture, "TargetService.oddSlowness.isBounded")
{
    // Guards against a load report that the peers can't read, and with it the results that carry it.
    oddLoad = "0,0,9,4294967295";
    begin(request());
    runFor(100ms);
    CHECK(target->report().slowdownFactor <= 1000);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.requestThatCantBeEncoded.givesItsSlotBack")
{
    // Guards against slots that an exception takes for good. Boost.Beast refuses to write a TRACE request with a body.
    ForwardRequest wanted = request();
    wanted.message.method(http::verb::trace);
    wanted.message.body() = "body";
    begin(wanted);
    runFor(100ms);
    CHECK(target->report().running == 0);
    const auto result = begin(request());
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::Ran);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.slowVm.refusesWhatCanGoElsewhere")
{
    // Guards against work that starts in a slow spell: it takes several times as long, to its end.
    isSlow = true;
    const auto result = begin(urgentRequest());
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::NotRun);
    CHECK((*result)->reason == Reason::HostSlow);
    CHECK(startedSlow == 0);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.slowSpellEnds.startsWhatWaits")
{
    // Guards against requests that wait until the next answer or tick after the spell has ended.
    isSlow = true;
    ForwardRequest wanted = urgentRequest();
    wanted.mayQueue = true;
    const auto result = begin(wanted);
    runFor(60ms);
    CHECK_FALSE(result->has_value());
    isSlow = false;
    runFor(100ms);
    REQUIRE(result->has_value());
    CHECK((*result)->outcome == Outcome::Ran);
    CHECK(startedSlow == 0);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.simultaneousRequests.shareOneQuestion")
{
    // Guards against probes that grow with the load.
    std::vector<std::shared_ptr<std::optional<ForwardResult>>> results;
    for (int i = 0; i < 5; ++i) {
        results.push_back(begin(urgentRequest()));
    }
    runFor(100ms);
    for (const auto &result : results) {
        REQUIRE(result->has_value());
        CHECK((*result)->outcome == Outcome::Ran);
    }
    CHECK(questions == 1);
}

TEST_CASE_METHOD(SlowVmFixture, "TargetService.serverThatTellsNoSlowness.isNotAskedAgain")
{
    // Guards against requests that wait for an answer which never tells anything.
    tellsSlowness = false;
    for (int i = 0; i < 3; ++i) {
        const auto result = begin(urgentRequest());
        runFor(50ms);
        REQUIRE(result->has_value());
        CHECK((*result)->outcome == Outcome::Ran);
    }
    CHECK(questions == 1);
}

/** The backend server writes earlier answers once more. Answers are those of "r1" unless an id is given; an empty id is left out. */
struct RepeatingBackendFixture : TargetServiceFixture {
    static std::string answer(const std::string &status, const std::string &id, const std::string &fields, const std::string &body = "")
    {
        return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n") + fields + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    static std::string refusal(const std::string &id)
    {
        return answer("503 Service Unavailable", id, "Not-Executed: 1\r\n");
    }

    static std::string misdirected(const std::string &id)
    {
        return answer("421 Misdirected Request", id, "Not-Executed: 1\r\n");
    }

    static std::string success(const std::string &id)
    {
        return answer("200 OK", id, "Seal: seal\r\n", "of " + id);
    }

    /** Answers each request with the bytes that @p bytesFor returns. */
    void serve(std::function<std::string(const std::string &id, RawAnswerServer::Place)> bytesFor)
    {
        backend.emplace(loop, [bytesFor](Tcp::socket &socket, HttpRequest message, RawAnswerServer::Place place) {
            return RawAnswerServer::write(socket, bytesFor(fieldValue(message, "Request-Id"), place));
        });
        announceBackend(backend->address());
    }

    ForwardResult run(const std::string &id)
    {
        ForwardRequest wanted = request();
        wanted.requestId = id;
        wanted.deadlineAt = SteadyClock().now() + 1s;
        if (!id.empty()) {
            wanted.message.set("Request-Id", id);
        }
        std::optional<ForwardResult> result;
        asio::co_spawn(
            loop, [&]() -> Task<void> { result = co_await target->run(wanted, std::make_shared<Cancellation>()); }, asio::detached);
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        REQUIRE(result.has_value());
        return *result;
    }

    std::optional<RawAnswerServer> backend;
};

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedRefusalWithItsId.isSkipped")
{
    // Guards against a request that runs and is told to be refused, since the refusal of the request before is written once more.
    serve([](const std::string &id, RawAnswerServer::Place place) { return place.request == 1 ? refusal(id) : refusal("r1") + success(id); });
    CHECK(run("r1").outcome == Outcome::NotRun);
    const ForwardResult second = run("r2");
    CHECK(second.outcome == Outcome::Ran);
    CHECK(second.response.body() == "of r2");
    CHECK(backend->connections == 1);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedRefusalWithoutId.provesNothing")
{
    // Guards against "not run" for a request that runs: a refusal without id on a kept connection may be an earlier one.
    serve([](const std::string &id, RawAnswerServer::Place place) { return place.request == 1 ? success(id) : refusal("") + success(id); });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
    // The answer of "r2" is still in the first connection.
    CHECK(run("r3").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.failureWithoutId.isNotPassedOnFromAKeptConnection")
{
    // Guards against the failure of another request that a caller gets as its own answer.
    serve([](const std::string &id, RawAnswerServer::Place place) {
        return place.request == 1 ? success(id) : answer("500 Internal Server Error", "", "", "of another request") + success(id);
    });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.firstAnswerOfAConnection.countsWithoutId")
{
    // Guards against refusals that count as runs: nothing else can be the first answer of a connection.
    serve([](const std::string &, RawAnswerServer::Place) { return refusal(""); });
    const ForwardResult first = run("r1");
    CHECK(first.outcome == Outcome::NotRun);
    CHECK(first.reason == Reason::Shed);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.answerWithoutIdAfterAForeignOne.provesNothing")
{
    // Guards against a refusal that counts as the first answer of its connection although an answer of another request came before.
    serve([](const std::string &, RawAnswerServer::Place) { return refusal("r0") + refusal(""); });
    CHECK(run("r1").outcome == Outcome::Unknown);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.requestWithoutId.isSentOnANewConnection")
{
    // Guards against "may have run" for requests without an id, which backend servers refuse without an id.
    serve([](const std::string &id, RawAnswerServer::Place) { return id.empty() ? answer("400 Bad Request", "", "Not-Executed: 1\r\n") : success(id); });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("").outcome == Outcome::NotRun);
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.repeatedMisdirectedAnswer.leavesTheGateOpen")
{
    // Guards against a sound backend server that gets no work any more, because an answer of an earlier request names another one.
    serve([](const std::string &id, RawAnswerServer::Place place) { return place.request == 1 ? success(id) : misdirected("") + success(id); });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Unknown);
    CHECK(run("r3").outcome == Outcome::Ran);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.misdirectedAnswerOfAnotherRequest.isSkipped")
{
    serve([](const std::string &id, RawAnswerServer::Place place) { return place.request == 1 ? success(id) : misdirected("r1") + success(id); });
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 1);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.refusalWrittenTwice.endsTheConnection")
{
    serve([](const std::string &id, RawAnswerServer::Place place) { return place.connection == 1 ? refusal(id) + refusal(id) : success(id); });
    CHECK(run("r1").outcome == Outcome::NotRun);
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.sameIdAgain.isSentOnAnotherConnection")
{
    // Guards against the refusal of the first dispatch of a request that is written once more and read as that of the second one.
    serve([](const std::string &id, RawAnswerServer::Place place) {
        return place.connection == 1 && place.request == 1 ? refusal(id) : (place.request == 1 ? "" : refusal("r1")) + success(id);
    });
    CHECK(run("r1").outcome == Outcome::NotRun);
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
    // The connection of the refusal still serves other requests.
    CHECK(run("r2").outcome == Outcome::Ran);
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.manyRefusalsOnAConnection.endItInsteadOfGrowing")
{
    // Guards against memory that grows with the refusals of a connection, and against ids that are forgotten while it is in use.
    constexpr int RememberedIds = 256;
    serve([](const std::string &id, RawAnswerServer::Place) { return refusal(id); });
    for (int i = 0; i < RememberedIds; ++i) {
        CHECK(run("r" + std::to_string(i)).outcome == Outcome::NotRun);
    }
    CHECK(backend->connections == 1);
    run("next");
    run("last");
    CHECK(backend->connections == 2);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.refusalRepeatedToTheProbe.isNotThatOfTheNextRequest")
{
    // Guards against a probe that takes a late extra answer for its own, and so leaves the refusal of the probe to a request that runs.
    healthPath = "/health";
    int refused = 0;
    backend.emplace(loop, [&](Tcp::socket &socket, HttpRequest message, RawAnswerServer::Place) -> Task<void> {
        const std::string refusedProbe = answer("503 Service Unavailable", "", "Not-Executed: 1\r\nLoad: 0,0,9,100\r\n");
        const std::string id = fieldValue(message, "Request-Id");
        std::string bytes = refusedProbe;
        if (message.target() != "/health") {
            bytes = ++refused == 1 ? refusal(id) : success(id);
        } else if (refused == 1) {
            co_await RawAnswerServer::write(socket, refusedProbe);
            asio::steady_timer pause(loop, 10ms); // the connection seems free in this time
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_await RawAnswerServer::write(socket, bytes);
    });
    announceBackend(backend->address());
    CHECK(run("r1").outcome == Outcome::NotRun);
    runFor(30ms);
    CHECK(run("r2").outcome == Outcome::Ran);
}

TEST_CASE_METHOD(RepeatingBackendFixture, "TargetService.requestAnswerRepeatedToTheProbe.isNotReadAsLoad")
{
    // Guards against work that is withheld because of the load in an answer of a request, which the probe did not ask for.
    healthPath = "/health";
    backend.emplace(loop, [&](Tcp::socket &socket, HttpRequest message, RawAnswerServer::Place) {
        const std::string health = answer("200 OK", "", "Load: 0,0,9,100\r\n", "healthy");
        const std::string slow = answer("200 OK", "r0", "Seal: seal\r\nLoad: 0,0,9,500\r\n");
        return RawAnswerServer::write(socket, message.target() == "/health" ? slow + health : success(fieldValue(message, "Request-Id")));
    });
    announceBackend(backend->address());
    CHECK(run("r1").outcome == Outcome::Ran);
    CHECK(target->report().slowdownFactor < 2);
}
