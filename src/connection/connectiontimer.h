#pragma once

#include "connection/expirytimer.h"

namespace carobjunction
{

/**
 * Closes a connection at a point in time by calling @p onExpiry, unless the timer is destroyed first. Destruction also suppresses an expiry
 * that is already queued in the event loop.
 */
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
