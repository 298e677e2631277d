#include "process/targetservice.h"

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
                                     [this](const CrashReport &) {
                                         ++reportedCrashes;
                                     } });
        Heartbeat beat;
        beat.id = "backend";
        beat.service = "ordering";
        beat.slots = 9;
        beat.sequence = 1;
        target->onHeartbeat(beat);
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
