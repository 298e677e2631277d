#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.completeAnswers.shareAConnection")
{
    ScriptedServer server(loop, { CompleteResponse, CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchange(*connections);
    CHECK(second.end == ExchangeEnd::Answered);
    CHECK(second.response.body() == "ok");
    CHECK(server.connections == 1);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerOfAnotherRequest.isSkipped")
{
    // Guards against a surplus response that is attributed to the next request on the connection.
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: 5\r\n\r\nwrong" + CompleteResponse });
    const ExchangeResult result = exchange(*pool(server));
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.body() == "ok");
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.bytesAfterTheAnswer.closeTheConnection")
{
    ScriptedServer server(loop, { CompleteResponse + "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nextra", CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchange(*connections).response.body() == "ok");
    // The second exchange must not read the surplus bytes as its response.
    CHECK(exchange(*connections).response.body() == "ok");
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.truncatedAnswer.isLost")
{
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\nok<end>" });
    CHECK(exchange(*pool(server)).end == ExchangeEnd::ResponseLost);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerWithoutLength.endsWithTheConnection")
{
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nId: r\r\n\r\nwhole body<end>" });
    const ExchangeResult result = exchange(*pool(server));
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.body() == "whole body");
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.malformedAnswer.endsTheExchangeAsMalformed")
{
    ScriptedServer server(loop, { "garbage\r\n\r\n<end>" });
    CHECK(exchange(*pool(server)).end == ExchangeEnd::Malformed);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.silentServer.timesOutAtTheDeadline")
{
    ScriptedServer server(loop, { "<drain>" });
    CHECK(exchange(*pool(server), 100ms).end == ExchangeEnd::TimedOut);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.connectionRefused.nothingIsSent")
{
    Tcp::acceptor closed(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Tcp::endpoint address = closed.local_endpoint();
    closed.close();
    const auto connections = std::make_shared<HttpClientPool>(loop, address, PoolLimits {});
    CHECK(exchange(*connections).end == ExchangeEnd::NotSent);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.answerBeforeTheEndOfTheRequest.isAcceptedAndClosesTheConnection")
{
    // Guards against a reused connection on which the next request is sent where the server expects the rest of the previous body.
    ScriptedServer server(loop, { CompleteResponse + "<drain>", CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchange(*connections, 2s, std::string(8U << 20U, 'x')).end == ExchangeEnd::Answered);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(HttpExchangeFixture, "HttpClientPool.veryLongKeepAliveTimeout.keepsTheConnection")
{
    // Guards against a timeout in seconds that overflows when it is converted to milliseconds.
    const std::string response = "HTTP/1.1 200 OK\r\nId: r\r\nKeep-Alive: timeout=536870912\r\nContent-Length: 2\r\n\r\nok";
    ScriptedServer server(loop, { response, response });
    const auto connections = pool(server);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    CHECK(exchange(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 1);
}
