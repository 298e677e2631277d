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

/** Bounds on what a client may send to a listener. */
struct ListenerLimits {
    uint64_t headerBytes = 64U << 10U;
    uint64_t bodyBytes = 64U << 20U;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(20);
    size_t connections = 2000;
    std::shared_ptr<BodyBudget> bodies = nullptr; /**< Room for the bodies of requests. Null: without a bound over all of them. */
    uint64_t bodyCopies = 1; /**< Times that the handler holds a body. */
};

/** An answer, or empty to close the connection without one. */
using MaybeResponse = std::optional<HttpResponse>;

/**
 * Answers one request. The cancellation tells when the client has left. If it throws, the client is answered 502, since the request may
 * have run.
 */
using RequestHandler = std::function<Task<MaybeResponse>(HttpRequest, CancellationPtr)>;

/** The same, for handlers that treat clients by their address. */
using ClientRequestHandler = std::function<Task<MaybeResponse>(HttpRequest, Tcp::endpoint client, CancellationPtr)>;

/**
 * Accepts HTTP/1.1 connections on one port and hands their requests to a handler, one at a time on a connection.
 * Used on one event loop; not thread-safe.
 */
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    /**
     * Opens the port.
     * @param limits  asked for each request
     * @return the listener, or null if the port can't be opened; @p error then says why
     */
    static std::shared_ptr<HttpListener>
    open(asio::io_context &loop, const Tcp::endpoint &address, RequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error);

    static std::shared_ptr<HttpListener>
    open(asio::io_context &loop, const Tcp::endpoint &address, ClientRequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error);

    /** @param complete  adds to the listener's own answers to messages that were not handed to the handler */
    void setRejectionHook(std::function<void(HttpResponse &)> complete)
    {
        m_completeRejection = std::move(complete);
    }

    /**
     * @param report  called once for each request that was handed to the handler and whose answer did not reach the caller whole. The
     *                answer is null if the handler gave none
     */
    void setUndeliveredHook(std::function<void(const HttpResponse *, UndeliveredCause)> report)
    {
        m_reportUndelivered = std::move(report);
    }

    /** @param refuse  gives the answer to a request for whose body there is no room. The handler doesn't get the request */
    void setRoomRefusal(std::function<HttpResponse(const http::fields &head)> refuse)
    {
        m_rejectForBodyBudget = std::move(refuse);
    }

    /** Answers from now on tell clients that their connection is closed after them. */
    void announceClose()
    {
        m_isKeepAliveDisabled = true;
    }

    /** Ends the work on all requests; they are answered with what is known. For the end of the process. */
    void abortRequests();

    /**
     * Closes the port and the connections that have no byte of a request. Requests that have arrived, in whole or in part, are answered;
     * the answers tell clients that their connection is closed after them.
     */
    void close();

    /** Closes all connections, answered or not. */
    void dropConnections();

    /** @return requests that are being answered */
    size_t activeRequests() const
    {
        return m_activeRequests;
    }

    /** @return requests that have begun to arrive and are not answered yet, also where only the kernel has their bytes */
    size_t openRequests() const;

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
