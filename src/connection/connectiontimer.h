#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <functional>

namespace carobjunction
{

/** Ends a connection at a point in time, unless it is destroyed before. */
class ConnectionTimer
{
public:
    ConnectionTimer(asio::io_context &loop, TimePoint at, std::function<void()> onExpiry) : m_timer(loop, at)
    {
        m_timer.async_wait([callback = std::move(onExpiry)](ErrorCode error) {
            if (!error) {
                callback();
            }
        });
    }

private:
    asio::steady_timer m_timer;
};

} // namespace carobjunction
