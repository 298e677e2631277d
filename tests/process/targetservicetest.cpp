#include "process/targetservice.h"
#include "connection/httplistener.h"

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
        target.emplace(loop,
                       acceptor.local_endpoint(),
                       headers,
                       10s,
                       crashes,
                       work,
                       TargetHooks { [] {},
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
        target->recall(nullptr);
    }

    ForwardRequest request() const
    {
        ForwardRequest wanted;
        wanted.message = HttpRequest(http::verb::get, "/x", 11);
        wanted.requestId = "r1";
        wanted.service = "ordering";
        wanted.backend = "backend";
        wanted.aimAt = SteadyClock().now() + 10s;
        wanted.deadlineAt = SteadyClock().now() + 10s;
        return wanted;
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    asio::io_context loop { 1 };
    ServedHeaders headers { "Request-Id", "Time-Left", "Seal", "Expected", "Not-Executed", "Load", "Caller", "Backend" };
    CrashHistory crashes;
    WorkEstimates work;
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
            response.set("Load", isSlow ? "0,0,9,500" : "0,0,9,100");
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
        wanted.aimAt = SteadyClock().now() + 300ms;
        return wanted;
    }

    std::shared_ptr<HttpListener> backend;
    bool isSlow = false;
    bool tellsSlowness = true;
    int questions = 0;
    int startedSlow = 0;
};

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
