#pragma once

#include "connection/httpclientpool.h"

#include <functional>
#include <memory>
#include <string>

namespace carobjunction
{

/**
 * Queries the health path of a backend server for its current load. Concurrent callers share one probe in progress. Not thread-safe; all
 * calls must be made on the event loop.
 */
class BackendProbe
{
public:
    /** Time limit of one probe. It is short because requests wait for the result. */
    static constexpr Duration ProbeTimeout = std::chrono::milliseconds(40);
    /** Largest response body that is read, in bytes. The load is reported in the response headers; the body is not needed. */
    static constexpr uint64_t MaxResponseBytes = 16U << 10U;
    /** Time until the next probe after a probe that failed or whose response did not report the load. */
    static constexpr Duration FailureBackoff = std::chrono::seconds(1);

    /** Processes a response. @return whether the response reported the load */
    using ResponseHandler = std::function<bool(const HttpResponse &)>;

    /** Returns whether a response can belong to a probe. Probes carry no request id, so responses can't be matched by it. */
    using ResponseFilter = std::function<bool(const HttpResponse &)>;

    /**
     * @param minInterval  minimum time between the starts of two probes
     * @param filter  selects the responses that can belong to a probe
     * @param handler  processes the response of each probe
     */
    BackendProbe(asio::io_context &loop, const Tcp::endpoint &backend, Duration minInterval, ResponseFilter filter, ResponseHandler handler);

    /**
     * Sends a probe, or waits for the one in progress. Returns immediately if @p path is empty or the minimum interval has not passed.
     * @param path  health path of the backend server
     */
    Task<void> refreshLoad(std::string path);

    /** Closes the idle connections to the backend server. */
    void closeIdle()
    {
        m_connections->closeIdle();
    }

private:
    asio::io_context &m_loop;
    /** Used for probes only: a late response to a probe carries no request id and could be taken for the response to a request. */
    std::shared_ptr<HttpClientPool> m_connections;
    Duration m_minInterval;
    ResponseFilter m_responseFilter;
    ResponseHandler m_handler;
    TimePoint m_earliestNextProbe;
    std::shared_ptr<asio::steady_timer> m_probeEnd; /**< Cancelled when the probe in progress ends; null if there is none. */
};

} // namespace carobjunction
