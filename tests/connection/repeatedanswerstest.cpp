#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

/** HTTP exchanges in which a response without a request id is accepted only as the first response on its connection. */
struct RepeatedAnswersFixture : HttpExchangeFixture {
    /**
     * Runs one exchange.
     * @param body  body of the request; a long one is still being sent while the response is read
     * @param requiresNewConnection  does not reuse an idle connection
     */
    ExchangeResult exchangeWithId(HttpClientPool &connections, const std::string &body = "", bool requiresNewConnection = false)
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

    static inline const std::string ResponseWithoutId = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    static inline const std::string ResponseToOtherRequest = "HTTP/1.1 503 Service Unavailable\r\nId: former\r\nContent-Length: 0\r\n\r\n";
    static inline const std::string LongRequestBody = std::string(8U << 20U, 'x');
};

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerWithoutIdOnAReusedConnection.isUnverifiedAndClosesTheConnection")
{
    // Guards against a response to an earlier request that is attributed to the next request.
    ScriptedServer server(loop, { CompleteResponse, ResponseWithoutId, CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchangeWithId(*connections);
    CHECK(second.end == ExchangeEnd::Unverified);
    CHECK(second.response.result() == http::status::ok); // no response is returned
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerWithoutIdOnANewConnection.isAcceptedAndKeepsTheConnection")
{
    ScriptedServer server(loop, { ResponseWithoutId, CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).response.result() == http::status::service_unavailable);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 1);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.requestThatRequiresANewConnection.doesNotReuseAnIdleOne")
{
    // Guards against reusing a connection for a request whose response cannot identify it.
    ScriptedServer server(loop, { CompleteResponse + "<end>", ResponseWithoutId });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeWithId(*connections, "", true).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerWithoutIdBeforeTheEndOfTheRequest.isUnverified")
{
    // Guards against accepting a duplicate of an earlier response that arrives before the request has been sent completely.
    ScriptedServer server(loop, { CompleteResponse, ResponseWithoutId + "<drain>", CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeWithId(*connections, LongRequestBody).end == ExchangeEnd::Unverified);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerToAnotherRequestBeforeTheEndOfTheRequest.isSkipped")
{
    ScriptedServer server(loop, { CompleteResponse, ResponseToOtherRequest + CompleteResponse + "<drain>" });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    const ExchangeResult second = exchangeWithId(*connections, LongRequestBody);
    CHECK(second.end == ExchangeEnd::Answered);
    CHECK(second.response.body() == "ok");
    CHECK(connections->openedConnectionCount() == 1);
}

TEST_CASE_METHOD(RepeatedAnswersFixture, "HttpClientPool.answerWrittenTwice.closesTheConnection")
{
    ScriptedServer server(loop, { CompleteResponse + CompleteResponse, CompleteResponse });
    const auto connections = pool(server);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(exchangeWithId(*connections).end == ExchangeEnd::Answered);
    CHECK(connections->openedConnectionCount() == 2);
}
