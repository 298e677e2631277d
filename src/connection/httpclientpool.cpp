#include "connection/httpclientpool.h"

#include "connection/bodyroom.h"
#include "connection/connectiontimer.h"
#include "connection/detachedtask.h"
#include "connection/socketoptions.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <unordered_set>

namespace carobjunction
{

namespace
{

constexpr size_t MaxSequentialBodyBytes = 16U << 10U; // longer bodies are sent while the answer is read, since it may come first
constexpr uint32_t MaxHeaderBytes = 64U << 10U;
constexpr size_t MaxUnparsedBytes = size_t { 2 } * MaxHeaderBytes; // bytes that are held before they can be parsed, such as chunk headers and trailers
constexpr int MaxInterimResponses = 8; // 1xx answers that are skipped before one answer
constexpr int MaxUnmatchedResponses = 4; // answers of other requests that are skipped on one connection
constexpr size_t MaxRefusedRequestHashes = 256; // remembered for each connection, 8 bytes each; with more, it is closed
constexpr double KeepAliveFraction = 0.7; // part of the server's idle timeout after which a connection is closed

/** @return whether an answer only announces another. A change of protocol, which nobody asked for, is no such answer. */
bool isInterim(const http::response<http::string_body> &response)
{
    // By number, since Beast has no names for newer ones.
    return http::to_status_class(response.result_int()) == http::status_class::informational && response.result() != http::status::switching_protocols;
}

/** @return whether an exchange ended because its answer had no end that could be waited for */
bool exceedsResponseLimit(const ErrorCode &error)
{
    return error == bodyBudgetExhausted() || error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow;
}

} // namespace

struct HttpClientPool::Connection {
    explicit Connection(asio::io_context &loop) : socket(loop)
    {
    }

    void close()
    {
        ErrorCode ignored; // the connection is given up in any case
        socket.close(ignored);
    }

    /** @return whether a refusal of the request was read here, which the server may write once more; rarely true of others */
    bool hasReceivedRefusal(const std::string &requestId) const
    {
        return refusedRequestHashes.count(std::hash<std::string>()(requestId)) > 0;
    }

    Tcp::socket socket;
    beast::flat_buffer buffer { MaxUnparsedBytes };
    std::unordered_set<size_t> refusedRequestHashes; /**< Hashes of the ids. */
    TimePoint idleDeadline;
    uint64_t responsesRead = 0; /**< Answers read so far, those of other requests included. */
    bool isReusable = false;
    bool hasTimedOut = false;
};

HttpClientPool::HttpClientPool(asio::io_context &loop, Tcp::endpoint server, const PoolLimits &limits)
    : m_loop(loop), m_server(std::move(server)), m_limits(limits)
{
}

/** @return the connection used last of those that may carry the request, or null */
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

Task<HttpClientPool::ConnectionPtr> HttpClientPool::connect(const ExchangeOptions &options, CancellationPtr cancellation, std::string &detail)
{
    auto connection = std::make_shared<Connection>(m_loop);
    const TimePoint limit = std::min(options.deadline, SteadyClock().now() + options.connectTimeout);
    const ConnectionTimer timer(m_loop, limit, [connection] { connection->close(); });
    const Cancellation::Registration registration(*cancellation, [connection] { connection->close(); });
    ErrorCode error;
    if (m_limits.receiveBuffer > 0) {
        ErrorCode ignored; // the kernel then takes its own size
        connection->socket.open(m_server.protocol(), ignored);
        connection->socket.set_option(Tcp::socket::receive_buffer_size(m_limits.receiveBuffer), ignored);
    }
    co_await connection->socket.async_connect(m_server, into(error));
    if (error || !connection->socket.is_open()) {
        detail = error ? error.message() : "connection timed out";
        co_return nullptr;
    }
    ++m_connectionsOpened;
    setTcpOptions(connection->socket);
    co_return connection;
}

Task<ErrorCode> HttpClientPool::receiveResponse(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, HttpResponse &response)
{
    int interim = 0;
    for (int unmatched = 0; unmatched < MaxUnmatchedResponses;) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(MaxHeaderBytes);
        parser.body_limit(options.bodyLimit);
        parser.skip(request.method() == http::verb::head);
        ErrorCode error;
        co_await http::async_read_header(connection->socket, connection->buffer, parser, into(error));
        BodyRoom room(m_limits.bodies, 1);
        if (!error) {
            error = co_await readBodyInto(connection->socket, connection->buffer, parser, room);
        }
        if (error) {
            co_return error;
        }
        if (isInterim(parser.get())) {
            if (++interim > MaxInterimResponses) {
                break;
            }
            continue;
        }
        const bool endsAtConnectionClose = parser.need_eof();
        if (parser.get().result() == http::status::switching_protocols) {
            break;
        }
        HttpResponse received(parser.release());
        received.room = room.complete(received.body().size());
        ++connection->responsesRead;
        if (!options.belongs || options.belongs(received)) {
            response = std::move(received);
            connection->isReusable = !endsAtConnectionClose && response.keep_alive() && connection->buffer.size() == 0;
            co_return ErrorCode();
        }
        if (endsAtConnectionClose) {
            break;
        }
        ++unmatched;
    }
    co_return http::make_error_code(http::error::unexpected_body);
}

Task<void> HttpClientPool::sendRequest(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, std::shared_ptr<bool> isSent)
{
    ErrorCode error;
    co_await http::async_write(connection->socket, *request, into(error));
    *isSent = !error;
}

Task<ErrorCode>
HttpClientPool::sendAndReceive(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, const ExchangeOptions &options, HttpResponse &response)
{
    if (request->body().size() <= MaxSequentialBodyBytes) {
        ErrorCode error;
        co_await http::async_write(connection->socket, *request, into(error));
        if (error) {
            co_return error;
        }
        co_return co_await receiveResponse(connection, *request, options, response);
    }
    const auto isSent = std::make_shared<bool>(false);
    // The request may outlive this coroutine, which ends as soon as the answer is complete.
    spawnDetached(m_loop, "send-request", sendRequest(connection, request, isSent));
    const ErrorCode error = co_await receiveResponse(connection, *request, options, response);
    connection->isReusable = connection->isReusable && *isSent;
    co_return error;
}

Task<ExchangeResult> HttpClientPool::exchange(HttpRequest request, ExchangeOptions options, CancellationPtr cancellation)
{
    const auto self = shared_from_this();
    ExchangeResult result;
    ConnectionPtr connection = options.onNewConnection ? nullptr : acquireIdle(options.requestId);
    if (!connection) {
        connection = co_await connect(options, cancellation, result.detail);
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
        error = co_await sendAndReceive(connection, message, options, result.response);
    }
    if (!error && options.isNamed && connection->responsesRead > 1 && !options.isNamed(result.response)) {
        result.end = ExchangeEnd::Unproven;
        result.detail = "the answer does not name its request";
        result.response = {};
        connection->close();
        co_return result;
    }
    if (!error) {
        result.end = ExchangeEnd::Answered;
        if (options.isRefusal && options.isRefusal(result.response)) {
            connection->refusedRequestHashes.insert(std::hash<std::string>()(options.requestId));
        }
        returnToPool(connection, result.response);
        co_return result;
    }
    result.detail = error.message();
    const ExchangeEnd failureEnd = exceedsResponseLimit(error) ? ExchangeEnd::TooLarge : ExchangeEnd::Lost;
    result.end = cancellation->isRequested() ? ExchangeEnd::Cancelled : connection->hasTimedOut ? ExchangeEnd::TimedOut : failureEnd;
    connection->close();
    co_return result;
}

void HttpClientPool::returnToPool(const ConnectionPtr &connection, const HttpResponse &response)
{
    if (!connection->isReusable || connection->refusedRequestHashes.size() > MaxRefusedRequestHashes || m_idleConnections.size() >= m_limits.idleConnections) {
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
        idle = std::min<Duration>(idle, std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000 * KeepAliveFraction)));
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
