#pragma once

#include "connection/expirytimer.h"
#include "connection/httplistener.h"
#include "connection/incomingbodyreservation.h"
#include "connection/socketoptions.h"

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace carobjunction
{

namespace detail
{

/** Processing stage of the request of a session. */
enum class RequestStage {
    Reading, /**< The request has not been dispatched to the handler. */
    Dispatched, /**< The handler has the request, so it may have run. */
    Responding, /**< Part of the response may have been sent. */
};

/** Logs an exception that ended a request or a connection. */
void logConnectionException(const std::string &detail, bool wasDispatched);

} // namespace detail

/** One client connection. Its coroutine keeps the session alive. */
class HttpListener::Session : public std::enable_shared_from_this<HttpListener::Session>
{
public:
    Session(std::shared_ptr<HttpListener> listener, Tcp::socket socket)
        : m_listener(std::move(listener)), m_socket(std::move(socket)), m_timer(m_listener->m_loop)
    {
    }

    Task<void> run();

    void closeIfIdle()
    {
        if (!hasPendingRequest()) {
            close(UndeliveredCause::ListenerClosed);
        }
    }

    /** @return whether at least one byte of a request has been received and its response is not complete */
    bool hasPendingRequest()
    {
        return m_isProcessingRequest || m_buffer.size() > 0 || hasUnreadBytes(m_socket);
    }

    void closeAndCancel()
    {
        close(UndeliveredCause::ConnectionsDropped);
        if (m_cancellation) {
            m_cancellation->request();
        }
    }

    void cancelForShutdown()
    {
        m_isCancelledByShutdown = true;
        if (m_cancellation) {
            m_cancellation->request();
        }
    }

private:
    using Parser = http::request_parser<http::string_body>;

    Task<bool> serveRequestGuarded();
    Task<bool> serveRequest();
    Task<void> respondToException();
    void cleanUp();
    Task<bool> readHeader(Parser &parser, const ListenerLimits &limits);
    Task<bool> readBody(Parser &parser, const ListenerLimits &limits, IncomingBodyReservation &bodyReservation);
    Task<bool> handleRequest(HttpRequest request);
    Task<ErrorCode> write(HttpResponse &response, bool isHead);
    UndeliveredCause undeliveredCause(ErrorCode writeError) const;
    void reportUndelivered(const HttpResponse *response, UndeliveredCause cause);
    Task<void> rejectParseError(ErrorCode error);
    Task<void> reject(http::status status);
    Task<void> reject(HttpResponse response);
    Task<void> rejectForBodyBudget(Parser &parser, IncomingBodyReservation &bodyReservation);
    Task<void> linger();
    void cancelOnClientClose(const CancellationPtr &cancellation);
    void armCloseTimer(Duration delay, UndeliveredCause cause);
    void armIdleTimer(Duration delay);
    void close(UndeliveredCause cause);
    void close();

    std::shared_ptr<HttpListener> m_listener;
    Tcp::socket m_socket;
    ExpiryTimer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<UndeliveredCause> m_closeCause; /**< Set if this process closed the connection. */
    CancellationPtr m_cancellation; /**< Cancels the request that the handler is processing. */
    bool m_isProcessingRequest = false; /**< True from the first byte of a request to the end of its response. */
    detail::RequestStage m_stage = detail::RequestStage::Reading;
    bool m_isCancelledByShutdown = false; /**< The request was cancelled because the process stops, not because the client closed the connection. */
};

} // namespace carobjunction
