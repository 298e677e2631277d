#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace carobjunction
{

/** Notifies the operations of one request that its caller has disconnected. Used on one event loop; not thread-safe. */
class Cancellation
{
public:
    /** Keeps a callback registered while it exists (RAII). */
    class Registration
    {
    public:
        Registration(Cancellation &cancellation, std::function<void()> callback) : m_cancellation(cancellation), m_id(cancellation.add(std::move(callback)))
        {
        }
        ~Registration()
        {
            m_cancellation.m_callbacks.erase(m_id);
        }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        Cancellation &m_cancellation;
        int m_id;
    };

    /**
     * Requests cancellation and calls the registered callbacks in the order of their registration. Only the first call has an effect.
     * Callbacks that are registered or unregistered during the call are not called.
     */
    void request()
    {
        if (m_isRequested) {
            return;
        }
        m_isRequested = true;
        const int last = m_lastId; // callbacks registered by other callbacks have higher ids and are not called
        auto next = m_callbacks.begin();
        while (next != m_callbacks.end() && next->first <= last) {
            const int id = next->first;
            const auto callback = next->second; // copied, since the call may end its registration
            callback();
            next = m_callbacks.upper_bound(id);
        }
    }

    bool isRequested() const
    {
        return m_isRequested;
    }

private:
    int add(std::function<void()> callback)
    {
        m_callbacks.emplace(++m_lastId, std::move(callback));
        return m_lastId;
    }

    bool m_isRequested = false;
    int m_lastId = 0;
    std::map<int, std::function<void()>> m_callbacks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace carobjunction
