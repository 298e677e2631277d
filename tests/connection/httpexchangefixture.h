#pragma once

#include "connection/scriptedserver.h"

#include "connection/httpclientpool.h"
#include "connection/messagefields.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

namespace carobjunction
{

/** Complete response of a scripted server to a request of HttpExchangeFixture. */
inline const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok";

/** HTTP exchanges with a scripted server over a connection pool. */
struct HttpExchangeFixture {
    ExchangeResult exchange(HttpClientPool &pool, Duration time = std::chrono::seconds(2), const std::string &body = "")
    {
        HttpRequest request(http::verb::post, "/x", 11);
        request.set(http::field::host, "a");
        request.body() = body;
        request.prepare_payload();
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + time;
        options.matchesRequest = [this](const HttpResponse &response) {
            return acceptsAnyResponse || fieldValue(response, "Id") == "r";
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
    bool acceptsAnyResponse = false; /**< Whether responses without the id of the request are accepted. */
};

} // namespace carobjunction
