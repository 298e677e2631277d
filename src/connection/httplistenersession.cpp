#include "connection/httplistenersession.h"

#include "connection/requestframing.h"
#include "process/eventlog.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace carobjunction
{

using detail::RequestStage;

namespace
{

constexpr size_t MinUnparsedBytesLimit = 128U << 10U; // lower bound of the read buffer limit, which also applies to chunk headers and trailers
constexpr auto LingerTimeout = std::chrono::milliseconds(500); // time for the client to read the response before the connection is closed

/** Increments a request counter for its lifetime, so that exceptions are covered. */
class ScopedRequestCount
{
public:
    explicit ScopedRequestCount(size_t &count) : m_count(count)
    {
        ++m_count;
    }
    ~ScopedRequestCount()
    {
        --m_count;
    }
    ScopedRequestCount(const ScopedRequestCount &) = delete;
    ScopedRequestCount &operator=(const ScopedRequestCount &) = delete;

private:
    size_t &m_count;
};

} // namespace

void detail::logConnectionException(const std::string &detail, bool wasDispatched)
{
    EventLog::write(LogLevel::Error, Event::TaskFailed, { { "task", "connection" }, { "handedOn", wasDispatched ? "yes" : "no" }, { "reason", detail } });
}

void HttpListener::Session::close(UndeliveredCause cause)
{
    if (!m_closeCause) {
        m_closeCause = cause;
    }
    close();
}

void HttpListener::Session::close()
{
    ErrorCode ignored; // the connection is discarded in any case
    m_socket.close(ignored);
}

void HttpListener::Session::armCloseTimer(Duration delay, UndeliveredCause cause)
{
    // The session disarms the timer before it ends, so the callback does not need to keep the session alive.
    m_timer.arm(SteadyClock().now() + delay, [this, cause] { close(cause); });
}

/** Arms the idle timer. A connection with unread bytes at the expiry stays open, because a request has arrived and its read is about to complete. */
void HttpListener::Session::armIdleTimer(Duration delay)
{
    m_timer.arm(SteadyClock().now() + delay, [this] {
        if (!hasUnreadBytes(m_socket)) {
            close(UndeliveredCause::IdleTimer);
        }
    });
}

Task<void> HttpListener::Session::run()
{
    const auto self = shared_from_this();
    try {
        while (co_await serveRequestGuarded()) { }
    } catch (const std::exception &exception) {
        detail::logConnectionException(exception.what(), m_stage != RequestStage::Reading); // the error response to an earlier exception failed
    }
    cleanUp();
}

void HttpListener::Session::cleanUp()
{
    m_timer.disarm();
    close();
    m_listener->m_sessions.erase(shared_from_this());
}

/** Serves one request. If this throws, logs the exception, sends an error response and ends the connection. */
Task<bool> HttpListener::Session::serveRequestGuarded()
{
    std::string detail;
    try {
        co_return co_await serveRequest();
    } catch (const std::exception &exception) {
        detail = exception.what();
    } catch (...) {
        detail = "exception not derived from std::exception";
    }
    detail::logConnectionException(detail, m_stage != RequestStage::Reading);
    co_await respondToException();
    co_return false;
}

Task<void> HttpListener::Session::respondToException()
{
    ErrorCode ignored; // the socket may already be closed
    m_socket.cancel(ignored);
    m_cancellation.reset();
    if (m_stage != RequestStage::Responding) {
        co_await reject(m_stage == RequestStage::Dispatched ? http::status::bad_gateway : http::status::service_unavailable);
    }
}

Task<bool> HttpListener::Session::serveRequest()
{
    m_stage = RequestStage::Reading;
    const ListenerLimits limits = m_listener->m_limits();
    m_buffer.max_size(std::max<size_t>(2 * limits.headerBytes, MinUnparsedBytesLimit));
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    if (!co_await readHeader(parser, limits)) {
        co_return false;
    }
    IncomingBodyReservation bodyReservation(limits.sharedBodyBudget, limits.bodyCopies);
    // Does not dispatch a request whose connection was closed while it was received, because its response could not be delivered.
    if (!co_await readBody(parser, limits, bodyReservation) || m_closeCause) {
        co_return false;
    }
    HttpRequest request(parser.release());
    request.bodyReservation = bodyReservation.complete(request.body().size());
    const ScopedRequestCount count(m_listener->m_activeRequests);
    const bool staysOpen = co_await handleRequest(std::move(request));
    m_isProcessingRequest = false;
    co_return staysOpen;
}

Task<bool> HttpListener::Session::readHeader(Parser &parser, const ListenerLimits &limits)
{
    ErrorCode error;
    if (!m_listener->m_acceptor.is_open() && !hasPendingRequest()) {
        co_return false;
    }
    if (m_buffer.size() == 0) {
        armIdleTimer(limits.idleTimeout);
        co_await m_socket.async_wait(Tcp::socket::wait_read, redirectError(error));
    }
    if (error) {
        co_return false;
    }
    m_isProcessingRequest = true;
    armCloseTimer(limits.headerTimeout, UndeliveredCause::HeaderTimer);
    co_await http::async_read_header(m_socket, m_buffer, parser, redirectError(error));
    m_timer.disarm();
    if (error) {
        co_await rejectParseError(error);
    } else if (const auto status = framingError(parser.get())) {
        co_await reject(*status);
    } else {
        co_return true;
    }
    co_return false;
}

Task<bool> HttpListener::Session::readBody(Parser &parser, const ListenerLimits &limits, IncomingBodyReservation &bodyReservation)
{
    if (parser.is_done()) {
        co_return true;
    }
    if (!bodyReservation.canReserve(parser.content_length().value_or(0))) {
        co_await rejectForBodyBudget(parser, bodyReservation);
        co_return false;
    }
    ErrorCode error;
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::string_body> continueResponse(http::status::continue_, parser.get().version());
        co_await http::async_write(m_socket, continueResponse, redirectError(error));
    }
    armCloseTimer(limits.bodyTimeout, UndeliveredCause::BodyTimer);
    error = co_await readBodyInto(m_socket, m_buffer, parser, bodyReservation);
    m_timer.disarm();
    if (!error) {
        co_return true;
    }
    if (error == bodyBudgetExhausted()) {
        co_await rejectForBodyBudget(parser, bodyReservation);
    } else {
        co_await rejectParseError(error);
    }
    co_return false;
}

/** Rejects a request before it is dispatched, because the body budget is exhausted, and releases the reservation of its body. */
Task<void> HttpListener::Session::rejectForBodyBudget(Parser &parser, IncomingBodyReservation &bodyReservation)
{
    std::string().swap(parser.get().body());
    bodyReservation.complete(0);
    HttpResponse response(http::status::service_unavailable, 11);
    if (m_listener->m_rejectForBodyBudget) {
        response = m_listener->m_rejectForBodyBudget(parser.get());
    }
    co_await reject(std::move(response));
}

void HttpListener::Session::cancelOnClientClose(const CancellationPtr &cancellation)
{
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), cancellation](ErrorCode error) {
        if (!error && isClosedByPeer(self->m_socket)) {
            cancellation->request();
        }
    });
}

Task<bool> HttpListener::Session::handleRequest(HttpRequest request)
{
    const auto cancellation = std::make_shared<Cancellation>();
    m_cancellation = cancellation;
    const bool isHead = request.method() == http::verb::head;
    const bool wantsKeepAlive = request.keep_alive();
    if (m_buffer.size() == 0 && isClosedByPeer(m_socket)) {
        // The client gave up while this process was delayed; its request must not start.
        cancellation->request();
    } else if (m_buffer.size() == 0) {
        cancelOnClientClose(cancellation);
    }
    ErrorCode error;
    const Tcp::endpoint client = m_socket.remote_endpoint(error); // stays unspecified if the client has already disconnected
    m_stage = RequestStage::Dispatched;
    MaybeResponse response = co_await m_listener->m_handler(std::move(request), client, cancellation);
    error = {};
    m_socket.cancel(error);
    m_cancellation.reset();
    const bool isClientGone = cancellation->isRequested() && !m_isCancelledByShutdown;
    if (!response || m_closeCause || error) {
        const bool hasNoResponse = !response && !m_closeCause && !isClientGone;
        reportUndelivered(response ? &*response : nullptr, hasNoResponse ? UndeliveredCause::NoAnswer : undeliveredCause(error));
        co_return false;
    }
    // Writes the response even if the client appears to have disconnected, because it may have shut down only its sending side.
    const bool staysOpen = wantsKeepAlive && !isClientGone && !m_listener->m_isKeepAliveDisabled;
    response->keep_alive(staysOpen);
    if (!isHead) {
        response->prepare_payload();
    }
    m_stage = RequestStage::Responding;
    error = co_await write(*response, isHead);
    if (!error && !staysOpen) {
        co_await linger();
    }
    if (error || (isClientGone && takePendingError(m_socket))) {
        reportUndelivered(&*response, undeliveredCause(error));
    }
    co_return !error && staysOpen;
}

Task<ErrorCode> HttpListener::Session::write(HttpResponse &response, bool isHead)
{
    ErrorCode error;
    armCloseTimer(m_listener->m_limits().bodyTimeout, UndeliveredCause::WriteTimer);
    if (isHead) {
        http::response<http::empty_body> head(response.base());
        co_await http::async_write(m_socket, head, redirectError(error));
    } else {
        co_await http::async_write(m_socket, response, redirectError(error));
    }
    m_timer.disarm();
    co_return error;
}

/** Determines why a response was not delivered. A close by this process takes precedence over the cancellation and write error that it causes. */
UndeliveredCause HttpListener::Session::undeliveredCause(ErrorCode writeError) const
{
    if (m_closeCause) {
        return *m_closeCause;
    }
    const bool isClientClose = !writeError || writeError == asio::error::connection_reset || writeError == asio::error::broken_pipe;
    return isClientClose ? UndeliveredCause::CallerLeft : UndeliveredCause::WriteFailed;
}

void HttpListener::Session::reportUndelivered(const HttpResponse *response, UndeliveredCause cause)
{
    if (m_listener->m_reportUndelivered) {
        m_listener->m_reportUndelivered(response, cause);
    }
}

/** Sends an error response for a request that could not be parsed. Sends none if the connection ended or failed. */
Task<void> HttpListener::Session::rejectParseError(ErrorCode error)
{
    if (error == http::error::header_limit) {
        co_await reject(http::status::request_header_fields_too_large);
    } else if (error == http::error::body_limit) {
        co_await reject(http::status::payload_too_large);
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        co_await reject(http::status::bad_request);
    }
}

Task<void> HttpListener::Session::reject(http::status status)
{
    HttpResponse response(status, 11);
    // The callback adds the header field which states that the request did not run. This is certain only before the request is dispatched.
    if (m_listener->m_completeRejection && m_stage == RequestStage::Reading) {
        m_listener->m_completeRejection(response);
    }
    co_await reject(std::move(response));
}

Task<void> HttpListener::Session::reject(HttpResponse response)
{
    response.keep_alive(false);
    response.prepare_payload();
    ErrorCode error;
    armCloseTimer(LingerTimeout, UndeliveredCause::WriteTimer);
    co_await http::async_write(m_socket, response, redirectError(error));
    m_timer.disarm();
    if (!error) {
        co_await linger();
    }
}

/**
 * Shuts down the sending side and discards received bytes until the client closes. Closing a socket with unread bytes would reset the connection and could
 * destroy the response in transit.
 */
Task<void> HttpListener::Session::linger()
{
    ErrorCode error;
    m_socket.shutdown(Tcp::socket::shutdown_send, error);
    armCloseTimer(LingerTimeout, UndeliveredCause::LingerTimer);
    std::array<char, 4096> discarded {};
    while (!error) {
        co_await m_socket.async_read_some(asio::buffer(discarded), redirectError(error));
    }
    m_timer.disarm();
}

} // namespace carobjunction
