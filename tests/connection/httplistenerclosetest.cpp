#include "connection/httplistenerclosefixture.h"

#include "connection/socketoptions.h"

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.answerThatIsDelivered.isNotReported")
{
    // Guards against false alarms.
    read();
    write(lookup);
    runFor(50ms);
    CHECK(received.ends_with("done"));
    CHECK(undelivered.empty());
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerLeavesBeforeItsAnswer.isReported")
{
    // Guards against answers that vanish without a line in the log.
    handlingTime = 5s;
    write(lookup);
    runFor(20ms);
    caller.close();
    runFor(100ms);
    CHECK(undelivered == std::vector { UndeliveredCause::CallerLeft });
    CHECK(undeliveredId == "r1");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.connectionsDropped.areReportedAsClosedByThisProcess")
{
    // Guards against a close by this process that the log blames on the caller.
    handlingTime = 5s;
    write(lookup);
    runFor(20ms);
    listener->dropConnections();
    runFor(50ms);
    CHECK(undelivered == std::vector { UndeliveredCause::ConnectionsDropped });
    CHECK(undeliveredId == "r1");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerThatDoesNotRead.isReportedWithTheTimerOfTheWrite")
{
    // Guards against a timer of this process that the log blames on the caller or the network.
    body = std::string(32U << 20U, 'a');
    limits.bodyTimeout = 50ms;
    write(lookup);
    runFor(300ms);
    CHECK(undelivered == std::vector { UndeliveredCause::WriteTimer });
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.handlerWithoutAnAnswer.isReported")
{
    // Guards against a request that was handed on and whose connection ends without a line in the log.
    givesNoAnswer = true;
    read();
    write(lookup);
    runFor(50ms);
    CHECK(received == "<end>");
    CHECK(undelivered == std::vector { UndeliveredCause::NoAnswer });
    CHECK(undeliveredId == "none");
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.resetWhileAnAnswerIsWritten.isReportedAsTheCallersClose")
{
    // Guards against a caller's reset that the log takes for a fault of the daemon.
    body = std::string(32U << 20U, 'a');
    write(lookup);
    runFor(50ms);
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    runFor(100ms);
    CHECK(undelivered == std::vector { UndeliveredCause::CallerLeft });
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.requestReadInTheTurnOfTheIdleTimersExpiry.isAnswered")
{
    // Guards against a timer that has expired, but was re-armed or disarmed since, and closes the connection under a request.
    limits.idleTimeout = 200ms;
    handlingTime = 50ms;
    read();
    write(lookup);
    runFor(100ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    holdUp(300ms, lookup);
    runFor(500ms);
    CHECK(handled == 2);
    CHECK(undelivered.empty());
    CHECK(received.find("done") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.requestThatArrivesAfterTheIdleTimersExpiry.isAnswered")
{
    // Guards against a connection that is closed as idle although a request waits in the socket: the timer's handler is in the queue first.
    limits.idleTimeout = 200ms;
    read();
    write(lookup);
    runFor(100ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    // Expires in the same turn as the idle timer and before it, so the request is sent when the idle timer's handler waits in the queue.
    asio::steady_timer before(loop, 20ms);
    before.async_wait([&](ErrorCode) { write(lookup); });
    holdUp(300ms, "");
    runFor(500ms);
    CHECK(undelivered.empty());
    CHECK(received.find("done") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.idleConnection.isClosedAtItsTime")
{
    // Guards against idle connections that stay open.
    limits.idleTimeout = 100ms;
    read();
    write(lookup);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    runFor(150ms);
    CHECK(received.ends_with("<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithARequestInTheSocket.answersItAndCloses")
{
    // Guards against requests that are cut because the loop has not seen their bytes yet when the port is closed.
    read();
    write(lookup);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    write(lookup);
    listener->close();
    runFor(100ms);
    CHECK(handled == 2);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithAPartOfARequest.answersItAndCloses")
{
    // Guards against requests that are cut because their header is not complete when the port is closed.
    read();
    write("GET /a HTTP/1.1\r\nHo");
    runFor(50ms);
    listener->close();
    runFor(20ms);
    write("st: h\r\n\r\n");
    runFor(100ms);
    CHECK(handled == 1);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeInTheTurnOfARead.answersTheRequest")
{
    // Guards against a request whose read has completed, but whose session has not gone on yet when the port is closed.
    read();
    write(lookup);
    runFor(50ms);
    REQUIRE(received.ends_with("done"));
    received.clear();
    // The timer expires in the turn in which the read completes; its handler comes after the one of the read and before the session.
    asio::steady_timer turn(loop, 20ms);
    turn.async_wait([&](ErrorCode) { listener->close(); });
    holdUp(50ms, lookup);
    runFor(150ms);
    CHECK(handled == 2);
    CHECK(undelivered.empty());
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWhileTheSocketIsWithoutBytes.closesTheConnection")
{
    // Guards against idle connections that hold up the end of the process.
    read();
    write(lookup);
    runFor(50ms);
    listener->close();
    runFor(50ms);
    CHECK(received.ends_with("done<end>"));
    CHECK(listener->pendingRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWhileAnAnswerIsWritten.closesTheConnectionAfterIt")
{
    // Guards against a connection that becomes idle after the port was closed and then stays open for the idle time.
    body = std::string(32U << 20U, 'a');
    write(lookup);
    runFor(50ms);
    listener->close();
    read();
    runFor(500ms);
    CHECK(received.size() > body.size());
    CHECK(received.ends_with("a<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.closeWithAConnectionThatWaitsToBeAccepted.answersItsRequest")
{
    // Guards against requests on new connections that are reset because the loop has not accepted them when the port is closed.
    Tcp::socket other(loop);
    other.connect(listener->address());
    asio::write(other, asio::buffer(lookup));
    listener->close();
    CHECK(listener->pendingRequests() == 1);
    runFor(50ms);
    ErrorCode error;
    std::array<char, 4096> bytes {};
    other.non_blocking(true);
    const size_t size = other.read_some(asio::buffer(bytes), error);
    CHECK(std::string(bytes.data(), size).ends_with("done"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.callerThatEndsItsSendingSide.getsItsAnswer")
{
    // Guards against an answer that is dropped because the end of the caller's stream is taken for the end of its interest.
    handlingTime = 100ms;
    read();
    write(lookup);
    caller.shutdown(Tcp::socket::shutdown_send);
    runFor(200ms);
    CHECK(undelivered.empty());
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.ends_with("done<end>"));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "SocketOptions.socketThatThisProcessClosed.isNotClosedByThePeer")
{
    // Guards against a close by this process, or a passing error, that counts as a caller who left.
    Tcp::socket closed(loop);
    CHECK_FALSE(isClosedByPeer(closed));
    CHECK_FALSE(isClosedByPeer(caller));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "SocketOptions.resetConnection.isClosedByThePeer")
{
    // Guards against work for callers whose connection was reset.
    Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Tcp::socket other(loop);
    other.connect(acceptor.local_endpoint());
    Tcp::socket accepted = acceptor.accept();
    other.set_option(asio::socket_base::linger(true, 0));
    other.close();
    CHECK(isClosedByPeer(accepted));
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.handlerThatThrows.isAnswered502AndClosed")
{
    // Guards against a connection that stays open without an answer, and a request that stays counted, so that no stop completes.
    throwsFault = true;
    read();
    write(lookup);
    runFor(100ms);
    CHECK(received.starts_with("HTTP/1.1 502"));
    CHECK(received.find("Not-Run") == std::string::npos);
    CHECK(listener->activeRequests() == 0);
    caller.shutdown(Tcp::socket::shutdown_send);
    runFor(50ms);
    CHECK(received.ends_with("<end>"));
    CHECK(listener->pendingRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerCloseFixture, "HttpListener.faultBeforeTheHandler.isAnswered503AsNotRun")
{
    // Guards against an unknown outcome where nothing was handed on.
    read();
    write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
    runFor(50ms);
    throwsInLimits = true;
    write("ok" + lookup);
    runFor(100ms);
    CHECK(handled == 1);
    CHECK(received.find("HTTP/1.1 503") != std::string::npos);
    CHECK(received.find("Not-Run: yes") != std::string::npos);
    CHECK(listener->activeRequests() == 0);
}
