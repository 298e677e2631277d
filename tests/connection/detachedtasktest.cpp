#include "connection/detachedtask.h"

#include "connection/datagramport.h"

#include <catch2/catch.hpp>

#include <new>
#include <stdexcept>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** Ends by an exception at each start but the last one. */
Task<void> failing(asio::io_context &loop, int &starts, int failures)
{
    asio::steady_timer timer(loop, 1ms);
    co_await timer.async_wait(asio::use_awaitable);
    if (++starts <= failures) {
        if (starts % 2 == 0) {
            throw std::bad_alloc();
        }
        throw std::out_of_range("odd entry");
    }
}

Task<void> throwingAnotherType()
{
    throw 5;
    co_return;
}

} // namespace

TEST_CASE("DetachedTask.taskThatThrows.endsAlone")
{
    // Guards against an exception that leaves the event loop, and a flag that keeps the next task from its start.
    asio::io_context loop(1);
    int starts = 0;
    int ends = 0;
    spawnDetached(loop, "failing", failing(loop, starts, 1), [&] { ++ends; });
    spawnDetached(loop, "another-type", throwingAnotherType(), [&] { ++ends; });
    spawnDetached(loop, "sound", failing(loop, starts, 0));
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 2);
    CHECK(ends == 2);
}

TEST_CASE("DetachedTask.endlessTaskThatThrows.isStartedAgainAfterAPause")
{
    // Guards against a daemon that stops following the store for good.
    asio::io_context loop(1);
    int starts = 0;
    const TimePoint begin = SteadyClock().now();
    spawnSupervised(
        loop, "failing", [&] { return failing(loop, starts, 3); }, 30ms);
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 4);
    CHECK(SteadyClock().now() - begin >= 90ms);
}

TEST_CASE("DetachedTask.taskThatThrowsBeforeItsFirstWait.isStartedAgain")
{
    asio::io_context loop(1);
    int starts = 0;
    const auto start = [&]() -> Task<void> {
        if (++starts < 3) {
            throw std::length_error("odd entry");
        }
        return failing(loop, starts, 0);
    };
    spawnSupervised(loop, "failing", start, 1ms);
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 4);
}

TEST_CASE("DetachedTask.endOfTheLoop.callsNothing")
{
    // Guards against a task that refers to its owner after the owner's end.
    int ends = 0;
    {
        asio::io_context loop(1);
        int starts = 0;
        spawnDetached(loop, "waiting", failing(loop, starts, 0), [&] { ++ends; });
        loop.poll();
    }
    CHECK(ends == 0);
}

TEST_CASE("DatagramPort.receiverThatThrows.nextDatagramIsReceived")
{
    // Guards against the end of the process by one odd datagram.
    asio::io_context loop(1);
    Udp::socket sender(loop, Udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Udp::socket probe(loop, Udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Udp::endpoint address = probe.local_endpoint();
    probe.close();
    ErrorCode error;
    int received = 0;
    const auto port = DatagramPort::open(
        loop,
        address,
        [&received](std::string_view) {
            if (++received == 1) {
                throw std::out_of_range("odd datagram");
            }
        },
        error);
    REQUIRE(port != nullptr);
    for (int i = 0; i < 2; ++i) {
        sender.send_to(asio::buffer("x", 1), address);
    }
    CHECK_NOTHROW(loop.run_for(200ms));
    CHECK_NOTHROW(loop.run_for(200ms));
    CHECK(received == 2);
}
