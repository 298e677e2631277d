#pragma once

#include "connection/httpclientpool.h"

#include <functional>
#include <memory>
#include <string>

namespace carobjunction
{

/**
 * Asks a backend server's health path for its load. Requests that need the answer at the same time share one question. Used on one
 * event loop; not thread-safe.
 */
class BackendProbe
{
public:
    /** Time within which the answer must come, since requests wait for it. */
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(40);
    /** Longest answer that is read. What it tells is in its head. */
    static constexpr uint64_t AnswerBytes = 16U << 10U;
    /** Time for which a backend server that gave no usable answer is not asked again. */
    static constexpr Duration FailurePause = std::chrono::seconds(1);

    /** Takes an answer. @return whether it told the load */
    using Reader = std::function<bool(const HttpResponse &)>;

    /** Says whether an answer can be that of a question, which has no id of a request. */
    using Filter = std::function<bool(const HttpResponse &)>;

    /** @param interval  shortest time between two questions */
    BackendProbe(asio::io_context &loop, const Tcp::endpoint &backend, Duration interval, Filter belongs, Reader reader);

    /** Asks, or waits for the answer to a question under way. Returns at once if it is too early for another question. */
    Task<void> refresh(std::string path);

    /** Closes the idle connections. */
    void closeIdle()
    {
        m_connections->closeIdle();
    }

private:
    asio::io_context &m_loop;
    /** No others use them: an answer to a question that is left in a connection names no request either. */
    std::shared_ptr<HttpClientPool> m_connections;
    Duration m_interval;
    Filter m_belongs;
    Reader m_reader;
    TimePoint m_notBefore;
    std::shared_ptr<asio::steady_timer> m_pending; /**< Cancelled when the question under way ends. */
};

} // namespace carobjunction
