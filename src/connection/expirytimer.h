#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <functional>
#include <memory>

namespace carobjunction
{

/**
 * A timer that can be armed again and again. Once it is armed anew, disarmed or destroyed, an earlier expiry has no effect any more,
 * even if its handler waits in the loop's queue already: asio::steady_timer can't take such a handler back. Used on one event loop;
 * not thread-safe.
 */
class ExpiryTimer
{
public:
    explicit ExpiryTimer(asio::io_context &loop) : m_timer(loop)
    {
    }

    ~ExpiryTimer()
    {
        disarm();
    }

    ExpiryTimer(const ExpiryTimer &) = delete;
    ExpiryTimer &operator=(const ExpiryTimer &) = delete;

    /** @param onExpiry  called once at @p at, unless the timer is armed anew, disarmed or destroyed before */
    void arm(TimePoint expiresAt, std::function<void()> onExpiry)
    {
        m_callback = std::make_shared<Callback>(std::move(onExpiry));
        m_timer.expires_at(expiresAt);
        m_timer.async_wait([this, armedCallback = std::weak_ptr(m_callback)](ErrorCode error) {
            if (!error && !armedCallback.expired()) {
                postExpiry(armedCallback);
            }
        });
    }

    void disarm()
    {
        m_callback.reset();
        m_timer.cancel();
    }

private:
    using Callback = std::function<void()>;

    /** Operations that were completed before the expiry and wait in the loop's queue come first; they may disarm the timer. */
    void postExpiry(const std::weak_ptr<Callback> &armedCallback)
    {
        asio::post(m_timer.get_executor(), [armedCallback] {
            if (const auto callback = armedCallback.lock()) {
                (*callback)();
            }
        });
    }

    asio::steady_timer m_timer;
    std::shared_ptr<Callback> m_callback; /**< Empty while disarmed. */
};

} // namespace carobjunction
