#include "connection/connectiontimer.h"

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** Event loop that can be blocked, so that several timers expire in the same iteration. */
struct ConnectionTimerFixture {
    /**
     * Blocks the event loop for 50 ms, so that timers of up to 20 ms expire in one iteration, and calls @p action in that iteration.
     * @param after  expiry of the timer that calls @p action; handlers run in the order of their expiries
     */
    void runInIterationOfExpiry(Duration after, std::function<void()> action)
    {
        asio::steady_timer actionTimer(loop, after);
        actionTimer.async_wait([&](ErrorCode) { action(); });
        asio::post(loop, [] { std::this_thread::sleep_for(50ms); });
        loop.run_for(200ms);
    }

    asio::io_context loop { 1 };
    int expiries = 0;
};

} // namespace

TEST_CASE_METHOD(ConnectionTimerFixture, "ConnectionTimer.expiry.isCalledOnce")
{
    const ConnectionTimer timer(loop, SteadyClock().now() + 20ms, [this] { ++expiries; });
    loop.run_for(100ms);
    CHECK(expiries == 1);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ConnectionTimer.destroyedWhileItsHandlerIsQueued.callsNothing")
{
    // Guards against the timer of a completed exchange that closes a connection which has returned to the pool or carries the next request.
    std::optional<ConnectionTimer> timer(std::in_place, loop, SteadyClock().now() + 20ms, [this] { ++expiries; });
    runInIterationOfExpiry(10ms, [&] { timer.reset(); });
    CHECK(expiries == 0);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ConnectionTimer.destroyedByACompletionQueuedAtItsExpiry.callsNothing")
{
    // Guards against a response that has been read, but is discarded because its handler runs after the handler of the timer in the same iteration.
    std::optional<ConnectionTimer> timer(std::in_place, loop, SteadyClock().now() + 20ms, [this] { ++expiries; });
    runInIterationOfExpiry(30ms, [&] { timer.reset(); });
    CHECK(expiries == 0);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ExpiryTimer.rearmedWhileItsHandlerIsQueued.callsTheNewCallbackOnly")
{
    // Guards against a cancelled expiry that invokes its callback after the timer was re-armed for another operation.
    ExpiryTimer timer(loop);
    int rearmedExpiries = 0;
    timer.arm(SteadyClock().now() + 20ms, [this] { ++expiries; });
    runInIterationOfExpiry(10ms, [&] { timer.arm(SteadyClock().now() + 20ms, [&] { ++rearmedExpiries; }); });
    CHECK(expiries == 0);
    CHECK(rearmedExpiries == 1);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ExpiryTimer.disarmedAndArmedAgain.callsTheNewCallbackOnly")
{
    // Guards against a timer that never expires again after it was disarmed.
    ExpiryTimer timer(loop);
    int rearmedExpiries = 0;
    timer.arm(SteadyClock().now() + 20ms, [this] { ++expiries; });
    runInIterationOfExpiry(30ms, [&] {
        timer.disarm();
        timer.arm(SteadyClock().now() + 20ms, [&] { ++rearmedExpiries; });
    });
    CHECK(expiries == 0);
    CHECK(rearmedExpiries == 1);
}
