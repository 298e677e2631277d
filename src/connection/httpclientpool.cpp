#include "connection/httpclientpool.h"

#include <carobjunction/process/durations.h>

#include "connection/connectiontimer.h"
#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/incomingbodyreservation.h"
#include "connection/responseparser.h"
#include "connection/socketoptions.h"
#include "process/eventlog.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <unordered_set>

namespace carobjunction
{

namespace
{

// Longer request bodies are sent while the response is received, because the server may respond before it has read them.
constexpr size_t MaxSequentialBodyBytes = 16U << 10U;
constexpr uint32_t MaxHeaderBytes = 64U << 10U;
constexpr size_t MaxUnparsedBytes = size_t { 2 } * MaxHeaderBytes; // includes chunk headers and trailers
constexpr size_t MaxReadBytes = 64U << 10U;
constexpr int MaxInterimResponses = 8; // 1xx responses that are skipped before the final response
constexpr int MaxUnmatchedResponses = 4; // responses to other requests that are skipped in one exchange
constexpr size_t MaxRefusedRequestHashes = 256; // stored per connection, 8 bytes each; a connection with more is closed
constexpr double KeepAliveFraction = 0.7; // fraction of the keep-alive timeout of the server after which an idle connection is not reused

/** @return whether a response is interim (1xx), so that another one follows. Excludes 101, because the client never requests an upgrade. */
bool isInterim(const http::response<http::string_body> &response)
{
    // Compares the numeric status, because Beast does not define the newer 1xx codes.
    return http::to_status_class(response.result_int()) == http::status_class::informational && response.result() != http::status::switching_protocols;
}

/** @return whether an exchange failed because its response exceeded a size limit or the body budget */
bool exceedsResponseLimit(const ErrorCode &error)
{
    return error == bodyBudgetExhausted() || error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow;
}

ExchangeEnd endAfterError(const ErrorCode &error)
{
    if (isResponseDefect(error)) {
        return ExchangeEnd::Malformed;
    }
    return exceedsResponseLimit(error) ? ExchangeEnd::TooLarge : ExchangeEnd::ResponseLost;
}

} // namespace

Reason reasonForEnd(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::TimedOut:
        return Reason::DeadlineExceeded;
    case ExchangeEnd::Cancelled:
        return Reason::Cancelled;
    case ExchangeEnd::TooLarge:
        return Reason::AnswerTooLarge;
    case ExchangeEnd::Malformed:
        return Reason::AnswerMalformed;
    default:
        return Reason::AnswerLost;
    }
}

struct HttpClientPool::Connection {
    explicit Connection(asio::io_context &loop) : socket(loop)
    {
    }

    void close()
    {
        ErrorCode ignored; // the connection is discarded in any case
        socket.close(ignored);
    }

    /**
     * @return whether this connection has received a refusal of the request, so that a duplicate of it could be taken for a new response.
     *         False positives, from hash collisions, are rare
     */
    bool hasReceivedRefusal(const std::string &requestId) const
    {
        return refusedRequestHashes.count(std::hash<std::string>()(requestId)) > 0;
    }

    Tcp::socket socket;
    beast::flat_buffer buffer { MaxUnparsedBytes };
    std::unordered_set<size_t> refusedRequestHashes; /**< Hashes of the ids of requests whose refusals were received on this connection. */
    TimePoint idleDeadline;
    bool isRequestSent = false; /**< Whether the latest request was sent completely. */
    ErrorCode sendError; /**< Error that ended the sending of the latest request, or success. */
    uint64_t responsesRead = 0; /**< Responses received on this connection, including those to other requests. */
    bool hasPartialResponse = false; /**< Whether the latest response has begun to arrive and is not complete. */
    bool isReusable = false;
    bool hasTimedOut = false;
};

HttpClientPool::HttpClientPool(asio::io_context &loop, Tcp::endpoint server, const PoolLimits &limits)
    : m_loop(loop), m_server(std::move(server)), m_limits(limits)
{
}

/** @return the most recently used idle connection that may carry the request, or null */
HttpClientPool::ConnectionPtr HttpClientPool::acquireIdle(const std::string &requestId)
{
    for (auto next = m_idleConnections.end(); next != m_idleConnections.begin();) {
        --next;
        ConnectionPtr connection = *next;
        if (SteadyClock().now() >= connection->idleDeadline || !isOpenWithoutData(connection->socket)) {
            next = m_idleConnections.erase(next);
            connection->close();
        } else if (!connection->hasReceivedRefusal(requestId)) {
            m_idleConnections.erase(next);
            return connection;
        }
    }
    return nullptr;
}

Task<HttpClientPool::ConnectionPtr> HttpClientPool::connect(const ExchangeOptions &options, CancellationPtr cancellation, ExchangeResult &result)
{
    auto connection = std::make_shared<Connection>(m_loop);
    const TimePoint limit = std::min(options.deadline, SteadyClock().now() + options.connectTimeout);
    const ConnectionTimer timer(m_loop, limit, [connection] { connection->close(); });
    const Cancellation::Registration registration(*cancellation, [connection] { connection->close(); });
    ErrorCode error;
    if (m_limits.receiveBufferBytes > 0) {
        ErrorCode ignored; // on failure, the default size of the kernel applies
        connection->socket.open(m_server.protocol(), ignored);
        connection->socket.set_option(Tcp::socket::receive_buffer_size(m_limits.receiveBufferBytes), ignored);
    }
    co_await connection->socket.async_connect(m_server, redirectError(error));
    if (error || !connection->socket.is_open()) {
        result.detail = error ? error.message() : "connection attempt timed out";
        result.isConnectionRefused = error == asio::error::connection_refused;
        co_return nullptr;
    }
    ++m_connectionsOpened;
    setTcpOptions(connection->socket);
    co_return connection;
}

/** Reads what has arrived on a connection, or waits for it. */
Task<ErrorCode> HttpClientPool::receiveBytes(ConnectionPtr connection)
{
    const size_t size = beast::read_size(connection->buffer, MaxReadBytes);
    if (size == 0) {
        co_return http::make_error_code(http::error::buffer_overflow);
    }
    ErrorCode error;
    const size_t received = co_await connection->socket.async_read_some(connection->buffer.prepare(size), redirectError(error));
    connection->buffer.commit(received);
    co_return error;
}

/**
 * Determines how the stream of a connection ended after its end was read. The kernel reports a reset to one operation only. If that was the
 * sending of the request, reading shows nothing but the end of the stream.
 */
Task<StreamEnd> HttpClientPool::streamEnd(ConnectionPtr connection)
{
    co_await asio::post(m_loop, asio::use_awaitable); // a failed write may have completed, but its handler may still be queued
    // After an orderly close by the peer, the kernel reports a reset as a broken pipe.
    const bool isOrderly = !connection->sendError || connection->sendError == asio::error::broken_pipe;
    co_return isOrderly ? StreamEnd::Orderly : StreamEnd::Reset;
}

/** Reads one response, and reserves memory for each part of its body before it reads the next one. */
Task<ErrorCode> HttpClientPool::readResponse(ConnectionPtr connection,
                                             ResponseParser &parser,
                                             IncomingBodyReservation &bodyReservation,
                                             const std::function<void()> &onProgress)
{
    while (!parser.isComplete()) {
        const auto unparsed = connection->buffer.data();
        ErrorCode error;
        const size_t consumed = parser.parse({ static_cast<const char *>(unparsed.data()), unparsed.size() }, error);
        connection->buffer.consume(consumed);
        if (error) {
            co_return error;
        }
        if (consumed > 0 && parser.isHeadComplete() && onProgress) {
            onProgress();
        }
        if (!bodyReservation.growTo(parser.bodyBytes(), parser.isLengthKnown())) {
            co_return bodyBudgetExhausted();
        }
        if (consumed > 0) {
            continue;
        }
        error = co_await receiveBytes(connection);
        if (error == asio::error::eof) {
            co_return parser.finish(co_await streamEnd(connection));
        }
        if (error) {
            co_return error;
        }
    }
    co_return ErrorCode();
}

Task<ErrorCode> HttpClientPool::receiveResponse(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, ExchangeResult &result)
{
    int interim = 0;
    for (int unmatched = 0; unmatched < MaxUnmatchedResponses;) {
        ResponseParser parser(MaxHeaderBytes, options.maxBodyBytes, request.method() == http::verb::head);
        IncomingBodyReservation bodyReservation(m_limits.sharedBodyBudget, 1);
        const ErrorCode error = co_await readResponse(connection, parser, bodyReservation, options.onProgress);
        connection->hasPartialResponse = error && parser.hasStarted();
        if (exceedsResponseLimit(error) && parser.isHeadComplete()) {
            result.oversizedHead = parser.head();
        }
        if (error) {
            co_return error;
        }
        const bool endsAtConnectionClose = parser.endsWithStream();
        HttpResponse received = parser.release();
        if (isInterim(received)) {
            if (++interim > MaxInterimResponses) {
                break;
            }
            continue;
        }
        if (received.result() == http::status::switching_protocols) {
            break;
        }
        received.bodyReservation = bodyReservation.complete(received.body().size());
        ++connection->responsesRead;
        if (!options.matchesRequest || options.matchesRequest(received)) {
            result.response = std::move(received);
            connection->isReusable = !endsAtConnectionClose && result.response.keep_alive() && connection->buffer.size() == 0;
            co_return ErrorCode();
        }
        if (endsAtConnectionClose) {
            break;
        }
        ++unmatched;
    }
    co_return http::make_error_code(http::error::unexpected_body);
}

Task<void> HttpClientPool::sendRequest(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request)
{
    co_await http::async_write(connection->socket, *request, redirectError(connection->sendError));
    connection->isRequestSent = !connection->sendError;
}

Task<ErrorCode>
HttpClientPool::sendAndReceive(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, const ExchangeOptions &options, ExchangeResult &result)
{
    connection->isRequestSent = false;
    connection->sendError = {};
    if (request->body().size() <= MaxSequentialBodyBytes) {
        co_await sendRequest(connection, request);
        if (connection->sendError) {
            co_return connection->sendError;
        }
        co_return co_await receiveResponse(connection, *request, options, result);
    }
    // The request is shared, because this coroutine returns when the response is complete, possibly before the request is sent.
    spawnDetached(m_loop, "send-request", sendRequest(connection, request));
    const ErrorCode error = co_await receiveResponse(connection, *request, options, result);
    connection->isReusable = connection->isReusable && connection->isRequestSent;
    co_return error;
}

Task<ExchangeResult> HttpClientPool::exchange(HttpRequest request, ExchangeOptions options, CancellationPtr cancellation)
{
    const auto self = shared_from_this();
    ExchangeResult result;
    ConnectionPtr connection = options.requiresNewConnection ? nullptr : acquireIdle(options.requestId);
    if (!connection) {
        connection = co_await connect(options, cancellation, result);
    }
    if (!connection) {
        co_return result;
    }
    connection->isReusable = false;
    const auto message = std::make_shared<const HttpRequest>(std::move(request));
    ErrorCode error;
    {
        const ConnectionTimer timer(m_loop, options.deadline, [connection] {
            connection->hasTimedOut = true;
            connection->close();
        });
        const Cancellation::Registration registration(*cancellation, [connection] { connection->close(); });
        error = co_await sendAndReceive(connection, message, options, result);
    }
    if (!error && options.identifiesRequest && connection->responsesRead > 1 && !options.identifiesRequest(result.response)) {
        result.end = ExchangeEnd::Unverified;
        result.detail = "the response does not identify its request";
        result.response = {};
        connection->close();
        logDiscardedResponse(options.requestId, result);
        co_return result;
    }
    if (!error) {
        result.end = ExchangeEnd::Answered;
        if (options.isRefusal && options.isRefusal(result.response)) {
            connection->refusedRequestHashes.insert(std::hash<std::string>()(options.requestId));
        }
        const bool isIdentified = options.identifiesRequest && options.identifiesRequest(result.response);
        connection->isReusable = connection->isReusable && (isIdentified || options.keepsUnidentified);
        returnToPool(connection, result.response);
        co_return result;
    }
    result.end = cancellation->isRequested() ? ExchangeEnd::Cancelled : connection->hasTimedOut ? ExchangeEnd::TimedOut : endAfterError(error);
    result.detail = result.end == ExchangeEnd::TimedOut ? "no complete response within the time limit" : error.message();
    connection->close();
    if (connection->hasPartialResponse && result.end != ExchangeEnd::Cancelled && result.end != ExchangeEnd::TimedOut) {
        logDiscardedResponse(options.requestId, result);
    }
    co_return result;
}

/** Logs why a response that has arrived, whole or in part, can't be used. */
void HttpClientPool::logDiscardedResponse(const std::string &requestId, const ExchangeResult &result) const
{
    EventLog::write(
        LogLevel::Warning,
        Event::AnswerDiscarded,
        { { "request", requestId }, { "server", toText(m_server) }, { "reason", std::string(nameOf(reasonForEnd(result.end))) }, { "detail", result.detail } });
}

void HttpClientPool::returnToPool(const ConnectionPtr &connection, const HttpResponse &response)
{
    if (!connection->isReusable || connection->refusedRequestHashes.size() > MaxRefusedRequestHashes
        || m_idleConnections.size() >= m_limits.maxIdleConnections) {
        connection->close();
        return;
    }
    Duration idle = m_limits.idleTimeout;
    const auto keepAlive = response[http::field::keep_alive];
    const auto timeout = keepAlive.find("timeout=");
    if (timeout != beast::string_view::npos) {
        const auto digits = keepAlive.substr(timeout + std::string_view("timeout=").size());
        unsigned seconds = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        idle = std::min<Duration>(idle, scaled(std::chrono::seconds(seconds), KeepAliveFraction));
    }
    connection->idleDeadline = SteadyClock().now() + idle;
    m_idleConnections.push_back(connection);
}

void HttpClientPool::closeIdle()
{
    for (const ConnectionPtr &connection : m_idleConnections) {
        connection->close();
    }
    m_idleConnections.clear();
}

} // namespace carobjunction
