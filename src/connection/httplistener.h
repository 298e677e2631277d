#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"
#include "connection/bodybudget.h"
#include "connection/undeliveredcause.h"
#include "request/cancellation.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace carobjunction
{

/** Limits on the clients of a listener. */
struct ListenerLimits {
    uint64_t headerBytes = 64U << 10U;
    uint64_t bodyBytes = 64U << 20U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(20);
    size_t connections = 2000;
    std::shared_ptr<BodyBudget> sharedBodyBudget = nullptr; /**< Budget for request bodies. Null for no limit on their total size. */
    uint64_t bodyCopies = 1; /**< Number of copies of a body that the handler holds in memory. */
};

/** A response, or empty to close the connection without one. */
using MaybeResponse = std::optional<HttpResponse>;

/**
 * Handles one request. The cancellation is requested if the client disconnects. If the handler throws, the client receives status 502, because
 * the request may have run.
 */
using RequestHandler = std::function<Task<MaybeResponse>(HttpRequest, CancellationPtr)>;

/** A RequestHandler that also receives the address of the client. */
using ClientRequestHandler = std::function<Task<MaybeResponse>(HttpRequest, Tcp::endpoint client, CancellationPtr)>;

/**
 * Accepts HTTP/1.1 connections on one port and dispatches their requests to a handler, one request at a time per connection.
 * Used on one event loop; not thread-safe.
 */
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    /**
     * Opens the port.
     * @param limits  called each time the limits are applied
     * @return the listener, or null if the port cannot be opened; @p error is then set
     */
    static std::shared_ptr<HttpListener>
    open(asio::io_context &loop, const Tcp::endpoint &address, RequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error);

    static std::shared_ptr<HttpListener>
    open(asio::io_context &loop, const Tcp::endpoint &address, ClientRequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error);

    /** @param complete  completes the error responses of the listener to requests that were not dispatched to the handler */
    void setRejectionCallback(std::function<void(HttpResponse &)> complete)
    {
        m_completeRejection = std::move(complete);
    }

    /**
     * @param report  called once for each dispatched request whose response was not delivered completely. The response is null if the handler
     *                returned none
     */
    void setUndeliveredCallback(std::function<void(const HttpResponse *, UndeliveredCause)> report)
    {
        m_reportUndelivered = std::move(report);
    }

    /** @param refuse  creates the response to a request whose body exceeds the body budget; the request is not dispatched to the handler */
    void setBodyBudgetRejection(std::function<HttpResponse(const http::fields &head)> refuse)
    {
        m_rejectForBodyBudget = std::move(refuse);
    }

    /** Closes each connection after its next response, which carries "Connection: close". */
    void disableKeepAlive()
    {
        m_isKeepAliveDisabled = true;
    }

    /** Cancels all dispatched requests; the handler still responds to them. For use when the process stops. */
    void cancelRequests();

    /**
     * Closes the port and the idle connections. Requests that have been received completely or partly are still served; their responses carry
     * "Connection: close".
     */
    void close();

    /** Closes all connections, without waiting for pending responses, and cancels their requests. */
    void dropConnections();

    /** @return number of complete requests that have been dispatched and whose responses are not complete */
    size_t activeRequests() const
    {
        return m_activeRequests;
    }

    /** @return number of requests of which at least one byte has been received, even if only by the kernel, and whose responses are not complete */
    size_t pendingRequests() const;

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    class Session;

    HttpListener(asio::io_context &loop, ClientRequestHandler handler, std::function<ListenerLimits()> limits);
    Task<void> accept();
    void acceptPending();
    void serve(Tcp::socket socket);
    void tryServe(Tcp::socket socket);

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    ClientRequestHandler m_handler;
    std::function<void(HttpResponse &)> m_completeRejection;
    std::function<void(const HttpResponse *, UndeliveredCause)> m_reportUndelivered;
    std::function<HttpResponse(const http::fields &)> m_rejectForBodyBudget;
    std::function<ListenerLimits()> m_limits;
    std::set<std::shared_ptr<Session>> m_sessions;
    size_t m_activeRequests = 0;
    bool m_isKeepAliveDisabled = false;
};

} // namespace carobjunction
