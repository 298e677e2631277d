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
            ++runs;
            response.set_content("whole answer", "text/plain");
        });
        server.Post("/short", [this](const httplib::Request &, httplib::Response &response) {
            ++runs;
            // Promises 100 bytes and ends the connection after 10.
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
            ++runs;
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
    std::atomic<int> runs { 0 };
    BackendClient client { 1U << 20U };
};

} // namespace

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.wholeAnswer.isRan")
{
    // Guards against an answer that loses its status or body on the way.
    const CallResult result = client.call(request("GET", "/whole"));
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.status == 200);
    CHECK(result.body == "whole answer");
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.answerShorterThanItsLength.isUnknownAndNotRepeated")
{
    // Guards against a cut answer that is passed on as whole, and against a silent second attempt by the HTTP library.
    const CallResult result = client.call(request("POST", "/short"));
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.reason == Reason::AnswerLost);
    CHECK(runs == 1);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.shedRequest.isNotRun")
{
    // Guards against treating a proven refusal as a lost request.
    const CallResult result = client.call(request("POST", "/shed"));
    CHECK(result.outcome == Outcome::NotRun);
    CHECK(result.reason == Reason::Shed);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.noAnswerByTheDeadline.isUnknown")
{
    // Guards against "not run" for a request that the backend server still works on.
    const CallResult result = client.call(request("POST", "/slow", 50ms));
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.reason == Reason::DeadlineExceeded);
}

TEST_CASE_METHOD(BackendClientFixture, "BackendClient.answerAboveTheLimit.ranAndIsRefusedClearly")
{
    // Guards against a cut answer when the body is too large.
    BackendClient small(4);
    small.setAddress({ "127.0.0.1", static_cast<uint16_t>(port) });
    const CallResult result = small.call(request("GET", "/whole"));
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.reason == Reason::AnswerTooLarge);
    CHECK(result.body.empty());
}

TEST_CASE("BackendClient.nobodyListens.isNotRun")
{
    // Guards against "unknown" for a request that was never sent.
    BackendClient client(1U << 20U);
    // Port 1 is reserved and has no listener.
    client.setAddress({ "127.0.0.1", 1 });
    const CallResult result = client.call(BackendClientFixture::request("POST", "/whole"));
    CHECK(result.outcome == Outcome::NotRun);
    CHECK(result.reason == Reason::TargetDown);
    CHECK_FALSE(client.acceptsConnections());
}
