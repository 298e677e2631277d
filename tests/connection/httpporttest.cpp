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
        number = port.start("127.0.0.1:0");
        client = std::make_unique<httplib::Client>("127.0.0.1", number);
        client->set_keep_alive(true);
    }

    HttpPort port { 4, 8U << 20U };
    int number = 0;
    std::unique_ptr<httplib::Client> client;
};

} // namespace

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.bodiesOfAllSizes.comeBackWholeOnOneConnection")
{
    // Guards against bytes lost or mixed between requests in the buffer of the stream.
    REQUIRE(number > 0);
    for (const size_t size : { size_t(0), size_t(1), size_t(4095), size_t(4096), size_t(4097), size_t(3) << 20U }) {
        const std::string body(size, static_cast<char>('a' + size % 7));
        const auto result = client->Post("/echo", body, "text/plain");
        REQUIRE(result);
        CHECK(result->body == body);
    }
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.drain.endsTheConnectionWithTheNextAnswer")
{
    // Guards against callers that stay on a daemon until its port closes under them.
    CHECK(client->Post("/echo", "x", "text/plain")->get_header_value("Connection") != "close");
    port.beginDrain();
    CHECK(client->Post("/echo", "x", "text/plain")->get_header_value("Connection") == "close");
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.stopWithIdleConnection.returns")
{
    // Guards against a stop that waits for the keep-alive time of idle connections.
    CHECK(client->Post("/echo", "x", "text/plain"));
    port.stop();
    CHECK_FALSE(client->Post("/echo", "x", "text/plain"));
}

TEST_CASE_METHOD(HttpPortFixture, "HttpPort.portTaken.isRefused")
{
    // Guards against two daemons that share one port and its calls.
    HttpPort second(1, 1024);
    CHECK(second.start("127.0.0.1:" + std::to_string(number)) == 0);
}
