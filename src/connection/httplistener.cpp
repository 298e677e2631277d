#include "connection/httplistener.h"

#include "connection/bodyroom.h"
#include "connection/expirytimer.h"
#include "connection/socketoptions.h"
#include "process/eventlog.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>

namespace carobjunction
{

namespace
{

constexpr int Backlog = 1024;
constexpr size_t LeastUnparsedLimit = 128U << 10U; // bytes that are held before they can be parsed, such as chunk headers and trailers
constexpr auto AcceptRetry = std::chrono::milliseconds(20); // wait after a failed accept, such as for lack of descriptors
constexpr auto LingerTime = std::chrono::milliseconds(500); // time for the client to read the answer before the connection is reset

/** How far the request of a session is. */
enum class Stage {
    Reading, /**< Nothing was handed on. */
    HandedOn, /**< The handler has it, so it may have run. */
    Answering, /**< A part of the answer may be on its way. */
};

/** Counts a request for its lifetime, also if an exception ends it. */
class RequestCount
{
public:
    explicit RequestCount(size_t &count) : m_count(count)
    {
        ++m_count;
    }
    ~RequestCount()
    {
        --m_count;
    }
    RequestCount(const RequestCount &) = delete;
    RequestCount &operator=(const RequestCount &) = delete;

private:
    size_t &m_count;
};

/** Writes a line for an exception that ended a request or a connection. */
void logFault(const std::string &detail, bool wasHandedOn)
{
    EventLog::write(LogLevel::Error, Event::TaskFailed, { { "task", "connection" }, { "handedOn", wasHandedOn ? "yes" : "no" }, { "reason", detail } });
}

} // namespace

/** One connection of a client. Kept alive by its own coroutine. */
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
        if (!hasRequest()) {
            close(UndeliveredCause::ListenerClosed);
        }
    }

    /** @return whether a request has begun to arrive and is not answered */
    bool hasRequest()
    {
        return m_isBusy || m_buffer.size() > 0 || hasBytesToRead(m_socket);
    }

    void drop()
    {
        close(UndeliveredCause::ConnectionsDropped);
        if (m_cancellation) {
            m_cancellation->request();
        }
    }

    void abort()
    {
        m_isAborted = true;
        if (m_cancellation) {
            m_cancellation->request();
        }
    }

private:
    using Parser = http::request_parser<http::string_body>;

    Task<bool> serveGuarded();
    Task<bool> serveOne();
    Task<void> rejectAfterFault();
    void end();
    Task<bool> readHeader(Parser &parser, const ListenerLimits &limits);
    Task<bool> readBody(Parser &parser, const ListenerLimits &limits, BodyRoom &room);
    Task<bool> answer(HttpRequest request);
    Task<ErrorCode> write(HttpResponse &response, bool isHead);
    UndeliveredCause causeOf(ErrorCode writeError) const;
    void reportUndelivered(const HttpResponse *response, UndeliveredCause cause);
    Task<void> rejectUnreadable(ErrorCode error);
    Task<void> reject(http::status status);
    Task<void> reject(HttpResponse response);
    Task<void> refuseForRoom(Parser &parser, BodyRoom &room);
    Task<void> linger();
    void watchForClose(const CancellationPtr &cancellation);
    void closeAfter(Duration time, UndeliveredCause timer);
    void closeWhenIdleFor(Duration time);
    void close(UndeliveredCause cause);
    void close();

    std::shared_ptr<HttpListener> m_listener;
    Tcp::socket m_socket;
    ExpiryTimer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<UndeliveredCause> m_closedBy; /**< What in this process closed the connection. */
    CancellationPtr m_cancellation; /**< Of the request that is being answered. */
    bool m_isBusy = false; /**< From the first byte of a request to the end of its answer. */
    Stage m_stage = Stage::Reading;
    bool m_isAborted = false; /**< The process ends, not the client's interest. */
};

void HttpListener::Session::close(UndeliveredCause cause)
{
    if (!m_closedBy) {
        m_closedBy = cause;
    }
    close();
}

void HttpListener::Session::close()
{
    ErrorCode ignored; // the connection is given up in any case
    m_socket.close(ignored);
}

void HttpListener::Session::closeAfter(Duration time, UndeliveredCause timer)
{
    // The session disarms the timer before it ends, so the callback needn't keep it alive.
    m_timer.arm(SteadyClock().now() + time, [this, timer] { close(timer); });
}

/** A connection whose next request has arrived by the expiry is not idle: its read is about to complete. */
void HttpListener::Session::closeWhenIdleFor(Duration time)
{
    m_timer.arm(SteadyClock().now() + time, [this] {
        if (!hasBytesToRead(m_socket)) {
            close(UndeliveredCause::IdleTimer);
        }
    });
}

Task<void> HttpListener::Session::run()
{
    const auto self = shared_from_this();
    try {
        while (co_await serveGuarded()) { }
    } catch (const std::exception &fault) {
        logFault(fault.what(), m_stage != Stage::Reading); // the fault of a request could not be answered
    }
    end();
}

void HttpListener::Session::end()
{
    m_timer.disarm();
    close();
    m_listener->m_sessions.erase(shared_from_this());
}

/** Answers a request whose handling threw an exception, and ends the connection. */
Task<bool> HttpListener::Session::serveGuarded()
{
    std::string fault;
    try {
        co_return co_await serveOne();
    } catch (const std::exception &exception) {
        fault = exception.what();
    } catch (...) {
        fault = "unknown exception";
    }
    logFault(fault, m_stage != Stage::Reading);
    co_await rejectAfterFault();
    co_return false;
}

Task<void> HttpListener::Session::rejectAfterFault()
{
    ErrorCode ignored; // the connection may be closed already
    m_socket.cancel(ignored);
    m_cancellation.reset();
    if (m_stage != Stage::Answering) {
        co_await reject(m_stage == Stage::HandedOn ? http::status::bad_gateway : http::status::service_unavailable);
    }
}

Task<bool> HttpListener::Session::serveOne()
{
    m_stage = Stage::Reading;
    const ListenerLimits limits = m_listener->m_limits();
    m_buffer.max_size(std::max<size_t>(2 * limits.headerBytes, LeastUnparsedLimit));
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    if (!co_await readHeader(parser, limits)) {
        co_return false;
    }
    BodyRoom room(limits.bodies, limits.bodyCopies);
    // A request whose connection was closed in the turn of its arrival is not handed on: nobody would get the answer.
    if (!co_await readBody(parser, limits, room) || m_closedBy) {
        co_return false;
    }
    HttpRequest request(parser.release());
    request.room = room.complete(request.body().size());
    const RequestCount count(m_listener->m_activeRequests);
    const bool isKept = co_await answer(std::move(request));
    m_isBusy = false;
    co_return isKept;
}

Task<bool> HttpListener::Session::readHeader(Parser &parser, const ListenerLimits &limits)
{
    ErrorCode error;
    if (!m_listener->m_acceptor.is_open() && !hasRequest()) {
        co_return false;
    }
    if (m_buffer.size() == 0) {
        closeWhenIdleFor(limits.idleTimeout);
        co_await m_socket.async_wait(Tcp::socket::wait_read, into(error));
    }
    if (error) {
        co_return false;
    }
    m_isBusy = true;
    closeAfter(limits.headerTimeout, UndeliveredCause::HeaderTimer);
    co_await http::async_read_header(m_socket, m_buffer, parser, into(error));
    m_timer.disarm();
    if (!error) {
        co_return true;
    }
    co_await rejectUnreadable(error);
    co_return false;
}

Task<bool> HttpListener::Session::readBody(Parser &parser, const ListenerLimits &limits, BodyRoom &room)
{
    if (parser.is_done()) {
        co_return true;
    }
    if (!room.hasRoom(parser.content_length().value_or(0))) {
        co_await refuseForRoom(parser, room);
        co_return false;
    }
    ErrorCode error;
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::string_body> interim(http::status::continue_, parser.get().version());
        co_await http::async_write(m_socket, interim, into(error));
    }
    closeAfter(limits.bodyTimeout, UndeliveredCause::BodyTimer);
    error = co_await readBodyInto(m_socket, m_buffer, parser, room);
    m_timer.disarm();
    if (!error) {
        co_return true;
    }
    if (error == noBodyRoom()) {
        co_await refuseForRoom(parser, room);
    } else {
        co_await rejectUnreadable(error);
    }
    co_return false;
}

/** Refuses a request before the handler gets it, and gives back what its body has taken. */
Task<void> HttpListener::Session::refuseForRoom(Parser &parser, BodyRoom &room)
{
    std::string().swap(parser.get().body());
    room.complete(0);
    HttpResponse response(http::status::service_unavailable, 11);
    if (m_listener->m_refuseForRoom) {
        response = m_listener->m_refuseForRoom(parser.get());
    }
    co_await reject(std::move(response));
}

void HttpListener::Session::watchForClose(const CancellationPtr &cancellation)
{
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), cancellation](ErrorCode error) {
        if (!error && isClosedByPeer(self->m_socket)) {
            cancellation->request();
        }
    });
}

Task<bool> HttpListener::Session::answer(HttpRequest request)
{
    const auto cancellation = std::make_shared<Cancellation>();
    m_cancellation = cancellation;
    const bool isHead = request.method() == http::verb::head;
    const bool wantsKeepAlive = request.keep_alive();
    if (m_buffer.size() == 0) {
        watchForClose(cancellation);
    }
    ErrorCode error;
    const Tcp::endpoint client = m_socket.remote_endpoint(error); // unknown if the client has left already
    m_stage = Stage::HandedOn;
    MaybeResponse response = co_await m_listener->m_handler(std::move(request), client, cancellation);
    error = {};
    m_socket.cancel(error);
    m_cancellation.reset();
    const bool hasLeft = cancellation->isRequested() && !m_isAborted;
    if (!response || m_closedBy || error) {
        const bool isMissing = !response && !m_closedBy && !hasLeft;
        reportUndelivered(response ? &*response : nullptr, isMissing ? UndeliveredCause::NoAnswer : causeOf(error));
        co_return false;
    }
    // The answer is written also if the caller seems to have left: it may have ended its sending side only.
    const bool isKept = wantsKeepAlive && !hasLeft && !m_listener->m_isClosing;
    response->keep_alive(isKept);
    if (!isHead) {
        response->prepare_payload();
    }
    m_stage = Stage::Answering;
    error = co_await write(*response, isHead);
    if (!error && !isKept) {
        co_await linger();
    }
    if (error || (hasLeft && takeError(m_socket))) {
        reportUndelivered(&*response, causeOf(error));
    }
    co_return !error && isKept;
}

Task<ErrorCode> HttpListener::Session::write(HttpResponse &response, bool isHead)
{
    ErrorCode error;
    closeAfter(m_listener->m_limits().bodyTimeout, UndeliveredCause::WriteTimer);
    if (isHead) {
        http::response<http::empty_body> head(response.base());
        co_await http::async_write(m_socket, head, into(error));
    } else {
        co_await http::async_write(m_socket, response, into(error));
    }
    m_timer.disarm();
    co_return error;
}

/** A close by this process counts before what it brings about: the end of the handler's work and the error of the write. */
UndeliveredCause HttpListener::Session::causeOf(ErrorCode writeError) const
{
    if (m_closedBy) {
        return *m_closedBy;
    }
    const bool isPeersClose = !writeError || writeError == asio::error::connection_reset || writeError == asio::error::broken_pipe;
    return isPeersClose ? UndeliveredCause::CallerLeft : UndeliveredCause::WriteFailed;
}

void HttpListener::Session::reportUndelivered(const HttpResponse *response, UndeliveredCause cause)
{
    if (m_listener->m_reportUndelivered) {
        m_listener->m_reportUndelivered(response, cause);
    }
}

/** Tells the client why its message could not be read. A connection that has just ended gets no answer. */
Task<void> HttpListener::Session::rejectUnreadable(ErrorCode error)
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
    if (m_listener->m_completeRejection && m_stage == Stage::Reading) { // the hook adds that nothing ran
        m_listener->m_completeRejection(response);
    }
    co_await reject(std::move(response));
}

Task<void> HttpListener::Session::reject(HttpResponse response)
{
    response.keep_alive(false);
    response.prepare_payload();
    ErrorCode error;
    closeAfter(LingerTime, UndeliveredCause::WriteTimer);
    co_await http::async_write(m_socket, response, into(error));
    m_timer.disarm();
    if (!error) {
        co_await linger();
    }
}

/** Closing with unread bytes resets the connection, which may destroy the answer on its way. */
Task<void> HttpListener::Session::linger()
{
    ErrorCode error;
    m_socket.shutdown(Tcp::socket::shutdown_send, error);
    closeAfter(LingerTime, UndeliveredCause::LingerTimer);
    std::array<char, 4096> unread {};
    while (!error) {
        co_await m_socket.async_read_some(asio::buffer(unread), into(error));
    }
    m_timer.disarm();
}

HttpListener::HttpListener(asio::io_context &loop, ClientRequestHandler handler, std::function<ListenerLimits()> limits)
    : m_loop(loop), m_acceptor(loop), m_handler(std::move(handler)), m_limits(std::move(limits))
{
}

std::shared_ptr<HttpListener>
HttpListener::open(asio::io_context &loop, const Tcp::endpoint &address, RequestHandler handler, std::function<ListenerLimits()> limits, ErrorCode &error)
{
    ClientRequestHandler ofAnyClient = [handler = std::move(handler)](HttpRequest request, const Tcp::endpoint &, CancellationPtr cancellation) {
        return handler(std::move(request), std::move(cancellation));
    };
    return open(loop, address, std::move(ofAnyClient), std::move(limits), error);
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
    // A program that is started later must not keep the port open.
    ::fcntl(listener->m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    asio::co_spawn(
        loop, [listener]() -> Task<void> { co_await listener->accept(); }, asio::detached);
    return listener;
}

Task<void> HttpListener::accept()
{
    asio::steady_timer pause(m_loop);
    while (m_acceptor.is_open()) {
        ErrorCode error;
        Tcp::socket socket = co_await m_acceptor.async_accept(into(error));
        if (!error) {
            serveOrDrop(std::move(socket));
        } else if (m_acceptor.is_open()) {
            pause.expires_after(AcceptRetry);
            co_await pause.async_wait(into(error));
        }
    }
}

/** Connections that the kernel has accepted already would be reset together with their requests. */
void HttpListener::acceptWaiting()
{
    ErrorCode error;
    m_acceptor.non_blocking(true, error);
    for (int i = 0; i < Backlog && !error; ++i) {
        Tcp::socket socket = m_acceptor.accept(error);
        if (!error) {
            serveOrDrop(std::move(socket));
        }
    }
}

/** A connection that can't be served, such as for lack of memory, must not end the accepting of others. */
void HttpListener::serveOrDrop(Tcp::socket socket)
{
    try {
        serve(std::move(socket));
    } catch (const std::exception &fault) {
        logFault(fault.what(), false);
    }
}

void HttpListener::serve(Tcp::socket socket)
{
    if (m_sessions.size() >= m_limits().connections) {
        return; // the socket closes
    }
    setLivenessOptions(socket);
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
    m_sessions.insert(session);
    asio::co_spawn(
        m_loop, [session]() -> Task<void> { co_await session->run(); }, asio::detached);
}

size_t HttpListener::openRequests() const
{
    return static_cast<size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &session) { return session->hasRequest(); }));
}

void HttpListener::abortRequests()
{
    const auto sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        session->abort();
    }
}

void HttpListener::close()
{
    announceClose();
    if (m_acceptor.is_open()) {
        acceptWaiting();
    }
    ErrorCode ignored; // nothing is left to do if the port can't be closed
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
        session->drop();
    }
}

} // namespace carobjunction
