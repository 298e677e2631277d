#include "connection/detachedtask.h"

#include "connection/datagramport.h"

#include <catch2/catch.hpp>

#include <new>
#include <stdexcept>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** Increments @p starts, and throws an exception in each of the first @p failures runs. */
Task<void> failFirstRuns(asio::io_context &loop, int &starts, int failures)
{
    asio::steady_timer timer(loop, 1ms);
    co_await timer.async_wait(asio::use_awaitable);
    if (++starts <= failures) {
        if (starts % 2 == 0) {
            throw std::bad_alloc();
        }
        throw std::out_of_range("malformed entry");
    }
}

Task<void> throwInteger()
{
    throw 5;
    co_return;
}

} // namespace

TEST_CASE("DetachedTask.taskThatThrows.doesNotEndTheLoop")
{
    // Guards against an exception that escapes the event loop, and against an end callback that is not called, so that the
    // component that spawned the task never starts its next one.
    asio::io_context loop(1);
    int starts = 0;
    int ends = 0;
    spawnDetached(loop, "failing", failFirstRuns(loop, starts, 1), [&] { ++ends; });
    spawnDetached(loop, "another-type", throwInteger(), [&] { ++ends; });
    spawnDetached(loop, "sound", failFirstRuns(loop, starts, 0));
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 2);
    CHECK(ends == 2);
}

TEST_CASE("DetachedTask.endlessTaskThatThrows.isRestartedAfterADelay")
{
    // Guards against a daemon that stops polling the store permanently after an exception.
    asio::io_context loop(1);
    int starts = 0;
    const TimePoint begin = SteadyClock().now();
    spawnSupervised(
        loop, "failing", [&] { return failFirstRuns(loop, starts, 3); }, 30ms);
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 4);
    CHECK(SteadyClock().now() - begin >= 90ms);
}

TEST_CASE("DetachedTask.taskThatThrowsBeforeItsFirstWait.isRestarted")
{
    asio::io_context loop(1);
    int starts = 0;
    const auto start = [&]() -> Task<void> {
        if (++starts < 3) {
            throw std::length_error("malformed entry");
        }
        return failFirstRuns(loop, starts, 0);
    };
    spawnSupervised(loop, "failing", start, 1ms);
    CHECK_NOTHROW(loop.run());
    CHECK(starts == 4);
}

TEST_CASE("DetachedTask.destroyedLoop.doesNotCallTheEndCallback")
{
    // Guards against an end callback that accesses the component that spawned the task after that component was destroyed.
    int ends = 0;
    {
        asio::io_context loop(1);
        int starts = 0;
        spawnDetached(loop, "waiting", failFirstRuns(loop, starts, 0), [&] { ++ends; });
        loop.poll();
    }
    CHECK(ends == 0);
}

TEST_CASE("DatagramPort.receiverThatThrows.nextDatagramIsReceived")
{
    // Guards against one malformed datagram that terminates the process.
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
                throw std::out_of_range("malformed datagram");
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
