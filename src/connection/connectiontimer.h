#pragma once

#include "connection/expirytimer.h"

namespace carobjunction
{

/** Ends a connection at a point in time, unless it is destroyed before, also in the turn of the loop in which the time has come. */
class ConnectionTimer
{
public:
    ConnectionTimer(asio::io_context &loop, TimePoint expiresAt, std::function<void()> onExpiry) : m_timer(loop)
    {
        m_timer.arm(expiresAt, std::move(onExpiry));
    }

private:
    ExpiryTimer m_timer;
};

} // namespace carobjunction
