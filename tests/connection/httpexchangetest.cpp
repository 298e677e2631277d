#include "connection/httpclientpool.h"
#include "connection/httplistener.h"
#include "connection/messagefields.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <deque>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/**
 * Accepts connections, one after the other, and sends the next script whenever it has read something. "<end>" closes the connection
 * after the script, "<drain>" reads on until the client closes.
 */
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &loop, std::deque<std::string> scripts)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), m_scripts(std::move(scripts))
    {
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    int connections = 0;

private:
    Task<void> accept()
    {
        while (!m_scripts.empty()) {
            ErrorCode error;
            Tcp::socket socket = co_await m_acceptor.async_accept(into(error));
            ++connections;
            co_await serve(socket);
        }
    }

    Task<void> serve(Tcp::socket &socket)
    {
        std::array<char, 65536> bytes {};
        while (!m_scripts.empty()) {
            ErrorCode error;
            co_await socket.async_read_some(asio::buffer(bytes), into(error));
            if (error) {
                co_return;
            }
            const std::string script = m_scripts.front();
            m_scripts.pop_front();
            const bool isEnd = script.ends_with("<end>");
            const bool isDrain = script.ends_with("<drain>");
            const std::string text = isEnd || isDrain ? script.substr(0, script.rfind('<')) : script;
            co_await asio::async_write(socket, asio::buffer(text), into(error));
            while (isDrain && !error) {
                co_await socket.async_read_some(asio::buffer(bytes), into(error));
            }
            if (isEnd || isDrain) {
                co_return;
            }
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    std::deque<std::string> m_scripts;
};

const std::string Complete = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";

} // namespace

struct HttpExchangeFixture {
    ExchangeResult exchange(HttpClientPool &pool, Duration time = 2s, const std::string &body = "")
    {
        HttpRequest request(http::verb::post, "/x", 11);
        request.set(http::field::host, "a");
        request.body() = body;
        request.prepare_payload();
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + time;
        options.belongs = [](const HttpResponse &response) {
            return fieldText(response, "Id") == "r";
        };
        std::optional<ExchangeResult> result;
        asio::co_spawn(
            loop, [&]() -> Task<void> { result = co_await pool.exchange(request, options, std::make_shared<Cancellation>()); }, asio::detached);
        while (!result && loop.run_one() > 0) { }
        REQUIRE(result.has_value());
        return *result;
    }

    std::shared_ptr<HttpClientPool> pool(const ScriptedServer &server)
    {
        return std::make_shared<HttpClientPool>(loop, server.address(), PoolLimits {});
    }

    asio::io_context loop { 1 };
};

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.completeAnswers.shareAConnection")
{
    ScriptedServer server(loop, { Complete, Complete });
    const auto connections = pool(server);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchange(*connections);
    CHECK(second.end == ExchangeEnd::Answered);
    CHECK(second.response.body() == "ok");
    CHECK(server.connections == 1);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerOfAnotherRequest.isSkipped")
{
    // Guards against an extra answer that arrives where the next one is due.
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: 5\r\n\r\nwrong" + Complete });
    const ExchangeResult result = exchange(*pool(server));
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.body() == "ok");
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.bytesAfterTheAnswer.endTheConnection")
{
    ScriptedServer server(loop, { Complete + "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nextra", Complete });
    const auto connections = pool(server);
    CHECK(exchange(*connections).response.body() == "ok");
    // The second exchange must not take the extra bytes for its answer.
    CHECK(exchange(*connections).response.body() == "ok");
    CHECK(connections->connectionsOpened() == 2);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.truncatedAnswer.isLost")
{
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nok<end>" });
    CHECK(exchange(*pool(server)).end == ExchangeEnd::Lost);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerWithoutLength.endsWithTheConnection")
{
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: r\r\n\r\nwhole body<end>" });
    const ExchangeResult result = exchange(*pool(server));
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.body() == "whole body");
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.bytesThatAreNoAnswer.areLost")
{
    ScriptedServer server(loop, { "garbage\r\n\r\n<end>" });
    CHECK(exchange(*pool(server)).end == ExchangeEnd::Lost);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.silentServer.timesOutAtTheDeadline")
{
    ScriptedServer server(loop, { "<drain>" });
    CHECK(exchange(*pool(server), 100ms).end == ExchangeEnd::TimedOut);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.nobodyListens.nothingIsSent")
{
    Tcp::acceptor closed(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Tcp::endpoint address = closed.local_endpoint();
    closed.close();
    const auto connections = std::make_shared<HttpClientPool>(loop, address, PoolLimits {});
    CHECK(exchange(*connections).end == ExchangeEnd::NotSent);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerBeforeALongBody.isTakenAndEndsTheConnection")
{
    // Guards against other bytes where the rest of the body is due.
    ScriptedServer server(loop, { Complete + "<drain>", Complete });
    const auto connections = pool(server);
    CHECK(exchange(*connections, 2s, std::string(8U << 20U, 'x')).end == ExchangeEnd::Answered);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->connectionsOpened() == 2);
}

struct HttpListenerFixture {
    HttpListenerFixture()
    {
        ErrorCode error;
        listener = HttpListener::open(
            loop,
            Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
            [this](HttpRequest request, CancellationPtr cancellation) { return handle(std::move(request), std::move(cancellation)); },
            [this] { return limits; },
            error);
        REQUIRE(listener != nullptr);
    }

    Task<MaybeResponse> handle(HttpRequest request, CancellationPtr cancellation)
    {
        ++handled;
        lastRequest = request;
        asio::steady_timer timer(loop, handlingTime);
        const Cancellation::Registration registration(*cancellation, [&] { timer.cancel(); });
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        wasCancelled = cancellation->isRequested();
        HttpResponse response(http::status::ok, 11);
        response.body() = "done";
        co_return response;
    }

    /** @return all bytes that the listener sends before it closes, or within @p time */
    std::string send(const std::string &bytes, Duration time = 300ms, bool thenClose = false)
    {
        Tcp::socket socket(loop);
        socket.connect(listener->address());
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::array<char, 4096> buffer {};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer), [&](ErrorCode error, size_t size) {
                received.append(buffer.data(), size);
                if (!error) {
                    read();
                }
            });
        };
        if (thenClose) {
            loop.run_for(20ms);
            socket.close();
        } else {
            read();
        }
        loop.restart();
        loop.run_for(time);
        socket.close();
        loop.restart();
        loop.run_for(10ms);
        return received;
    }

    asio::io_context loop { 1 };
    ListenerLimits limits;
    std::shared_ptr<HttpListener> listener;
    Duration handlingTime = 0ms;
    int handled = 0;
    bool wasCancelled = false;
    HttpRequest lastRequest;
};

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.keptConnection.answersCarryTheirLength")
{
    // Guards against answers whose end a client on a kept connection can't find: the first run on the bench failed by it.
    const std::string received = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(received.find("Content-Length: 4") != std::string::npos);
    CHECK(received.ends_with("done"));
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.pipelinedRequests.areAnsweredInOrder")
{
    const std::string received = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(handled == 2);
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.clientCloses.cancelsTheRequest")
{
    // Guards against work for callers that have left.
    handlingTime = 5s;
    send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200ms, true);
    CHECK(handled == 1);
    CHECK(wasCancelled);
    CHECK(listener->activeRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.ambiguousFraming.isRejected")
{
    // Guards against a request smuggled inside another one.
    const std::vector<std::string> messages {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n\n\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nBad\rField: x\r\n\r\n",
    };
    for (const std::string &message : messages) {
        INFO(message);
        CHECK(send(message).starts_with("HTTP/1.1 400"));
    }
    CHECK(handled == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.limits.areKept")
{
    limits.headerBytes = 200;
    limits.bodyBytes = 10;
    CHECK(send("GET /" + std::string(400, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901").starts_with("HTTP/1.1 413"));
    CHECK(handled == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.emptyHeaderField.reachesTheHandler")
{
    send("GET /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key:\r\n\r\n");
    CHECK(hasField(lastRequest, "Idempotency-Key"));
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.slowHeader.endsTheConnection")
{
    limits.headerTimeout = 50ms;
    CHECK(send("GET /a HT", 300ms).empty());
    CHECK(handled == 0);
}
