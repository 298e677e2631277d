#include "connection/httplistener.h"

#include "connection/httplistenersession.h"
#include "connection/sleepfor.h"
#include "connection/socketoptions.h"

#include <algorithm>
#include <fcntl.h>

namespace carobjunction
{

namespace
{

constexpr int Backlog = 1024;
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20); // delay after a failed accept, such as with no free file descriptors

} // namespace

HttpListener::HttpListener(asio::io_context &loop, ClientRequestHandler handler, std::function<ListenerLimits()> limits)
    : m_loop(loop), m_acceptor(loop), m_handler(std::move(handler)), m_limits(std::move(limits))
{
}

std::shared_ptr<HttpListener>
HttpListener::open(asio::io_context &loop, const Tcp::endpoint &address, RequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error)
{
    ClientRequestHandler withClientIgnored = [handler = std::move(handler)](HttpRequest request, const Tcp::endpoint &, CancellationPtr cancellation) {
        return handler(std::move(request), std::move(cancellation));
    };
    return open(loop, address, std::move(withClientIgnored), std::move(limits), error);
}

std::shared_ptr<HttpListener>
HttpListener::open(asio::io_context &loop, const Tcp::endpoint &address, ClientRequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error)
{
    std::shared_ptr<HttpListener> listener(new HttpListener(loop, std::move(handler), std::move(limits)));
    listener->m_acceptor.open(address.protocol(), error);
    if (!error) {
        listener->m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        listener->m_acceptor.bind(address, error);
    }
    if (!error) {
        listener->m_acceptor.listen(Backlog, error);
    }
    if (error) {
        return nullptr;
    }
    // Child processes must not inherit the port.
    ::fcntl(listener->m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    asio::co_spawn(
        loop, [listener]() -> Task<void> { co_await listener->accept(); }, asio::detached);
    return listener;
}

Task<void> HttpListener::accept()
{
    while (m_acceptor.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await m_acceptor.async_accept(redirectError(error));
        if (!error) {
            tryServe(std::move(socket));
        } else if (m_acceptor.is_open()) {
            co_await sleepFor(m_loop, AcceptRetryDelay);
        }
    }
}

/** Serves the connections in the accept queue of the kernel. Closing the port would reset them and lose their requests. */
void HttpListener::acceptPending()
{
    ErrorCode error;
    m_acceptor.non_blocking(true, error);
    for (int i = 0; i < Backlog && !error; ++i) {
        Tcp::socket socket = m_acceptor.accept(error);
        if (!error) {
            tryServe(std::move(socket));
        }
    }
}

/** Serves a connection, and logs an exception, such as std::bad_alloc, so that further connections are still accepted. */
void HttpListener::tryServe(Tcp::socket socket)
{
    try {
        serve(std::move(socket));
    } catch (const std::exception &exception) {
        detail::logConnectionException(exception.what(), false);
    }
}

void HttpListener::serve(Tcp::socket socket)
{
    if (m_sessions.size() >= m_limits().connections) {
        return; // the destructor closes the socket
    }
    setTcpOptions(socket);
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
    m_sessions.insert(session);
    asio::co_spawn(
        m_loop, [session]() -> Task<void> { co_await session->run(); }, asio::detached);
}

size_t HttpListener::pendingRequests() const
{
    return static_cast<size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &session) { return session->hasPendingRequest(); }));
}

void HttpListener::cancelRequests()
{
    const auto sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->cancelForShutdown();
    }
}

void HttpListener::close()
{
    disableKeepAlive();
    if (m_acceptor.is_open()) {
        acceptPending();
    }
    ErrorCode ignored; // a failure to close the port cannot be handled
    m_acceptor.close(ignored);
    const auto sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->closeIfIdle();
    }
}

void HttpListener::dropConnections()
{
    const auto sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->closeAndCancel();
    }
}

} // namespace carobjunction
