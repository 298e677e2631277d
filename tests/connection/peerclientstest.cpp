#include "connection/peerclients.h"
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
        std::optional<Result> result;
        asio::co_spawn(loop, std::move(task), [&](std::exception_ptr, Result value) { result = std::move(value); });
        loop.restart();
        while (!result && loop.run_one() > 0) { }
        REQUIRE(result.has_value());
        return std::move(*result);
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
