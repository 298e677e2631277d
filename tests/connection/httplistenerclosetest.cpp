#include "connection/httplistenerclosefixture.h"

#include "connection/socketoptions.h"

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.answerThatIsDelivered.isNotReported")
{
    // Guards against delivered responses that are reported as undelivered.
    read();
    write(lookupRequest);
    runFor(50ms);
    CHECK(received.ends_with("done"));
    CHECK(undeliveredCauses.empty());
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerClosesBeforeItsAnswer.isReported")
{
    // Guards against undelivered responses that are not logged.
    handlerDelay = 5s;
    write(lookupRequest);
    runFor(20ms);
    caller.close();
    runFor(100ms);
    CHECK(undeliveredCauses == std::vector { UndeliveredCause::CallerLeft });
    CHECK(undeliveredId == "r1");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.connectionsDropped.areReportedAsClosedByThisProcess")
{
    // Guards against a close by this process that is logged as a close by the caller.
    handlerDelay = 5s;
    write(lookupRequest);
    runFor(20ms);
    listener->dropConnections();
    runFor(50ms);
    CHECK(undeliveredCauses == std::vector { UndeliveredCause::ConnectionsDropped });
    CHECK(undeliveredId == "r1");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerThatDoesNotRead.isReportedAsWriteTimeout")
{
    // Guards against an expired timer of this process that is logged as a close by the caller or a network error.
    body = std::string(32U << 20U, 'a');
    limits.bodyTimeout = 50ms;
    write(lookupRequest);
    runFor(300ms);
    CHECK(undeliveredCauses == std::vector { UndeliveredCause::WriteTimer });
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.handlerWithoutAnAnswer.isReported")
{
    // Guards against a dispatched request whose connection is closed without a log entry.
    returnsNoResponse = true;
    read();
    write(lookupRequest);
    runFor(50ms);
    CHECK(received == "<end>");
    CHECK(undeliveredCauses == std::vector { UndeliveredCause::NoAnswer });
    CHECK(undeliveredId == "none");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.resetWhileAnAnswerIsWritten.isReportedAsTheCallersClose")
{
    // Guards against a reset by the caller that is logged as a failure of the daemon.
    body = std::string(32U << 20U, 'a');
    write(lookupRequest);
    runFor(50ms);
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    runFor(100ms);
    CHECK(undeliveredCauses == std::vector { UndeliveredCause::CallerLeft });
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.requestReadInTheIterationOfTheIdleTimeout.isAnswered")
{
    // Guards against a cancelled expiry: a timer that has expired, but was re-armed or disarmed since, must not close the connection during a
    // request.
    limits.idleTimeout = 200ms;
    handlerDelay = 50ms;
    read();
    write(lookupRequest);
    runFor(100ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    blockLoop(300ms, lookupRequest);
    runFor(500ms);
    CHECK(handledRequests == 2);
    CHECK(undeliveredCauses.empty());
    CHECK(received.find("done") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.requestInTheSocketAtTheIdleTimeout.isAnswered")
{
    // Guards against a connection that is closed as idle although a request is in the socket buffer, because the handler of the timer was
    // queued before the handler of the read.
    limits.idleTimeout = 200ms;
    read();
    write(lookupRequest);
    runFor(100ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    // Expires in the same iteration as the idle timer and before it, so the request is sent while the handler of the idle timer is queued.
    asio::steady_timer requestTimer(loop, 20ms);
    requestTimer.async_wait([&](ErrorCode) { write(lookupRequest); });
    blockLoop(300ms, "");
    runFor(500ms);
    CHECK(undeliveredCauses.empty());
    CHECK(received.find("done") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.idleConnection.isClosedAfterTheIdleTimeout")
{
    // Guards against idle connections that are never closed.
    limits.idleTimeout = 100ms;
    read();
    write(lookupRequest);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    runFor(150ms);
    CHECK(received.ends_with("<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithARequestInTheSocket.answersItAndCloses")
{
    // Guards against requests that are aborted because the event loop has not read their bytes yet when the port is closed.
    read();
    write(lookupRequest);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    write(lookupRequest);
    listener->close();
    runFor(100ms);
    CHECK(handledRequests == 2);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithAPartOfARequest.answersItAndCloses")
{
    // Guards against requests that are aborted because their header is incomplete when the port is closed.
    read();
    write("GET /a HTTP/1.1\r\nHo");
    runFor(50ms);
    listener->close();
    runFor(20ms);
    write("st: h\r\n\r\n");
    runFor(100ms);
    CHECK(handledRequests == 1);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeInTheIterationOfARead.answersTheRequest")
{
    // Guards against aborting a request whose read has completed, but whose session has not resumed yet when the port is closed.
    read();
    write(lookupRequest);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    // The timer expires in the iteration in which the read completes; its handler runs after the handler of the read and before the session resumes.
    asio::steady_timer closeTimer(loop, 20ms);
    closeTimer.async_wait([&](ErrorCode) { listener->close(); });
    blockLoop(50ms, lookupRequest);
    runFor(150ms);
    CHECK(handledRequests == 2);
    CHECK(undeliveredCauses.empty());
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithAnIdleConnection.closesTheConnection")
{
    // Guards against idle connections that delay the exit of the process.
    read();
    write(lookupRequest);
    runFor(50ms);
    listener->close();
    runFor(50ms);
    CHECK(received.ends_with("done<end>"));
    CHECK(listener->pendingRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWhileAnAnswerIsWritten.closesTheConnectionAfterIt")
{
    // Guards against a connection that becomes idle after the port was closed and then stays open until the idle timeout.
    body = std::string(32U << 20U, 'a');
    write(lookupRequest);
    runFor(50ms);
    listener->close();
    read();
    runFor(500ms);
    CHECK(received.size() > body.size());
    CHECK(received.ends_with("a<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithAConnectionInTheBacklog.answersItsRequest")
{
    // Guards against requests on new connections that are reset because the event loop has not accepted them yet when the port is closed.
    Tcp::socket secondCaller(loop);
    secondCaller.connect(listener->address());
    asio::write(secondCaller, asio::buffer(lookupRequest));
    listener->close();
    CHECK(listener->pendingRequests() == 1);
    runFor(50ms);
    ErrorCode error;
    std::array<char, 4096> bytes {};
    secondCaller.non_blocking(true);
    const size_t size = secondCaller.read_some(asio::buffer(bytes), error);
    CHECK(std::string(bytes.data(), size).ends_with("done"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerThatShutsDownSending.receivesItsAnswer")
{
    // Guards against a response that is dropped because a half-closed connection is treated as closed by the caller.
    handlerDelay = 100ms;
    read();
    write(lookupRequest);
    caller.shutdown(Tcp::socket::shutdown_send);
    runFor(200ms);
    CHECK(undeliveredCauses.empty());
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "SocketOptions.socketThatThisProcessClosed.isNotReportedAsClosedByThePeer")
{
    // Guards against a close by this process, or a transient error, that is treated as a close by the caller.
    Tcp::socket closed(loop);
    CHECK_FALSE(isClosedByPeer(closed));
    CHECK_FALSE(isClosedByPeer(caller));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "SocketOptions.resetConnection.isReportedAsClosedByThePeer")
{
    // Guards against continued work for callers whose connection was reset.
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Tcp::socket secondCaller(loop);
    secondCaller.connect(acceptor.local_endpoint());
    Tcp::socket accepted = acceptor.accept();
    secondCaller.set_option(asio::socket_base::linger(true, 0));
    secondCaller.close();
    CHECK(isClosedByPeer(accepted));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.handlerThatThrows.isAnswered502AndClosed")
{
    // Guards against a connection that stays open without a response, and against a request that is still counted as active, so that a
    // graceful stop never completes.
    handlerThrows = true;
    read();
    write(lookupRequest);
    runFor(100ms);
    CHECK(received.starts_with("HTTP/1.1 502"));
    CHECK(received.find("Not-Run") == std::string::npos);
    CHECK(listener->activeRequests() == 0);
    caller.shutdown(Tcp::socket::shutdown_send);
    runFor(50ms);
    CHECK(received.ends_with("<end>"));
    CHECK(listener->pendingRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.exceptionBeforeTheHandler.isAnswered503AsNotRun")
{
    // Guards against reporting an unknown outcome for a request that was never dispatched.
    read();
    write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
    runFor(50ms);
    limitsThrow = true;
    write("ok" + lookupRequest);
    runFor(100ms);
    CHECK(handledRequests == 1);
    CHECK(received.find("HTTP/1.1 503") != std::string::npos);
    CHECK(received.find("Not-Run: yes") != std::string::npos);
    CHECK(listener->activeRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.requestWhoseCallerLeftDuringAPause.isCancelledBeforeItStarts")
{
    // Guards against a process that was paused for seconds and then runs the requests of callers that gave up meanwhile.
    asio::post(loop, [this] {
        write(lookupRequest);
        caller.close();
        std::this_thread::sleep_for(50ms);
    });
    runFor(200ms);
    CHECK(handledRequests == 1);
    CHECK(isCancelledAtStart);
}
