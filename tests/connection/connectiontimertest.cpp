#include "connection/connectiontimer.h"

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** A loop that is held up until timers set for it have expired. */
struct ConnectionTimerFixture {
    /** Calls @p action in the turn in which timers of up to 20 ms expire, before or after their handlers. */
    void actInTheTurnOfTheExpiry(Duration after, std::function<void()> action)
    {
        asio::steady_timer turn(loop, after);
        turn.async_wait([&](ErrorCode) { action(); });
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

TEST_CASE_METHOD(ConnectionTimerFixture, "ConnectionTimer.destroyedWhenItsHandlerWaits.callsNothing")
{
    // Guards against a timer of an exchange that has ended: it closes a connection that is back in the pool or carries the next request.
    std::optional<ConnectionTimer> timer(std::in_place, loop, SteadyClock().now() + 20ms, [this] { ++expiries; });
    actInTheTurnOfTheExpiry(10ms, [&] { timer.reset(); });
    CHECK(expiries == 0);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ConnectionTimer.destroyedByACompletionThatWaitedAtItsExpiry.callsNothing")
{
    // Guards against an answer that has been read, but loses to the timer because its handler comes later in the same turn.
    std::optional<ConnectionTimer> timer(std::in_place, loop, SteadyClock().now() + 20ms, [this] { ++expiries; });
    actInTheTurnOfTheExpiry(30ms, [&] { timer.reset(); });
    CHECK(expiries == 0);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ExpiryTimer.armedAnewWhenItsHandlerWaits.callsTheNewCallbackOnly")
{
    // Guards against an expiry that was taken back and acts on what the timer guards now.
    ExpiryTimer timer(loop);
    int later = 0;
    timer.arm(SteadyClock().now() + 20ms, [this] { ++expiries; });
    actInTheTurnOfTheExpiry(10ms, [&] { timer.arm(SteadyClock().now() + 20ms, [&] { ++later; }); });
    CHECK(expiries == 0);
    CHECK(later == 1);
}

TEST_CASE_METHOD(ConnectionTimerFixture, "ExpiryTimer.disarmedAndArmedAgain.callsTheNewCallbackOnly")
{
    // Guards against a timer that stays silent after it was disarmed.
    ExpiryTimer timer(loop);
    int later = 0;
    timer.arm(SteadyClock().now() + 20ms, [this] { ++expiries; });
    actInTheTurnOfTheExpiry(30ms, [&] {
        timer.disarm();
        timer.arm(SteadyClock().now() + 20ms, [&] { ++later; });
    });
    CHECK(expiries == 0);
    CHECK(later == 1);
}
