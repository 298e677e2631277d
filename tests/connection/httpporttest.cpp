#include "connection/httpport.h"

#include <catch2/catch.hpp>
#include <httplib.h>

using namespace carobjunction;

namespace
{

class HttpPortFixture
{
public:
    HttpPortFixture()
    {
        port.server().Post("/echo", [](const httplib::Request &request, httplib::Response &response) { response.set_content(request.body, "text/plain"); });
        boundPort = port.start("127.0.0.1:0");
        client = std::make_unique<httplib::Client>("127.0.0.1", boundPort);
        client->set_keep_alive(true);
    }

    HttpPort port { 4, 8U << 20U };
    int boundPort = 0;
    std::unique_ptr<httplib::Client> client;
};

} // namespace

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.bodiesOfAllSizes.areEchoedCompletelyOnOneConnection")
{
    // Guards against bytes that are lost, or assigned to another request, in the stream buffer.
    REQUIRE(boundPort > 0);
    for (const size_t size : { size_t(0), size_t(1), size_t(4095), size_t(4096), size_t(4097), size_t(3) << 20U }) {
        const std::string body(size, static_cast<char>('a' + size % 7));
        const auto result = client->Post("/echo", body, "text/plain");
        REQUIRE(result);
        CHECK(result->body == body);
    }
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.drain.closesTheConnectionWithTheNextAnswer")
{
    // Guards against callers that keep using a draining daemon until its port is closed.
    CHECK(client->Post("/echo", "x", "text/plain")->get_header_value("Connection") != "close");
    port.beginDrain();
    CHECK(client->Post("/echo", "x", "text/plain")->get_header_value("Connection") == "close");
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.stopWithIdleConnection.returns")
{
    // Guards against a stop that waits for the keep-alive timeout of idle connections.
    CHECK(client->Post("/echo", "x", "text/plain"));
    port.stop();
    CHECK_FALSE(client->Post("/echo", "x", "text/plain"));
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.portInUse.isRefused")
{
    // Guards against two daemons that listen on the same port and share its requests.
    HttpPort second(1, 1024);
    CHECK(second.start("127.0.0.1:" + std::to_string(boundPort)) == 0);
}
