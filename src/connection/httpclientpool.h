#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/reason.h>

#include "connection/asio.h"
#include "connection/bodybudget.h"
#include "request/cancellation.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace carobjunction
{

class IncomingBodyReservation;
class ResponseParser;
enum class StreamEnd;

/** Outcome of an HTTP exchange. */
enum class ExchangeEnd {
    Answered, /**< A complete response was received. */
    NotSent, /**< No connection could be opened, so nothing was sent. */
    ResponseLost, /**< No complete response was received; the request may have been delivered. */
    Unverified, /**< Like ResponseLost, but the response does not identify its request and may belong to an earlier request. */
    TooLarge, /**< Like ResponseLost, but the response exceeded a size limit or the body budget. */
    Malformed, /**< Like ResponseLost, but the bytes received are not a well-formed response. */
    TimedOut, /**< Like ResponseLost, but the deadline passed. */
    Cancelled, /**< Like ResponseLost, but the exchange was cancelled, because the caller closed its connection. */
};

/** @return the reason for the unknown outcome of a request whose exchange ended without an answer, after a part of the request may have been sent */
Reason reasonForEnd(ExchangeEnd end);

/** Result of an HTTP exchange. */
struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::NotSent;
    HttpResponse response;
    std::optional<http::response_header<>> oversizedHead; /**< Header of a response that is TooLarge; empty if the header did not arrive whole. */
    bool isConnectionRefused = false; /**< Whether nothing was sent because the server refused the connection, so that it does not run. */
    std::string detail; /**< Description of the last error of the connection; empty if there was none. */
};

/** Options and limits of one exchange. */
struct ExchangeOptions {
    TimePoint deadline;
    Duration connectTimeout = std::chrono::seconds(1);
    uint64_t maxBodyBytes = 64U << 20U;
    /** Returns whether a response belongs to the request. Other responses are skipped. If empty, all responses belong. */
    std::function<bool(const HttpResponse &)> matchesRequest;
    /**
     * Returns whether a response carries the id of its request. A response without the id is accepted only as the first response on its
     * connection. A later response may be a duplicate of the response to an earlier request, so the exchange ends as Unverified. If empty, all
     * responses are accepted.
     */
    std::function<bool(const HttpResponse &)> identifiesRequest;
    /** Whether a connection may be reused after a response that `identifiesRequest` does not accept, or if that is empty. */
    bool keepsUnidentified = true;
    bool requiresNewConnection = false; /**< For requests whose responses cannot identify them. */
    /** Id of the request; may be empty. A connection that has received a refusal of this id is not used for it again. */
    std::string requestId;
    std::function<void()> onProgress; /**< Called when the header of a response has been received, and for each part of its body; may be empty. */
    /** Returns whether a response refuses the request, so that it may be sent again with the same id. If empty, no response does. */
    std::function<bool(const HttpResponse &)> isRefusal;
};

/** Limits on the connections of a pool. */
struct PoolLimits {
    size_t maxIdleConnections = 32;
    /** Must be shorter than the idle timeout of the server, which could otherwise close a connection just as it is reused. */
    Duration idleTimeout = std::chrono::seconds(8);
    std::shared_ptr<BodyBudget> sharedBodyBudget = nullptr; /**< Budget for response bodies. Null for no limit on their total size. */
    int receiveBufferBytes = 0; /**< Size of the receive buffer of a socket, in bytes; 0 for the default of the kernel. */
};

/**
 * Pool of keep-alive connections to one HTTP server. Used on one event loop; not thread-safe.
 *
 * A connection is reused only after a complete response with no bytes behind it. A faulty server may still send a duplicate of an earlier
 * response in place of the next one; the callbacks and the request id in ExchangeOptions detect this.
 */
class HttpClientPool : public std::enable_shared_from_this<HttpClientPool>
{
public:
    HttpClientPool(asio::io_context &loop, Tcp::endpoint server, const PoolLimits &limits);

    /** Sends a request and waits for its response. A request of @p cancellation ends the exchange and closes its connection. */
    Task<ExchangeResult> exchange(HttpRequest request, ExchangeOptions options, CancellationPtr cancellation);

    /** Closes the idle connections. */
    void closeIdle();

    const Tcp::endpoint &server() const
    {
        return m_server;
    }

    uint64_t openedConnectionCount() const
    {
        return m_connectionsOpened;
    }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr acquireIdle(const std::string &requestId);
    Task<ConnectionPtr> connect(const ExchangeOptions &options, CancellationPtr cancellation, ExchangeResult &result);
    Task<ErrorCode>
    sendAndReceive(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, const ExchangeOptions &options, ExchangeResult &result);
    static Task<void> sendRequest(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request);
    Task<ErrorCode> receiveResponse(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, ExchangeResult &result);
    static Task<ErrorCode> receiveBytes(ConnectionPtr connection);
    Task<StreamEnd> streamEnd(ConnectionPtr connection);
    Task<ErrorCode>
    readResponse(ConnectionPtr connection, ResponseParser &parser, IncomingBodyReservation &bodyReservation, const std::function<void()> &onProgress);
    void logDiscardedResponse(const std::string &requestId, const ExchangeResult &result) const;
    void returnToPool(const ConnectionPtr &connection, const HttpResponse &response);

    asio::io_context &m_loop;
    Tcp::endpoint m_server;
    PoolLimits m_limits;
    std::list<ConnectionPtr> m_idleConnections;
    uint64_t m_connectionsOpened = 0;
};

} // namespace carobjunction
