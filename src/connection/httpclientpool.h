#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"
#include "connection/bodybudget.h"
#include "request/cancellation.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace carobjunction
{

/** How an HTTP exchange ended. */
enum class ExchangeEnd {
    Answered, /**< A complete answer arrived. */
    NotSent, /**< No connection could be opened, so nothing was sent. */
    Lost, /**< The request may have arrived; no complete answer came. */
    Unproven, /**< As Lost, because the answer may be that of an earlier request. */
    TooLarge, /**< As Lost, because the answer was over its limit or found no room. */
    TimedOut, /**< As Lost, at the deadline. */
    Cancelled, /**< As Lost, because the caller left. */
};

/** Result of an HTTP exchange. */
struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::NotSent;
    HttpResponse response;
    std::string detail; /**< Last error of the connection. */
};

/** Bounds of one exchange. */
struct ExchangeOptions {
    TimePoint deadline;
    Duration connectTimeout = std::chrono::seconds(1);
    uint64_t bodyLimit = 64U << 20U;
    /** Says whether an answer belongs to the request. Answers that don't are skipped. Empty: all do. */
    std::function<bool(const HttpResponse &)> belongs;
    /**
     * Says whether an answer that belongs to the request also names it. One that doesn't counts only as the first answer of its
     * connection: later it may be that of an earlier request, written once more, so the exchange ends as Unproven. Empty: all do.
     */
    std::function<bool(const HttpResponse &)> isNamed;
    bool onNewConnection = false; /**< For requests whose answers can't name them. */
    /** Id of the request. A connection on which a refusal of it was read doesn't carry it again. Empty: it has none. */
    std::string requestId;
    /** Says whether an answer refuses the request, which may then be sent again under its id. Empty: none does. */
    std::function<bool(const HttpResponse &)> isRefusal;
};

/** Bounds of the connections of a pool. */
struct PoolLimits {
    size_t idleConnections = 32;
    Duration idleTimeout = std::chrono::seconds(8); /**< Shorter than that of the server, which may close at the same moment. */
    std::shared_ptr<BodyBudget> bodies = nullptr; /**< Room for the bodies of answers. Null: without a bound over all of them. */
    int receiveBuffer = 0; /**< Bytes that the kernel may hold unread for a connection; 0: as the kernel sees fit. */
};

/**
 * Connections to one HTTP server, kept open between exchanges. Used on one event loop; not thread-safe.
 *
 * A connection is used again only after a complete answer that nothing followed. A server may still write an earlier answer once more
 * where the next one is due: see ExchangeOptions::belongs, ExchangeOptions::isNamed and ExchangeOptions::requestId.
 */
class HttpClientPool : public std::enable_shared_from_this<HttpClientPool>
{
public:
    HttpClientPool(asio::io_context &loop, Tcp::endpoint server, const PoolLimits &limits);

    /** Sends a request and waits for its answer. @p cancellation ends the exchange and closes its connection. */
    Task<ExchangeResult> exchange(HttpRequest request, ExchangeOptions options, CancellationPtr cancellation);

    /** Closes the idle connections. */
    void closeIdle();

    const Tcp::endpoint &server() const
    {
        return m_server;
    }

    uint64_t connectionsOpened() const
    {
        return m_connectionsOpened;
    }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr acquireIdle(const std::string &requestId);
    Task<ConnectionPtr> connect(const ExchangeOptions &options, CancellationPtr cancellation, std::string &detail);
    Task<ErrorCode>
    sendAndReceive(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, const ExchangeOptions &options, HttpResponse &response);
    static Task<void> sendRequest(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, std::shared_ptr<bool> isSent);
    Task<ErrorCode> receiveResponse(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, HttpResponse &response);
    void returnToPool(const ConnectionPtr &connection, const HttpResponse &response);

    asio::io_context &m_loop;
    Tcp::endpoint m_server;
    PoolLimits m_limits;
    std::list<ConnectionPtr> m_idleConnections;
    uint64_t m_connectionsOpened = 0;
};

} // namespace carobjunction
