#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

namespace carobjunction
{

/** Suspends a task for a duration. Nothing ends it earlier. */
inline Task<void> sleepFor(asio::io_context &loop, Duration time)
{
    asio::steady_timer timer(loop, time);
    ErrorCode ignored; // nothing cancels this timer
    co_await timer.async_wait(redirectError(ignored));
}

} // namespace carobjunction
