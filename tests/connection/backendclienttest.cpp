#include "connection/backendclient.h"
#include "connection/socketaddress.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <atomic>
#include <thread>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

class BackendClientFixture
{
public:
    BackendClientFixture()
    {
        server.Get("/whole", [this](const httplib::Request &, httplib::Response &response) {
            ++handlerCalls;
            response.set_content("whole answer", "text/plain");
        });
        server.Post("/short", [this](const httplib::Request &, httplib::Response &response) {
            ++handlerCalls;
            // Declares a body of 100 bytes and closes the connection after 10.
            response.set_content_provider(100, "text/plain", [](size_t, size_t, httplib::DataSink &sink) {
                sink.write("0123456789", 10);
                return false;
            });
        });
        server.Post("/shed", [](const httplib::Request &, httplib::Response &response) {
            response.status = 503;
            response.set_header("Carob-Outcome", "not-run");
        });
        server.Post("/slow", [this](const httplib::Request &, httplib::Response &response) {
            ++handlerCalls;
            std::this_thread::sleep_for(400ms);
            response.set_content("late", "text/plain");
        });
        port = server.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] { server.listen_after_bind(); });
        client.setAddress({ "127.0.0.1", static_cast<uint16_t>(port) });
    }

    ~BackendClientFixture()
    {
        server.stop();
        thread.join();
    }

    static CallRequest request(const std::string &method, const std::string &path, Duration remaining = 5s)
    {
        CallRequest request;
        request.requestId = "r1";
        request.method = method;
        request.path = path;
        request.deadline = Deadline::after(SteadyClock().now(), remaining);
        return request;
    }

    httplib::Server server;
    std::thread thread;
    int port = 0;
    std::atomic<int> handlerCalls { 0 };
    BackendClient client { 1U << 20U };
};

} // namespace

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.wholeAnswer.isRan")
{
    // Guards against a complete response whose status or body is lost in the client.
    const CallResult result = client.call(request("GET", "/whole"));
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.status == 200);
    CHECK(result.body == "whole answer");
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.answerShorterThanItsLength.isUnknownAndNotRepeated")
{
    // Guards against a truncated response that is reported as complete, and against an implicit retry by the HTTP library.
    const CallResult result = client.call(request("POST", "/short"));
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.reason == Reason::AnswerLost);
    CHECK(handlerCalls == 1);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.shedRequest.isNotRun")
{
    // Guards against reporting an unknown outcome although the backend server confirmed that the request did not run.
    const CallResult result = client.call(request("POST", "/shed"));
    CHECK(result.outcome == Outcome::NotRun);
    CHECK(result.reason == Reason::Shed);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.noAnswerByTheDeadline.isUnknown")
{
    // Guards against reporting "not run" for a request that the backend server is still processing.
    const CallResult result = client.call(request("POST", "/slow", 50ms));
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.reason == Reason::DeadlineExceeded);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.answerAboveTheLimit.ranAndIsReportedAsTooLarge")
{
    // Guards against returning a truncated response when the body exceeds the limit.
    BackendClient limitedClient(4);
    limitedClient.setAddress({ "127.0.0.1", static_cast<uint16_t>(port) });
    const CallResult result = limitedClient.call(request("GET", "/whole"));
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.reason == Reason::AnswerTooLarge);
    CHECK(result.body.empty());
}

TEST_CASE("BackendClient.connectionRefused.isNotRun")
{
    // Guards against reporting "unknown" for a request that was never sent.
    BackendClient client(1U << 20U);
    // Port 1 is reserved and has no listener.
    client.setAddress({ "127.0.0.1", 1 });
    const CallResult result = client.call(BackendClientFixture::request("POST", "/whole"));
    CHECK(result.outcome == Outcome::NotRun);
    CHECK(result.reason == Reason::TargetDown);
    CHECK_FALSE(client.acceptsConnections());
}

TEST_CASE("BackendClient.serverThatAcceptsNoConnectionInTime.isNotTakenForCrashed")
{
    // Guards against running requests that are given up because their busy backend server is slow to accept another connection.
    asio::io_context loop;
    Tcp::acceptor acceptor(loop);
    acceptor.open(Tcp::v4());
    acceptor.bind(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor.listen(0);
    std::vector<Tcp::socket> queuedSockets;
    for (int i = 0; i < 4; ++i) {
        queuedSockets.emplace_back(loop).async_connect(acceptor.local_endpoint(), [](ErrorCode) {});
    }
    loop.run_for(50ms);
    BackendClient client(1U << 20U);
    client.setAddress({ "127.0.0.1", acceptor.local_endpoint().port() });
    const CallResult result = client.call(BackendClientFixture::request("POST", "/whole"));
    CHECK(result.outcome == Outcome::NotRun);
    CHECK(result.reason == Reason::Full);
    CHECK(client.acceptsConnections());
}
