#include "connection/httpclientpool.h"

#include "connection/connectiontimer.h"
#include "connection/detachedtask.h"
#include "connection/socketoptions.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr size_t LongBody = 16U << 10U; // longer bodies are sent while the answer is read, since it may come first
constexpr uint32_t HeaderLimit = 64U << 10U;
constexpr int MaxForeignAnswers = 4; // answers of other requests that are skipped on one connection
constexpr double KeepAliveShare = 0.7; // part of the server's idle timeout after which a connection is closed

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

    Tcp::socket socket;
    beast::flat_buffer buffer;
    TimePoint idleUntil;
    bool isReusable = false;
    bool hasTimedOut = false;
};

HttpClientPool::HttpClientPool(asio::io_context &loop, Tcp::endpoint server, const PoolLimits &limits)
    : m_loop(loop), m_server(std::move(server)), m_limits(limits)
{
}

HttpClientPool::ConnectionPtr HttpClientPool::takeIdle()
{
    while (!m_idle.empty()) {
        ConnectionPtr connection = m_idle.back();
        m_idle.pop_back();
        if (SteadyClock().now() < connection->idleUntil && isIdleAndOpen(connection->socket)) {
            return connection;
        }
        connection->close();
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
    co_await connection->socket.async_connect(m_server, into(error));
    if (error || !connection->socket.is_open()) {
        detail = error ? error.message() : "connection timed out";
        co_return nullptr;
    }
    ++m_connectionsOpened;
    setLivenessOptions(connection->socket);
    co_return connection;
}

Task<ErrorCode> HttpClientPool::receive(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, HttpResponse &response)
{
    for (int i = 0; i < MaxForeignAnswers; ++i) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(HeaderLimit);
        parser.body_limit(options.bodyLimit);
        parser.skip(request.method() == http::verb::head);
        ErrorCode error;
        co_await http::async_read(connection->socket, connection->buffer, parser, into(error));
        if (error) {
            co_return error;
        }
        const bool endsWithConnection = parser.need_eof();
        response = parser.release();
        if (!options.belongs || options.belongs(response)) {
            connection->isReusable = !endsWithConnection && response.keep_alive() && connection->buffer.size() == 0;
            co_return ErrorCode();
        }
        if (endsWithConnection) {
            break;
        }
    }
    co_return http::make_error_code(http::error::unexpected_body);
}

Task<void> HttpClientPool::sendWhole(ConnectionPtr connection, std::shared_ptr<HttpRequest> request, std::shared_ptr<bool> written)
{
    ErrorCode error;
    co_await http::async_write(connection->socket, *request, into(error));
    *written = !error;
}

Task<ErrorCode> HttpClientPool::sendAndReceive(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, HttpResponse &response)
{
    if (request.body().size() <= LongBody) {
        ErrorCode error;
        co_await http::async_write(connection->socket, request, into(error));
        if (error) {
            co_return error;
        }
        co_return co_await receive(connection, request, options, response);
    }
    const auto written = std::make_shared<bool>(false);
    // The copy outlives this coroutine, which ends as soon as the answer is complete.
    const auto copy = std::make_shared<HttpRequest>(request);
    spawnDetached(m_loop, "send-request", sendWhole(connection, copy, written));
    const ErrorCode error = co_await receive(connection, request, options, response);
    connection->isReusable = connection->isReusable && *written;
    co_return error;
}

Task<ExchangeResult> HttpClientPool::exchange(HttpRequest request, ExchangeOptions options, CancellationPtr cancellation)
{
    const auto self = shared_from_this();
    ExchangeResult result;
    ConnectionPtr connection = takeIdle();
    if (!connection) {
        connection = co_await connect(options, cancellation, result.detail);
    }
    if (!connection) {
        co_return result;
    }
    connection->isReusable = false;
    ErrorCode error;
    {
        const ConnectionTimer timer(m_loop, options.deadline, [connection] {
            connection->hasTimedOut = true;
            connection->close();
        });
        const Cancellation::Registration registration(*cancellation, [connection] { connection->close(); });
        error = co_await sendAndReceive(connection, request, options, result.response);
    }
    if (!error) {
        result.end = ExchangeEnd::Answered;
        keep(connection, result.response);
        co_return result;
    }
    result.detail = error.message();
    result.end = cancellation->isRequested() ? ExchangeEnd::Cancelled : connection->hasTimedOut ? ExchangeEnd::TimedOut : ExchangeEnd::Lost;
    connection->close();
    co_return result;
}

void HttpClientPool::keep(const ConnectionPtr &connection, const HttpResponse &response)
{
    if (!connection->isReusable || m_idle.size() >= m_limits.idleConnections) {
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
        idle = std::min<Duration>(idle, std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000 * KeepAliveShare)));
    }
    connection->idleUntil = SteadyClock().now() + idle;
    m_idle.push_back(connection);
}

void HttpClientPool::closeIdle()
{
    for (const ConnectionPtr &connection : m_idle) {
        connection->close();
    }
    m_idle.clear();
}

} // namespace carobjunction
