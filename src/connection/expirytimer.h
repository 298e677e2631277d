#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <functional>
#include <memory>

namespace carobjunction
{

/**
 * Reusable timer that guarantees that a cancelled expiry has no effect. Re-arming, disarming or destroying it also suppresses a handler that
 * is already queued in the event loop, which asio::steady_timer cannot cancel. Used on one event loop; not thread-safe.
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

    /**
     * Arms the timer and cancels an earlier expiry.
     * @param onExpiry  called once at @p expiresAt, unless the timer is re-armed, disarmed or destroyed first
     */
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

    /** Posts the callback behind the handlers that are already queued in the event loop, because these may disarm the timer. */
    void postExpiry(const std::weak_ptr<Callback> &armedCallback)
    {
        asio::post(m_timer.get_executor(), [armedCallback] {
            if (const auto callback = armedCallback.lock()) {
                (*callback)();
            }
        });
    }

    asio::steady_timer m_timer;
    std::shared_ptr<Callback> m_callback; /**< Null while disarmed. */
};

} // namespace carobjunction
