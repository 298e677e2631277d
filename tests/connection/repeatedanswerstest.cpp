#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

/** Exchanges in which an answer that names no request counts only as the first of its connection. */
struct RepeatedAnswersFixture : HttpExchangeFixture {
    /** @param body  of the request; long ones are sent while the answer is read */
    ExchangeResult exchangeNamed(HttpClientPool &connections, const std::string &body = "", bool requiresNewConnection = false)
    {
        HttpRequest request(http::verb::post, "/x", 11);
        request.set(http::field::host, "a");
        request.body() = body;
        request.prepare_payload();
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + 1s;
        options.matchesRequest = [](const HttpResponse &response) {
            return !hasField(response, "Id") || fieldValue(response, "Id") == "r";
        };
        options.identifiesRequest = [](const HttpResponse &response) {
            return hasField(response, "Id");
        };
        options.requiresNewConnection = requiresNewConnection;
        std::optional<ExchangeResult> result;
        asio::co_spawn(
            loop, [&]() -> Task<void> { result = co_await connections.exchange(request, options, std::make_shared<Cancellation>()); }, asio::detached);
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        REQUIRE(result.has_value());
        return *result;
    }

    static inline const std::string Unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    static inline const std::string Foreign = "HTTP/1.1 503 Service Unavailable\r\nId: former\r\nContent-Length: 0\r\n\r\n";
    static inline const std::string LongBody = std::string(8U << 20U, 'x');
};

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.unnamedAnswerOnAKeptConnection.isUnprovenAndEndsTheConnection")
{
    // Guards against the answer of an earlier request that is taken for that of the next one.
    ScriptedServer server(loop, { Complete, Unnamed, Complete });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchangeNamed(*connections);
    CHECK(second.end == ExchangeEnd::Unverified);
    CHECK(second.response.result() == http::status::ok); // no answer is handed out
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.unnamedAnswerOnANewConnection.countsAndKeepsTheConnection")
{
    ScriptedServer server(loop, { Unnamed, Complete });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).response.result() == http::status::service_unavailable);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 1);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.requestThatNeedsANewConnection.leavesTheIdleOnes")
{
    // Guards against a kept connection for a request whose answer can't name it.
    ScriptedServer server(loop, { Complete + "<end>", Unnamed });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeNamed(*connections, "", true).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.unnamedAnswerBeforeALongBody.isUnproven")
{
    // Guards against a repeated answer that is read before the request has left whole.
    ScriptedServer server(loop, { Complete, Unnamed + "<drain>", Complete });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeNamed(*connections, LongBody).end == ExchangeEnd::Unverified);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.foreignAnswerBeforeALongBody.isSkipped")
{
    ScriptedServer server(loop, { Complete, Foreign + Complete + "<drain>" });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchangeNamed(*connections, LongBody);
    CHECK(second.end == ExchangeEnd::Answered);
    CHECK(second.response.body() == "ok");
    CHECK(connections->openedConnectionCount() == 1);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerWrittenTwice.endsTheConnection")
{
    ScriptedServer server(loop, { Complete + Complete, Complete });
    const auto connections = pool(server);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeNamed(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}
