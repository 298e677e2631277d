#include "connection/httpclientpool.h"

#include "connection/bodyroom.h"
#include "connection/connectiontimer.h"
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
constexpr size_t UnparsedLimit = size_t { 2 } * HeaderLimit; // bytes that are held before they can be parsed, such as chunk headers and trailers
constexpr int MaxInterimAnswers = 8; // 1xx answers that are skipped before one answer
constexpr int MaxForeignAnswers = 4; // answers of other requests that are skipped on one connection
constexpr double KeepAliveShare = 0.7; // part of the server's idle timeout after which a connection is closed

/** @return whether an answer only announces another. A change of protocol, which nobody asked for, is no such answer. */
bool isInterim(const http::response<http::string_body> &response)
{
    // By number, since Beast has no names for newer ones.
    return http::to_status_class(response.result_int()) == http::status_class::informational && response.result() != http::status::switching_protocols;
}

/** @return whether an exchange ended because its answer had no end that could be waited for */
bool isTooLarge(const ErrorCode &error)
{
    return error == noBodyRoom() || error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow;
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

    Tcp::socket socket;
    beast::flat_buffer buffer { UnparsedLimit };
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
    setLivenessOptions(connection->socket);
    co_return connection;
}

Task<ErrorCode> HttpClientPool::receive(ConnectionPtr connection, const HttpRequest &request, const ExchangeOptions &options, HttpResponse &response)
{
    int interim = 0;
    for (int foreign = 0; foreign < MaxForeignAnswers;) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(HeaderLimit);
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
            if (++interim > MaxInterimAnswers) {
                break;
            }
            continue;
        }
        const bool endsWithConnection = parser.need_eof();
        if (parser.get().result() == http::status::switching_protocols) {
            break;
        }
        HttpResponse received(parser.release());
        received.room = room.complete(received.body().size());
        if (!options.belongs || options.belongs(received)) {
            response = std::move(received);
            connection->isReusable = !endsWithConnection && response.keep_alive() && connection->buffer.size() == 0;
            co_return ErrorCode();
        }
        if (endsWithConnection) {
            break;
        }
        ++foreign;
    }
    co_return http::make_error_code(http::error::unexpected_body);
}

Task<ErrorCode>
HttpClientPool::sendAndReceive(ConnectionPtr connection, std::shared_ptr<const HttpRequest> request, const ExchangeOptions &options, HttpResponse &response)
{
    if (request->body().size() <= LongBody) {
        ErrorCode error;
        co_await http::async_write(connection->socket, *request, into(error));
        if (error) {
            co_return error;
        }
        co_return co_await receive(connection, *request, options, response);
    }
    const auto written = std::make_shared<bool>(false);
    // The request may outlive this coroutine, which ends as soon as the answer is complete.
    asio::co_spawn(
        m_loop,
        [connection, request, written]() -> Task<void> {
            ErrorCode error;
            co_await http::async_write(connection->socket, *request, into(error));
            *written = !error;
        },
        asio::detached);
    const ErrorCode error = co_await receive(connection, *request, options, response);
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
    if (!error) {
        result.end = ExchangeEnd::Answered;
        keep(connection, result.response);
        co_return result;
    }
    result.detail = error.message();
    const ExchangeEnd cause = isTooLarge(error) ? ExchangeEnd::TooLarge : ExchangeEnd::Lost;
    result.end = cancellation->isRequested() ? ExchangeEnd::Cancelled : connection->hasTimedOut ? ExchangeEnd::TimedOut : cause;
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
