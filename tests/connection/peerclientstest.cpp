#include "connection/peerclients.h"
#include "connection/awaittask.h"
#include "connection/rawanswerserver.h"

#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace carobjunction;
using namespace std::chrono_literals;

/** Peer daemon that writes a copy of its first result before each later response. */
struct RepeatingPeerFixture {
    RepeatingPeerFixture()
        : peer(loop, [this](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition position) {
            return answer(socket, std::move(message), position);
        })
    {
    }

    Task<void> answer(Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition position)
    {
        HttpResponse response(http::status::ok, 11);
        response.body() = "state";
        response.prepare_payload();
        if (const auto request = PeerCodec::decode(std::move(message), SteadyClock().now())) {
            ForwardResult result = ForwardResult::notRun(Reason::Full);
            result.outcome = position.request == 1 ? Outcome::NotRun : Outcome::Ran;
            result.call = request->call;
            response = PeerCodec::encode(std::move(result));
        }
        std::ostringstream text;
        text << response;
        const std::string bytes = firstResponse + text.str();
        firstResponse = firstResponse.empty() ? text.str() : firstResponse;
        co_await RawAnswerServer::write(socket, bytes);
    }

    template<typename Result>
    Result await(Task<Result> task)
    {
        return awaitTask(loop, std::move(task));
    }

    ForwardResult forward()
    {
        ForwardRequest request;
        request.message = HttpRequest(http::verb::post, "/x", 11);
        request.requestId = "r1";
        request.deadlineAt = SteadyClock().now() + 1s;
        return await(clients.forward(address(), true, request, std::make_shared<Cancellation>()));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(peer.address().port());
    }

    asio::io_context loop { 1 };
    std::string firstResponse;
    RawAnswerServer peer;
    PeerClients clients { loop };
};

TEST_CASE_METHOD(RepeatingPeerFixture, "PeerClients.repeatedResult.isNotAttributedToTheNextCall")
{
    // Guards against reporting "not run" for a request that runs on a peer, also if the peer refused the same request before.
    CHECK(forward().outcome == Outcome::NotRun);
    CHECK(forward().outcome == Outcome::Ran);
    CHECK(peer.connections == 1);
}

TEST_CASE_METHOD(RepeatingPeerFixture, "PeerClients.repeatedResult.isNotReadAsState")
{
    // Guards against the result of a forwarded request that is parsed as the routes or records of a peer.
    CHECK(forward().outcome == Outcome::NotRun);
    firstResponse.replace(firstResponse.find("503 Service Unavailable"), 23, "200 OK");
    CHECK(await(clients.fetchState(address(), StatePart::All)) == "state");
}

/** Peer daemon that answers each request after a delay. */
struct SlowPeerFixture {
    SlowPeerFixture()
        : peer(loop, [this](Tcp::socket &socket, HttpRequest message, RawAnswerServer::RequestPosition) { return answer(socket, std::move(message)); })
    {
    }

    Task<void> answer(Tcp::socket &socket, HttpRequest message)
    {
        ++requestCount;
        const auto request = PeerCodec::decode(std::move(message), SteadyClock().now());
        asio::steady_timer timer(loop, 200ms);
        ErrorCode ignored; // nothing cancels the timer
        co_await timer.async_wait(redirectError(ignored));
        ForwardResult result;
        result.outcome = Outcome::Ran;
        result.response = HttpResponse(http::status::ok, 11);
        result.call = request->call;
        std::ostringstream text;
        text << PeerCodec::encode(std::move(result));
        co_await RawAnswerServer::write(socket, text.str());
    }

    asio::io_context loop { 1 };
    int requestCount = 0;
    RawAnswerServer peer;
    PeerClients clients { loop };
};

TEST_CASE_METHOD(SlowPeerFixture, "PeerClients.vmRemovedDuringARequest.requestIsAnswered")
{
    // Guards against running work that is given up because its VM was removed from the directory after a time without reports.
    const std::string address = "127.0.0.1:" + std::to_string(peer.address().port());
    ForwardRequest request;
    request.message = HttpRequest(http::verb::post, "/x", 11);
    request.requestId = "r1";
    request.deadlineAt = SteadyClock().now() + 2s;
    std::optional<ForwardResult> result;
    asio::co_spawn(loop, clients.forward(address, true, request, std::make_shared<Cancellation>()), [&](std::exception_ptr, ForwardResult value) {
        result = std::move(value);
    });
    loop.run_for(50ms);
    clients.closeConnections(address);
    loop.restart();
    while (!result && loop.run_one() > 0) { }
    REQUIRE(result.has_value());
    CHECK(result->outcome == Outcome::Ran);
    CHECK(requestCount == 1);
}
