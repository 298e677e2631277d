#include "connection/httplistenerfixture.h"

#include "connection/messagefields.h"

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.keepAliveConnection.answersHaveAContentLength")
{
    // Guards against responses without a length, whose end a client on a keep-alive connection cannot detect; the first benchmark run
    // failed because of it.
    const std::string received = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(received.find("Content-Length: 4") != std::string::npos);
    CHECK(received.ends_with("done"));
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.pipelinedRequests.areAnsweredInOrder")
{
    const std::string received = send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(handledRequests == 2);
    CHECK(received.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.clientCloses.cancelsTheRequest")
{
    // Guards against continued work for callers that have closed their connection.
    handlerDelay = 5s;
    send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 200ms, true);
    CHECK(handledRequests == 1);
    CHECK(isCancelled);
    CHECK(listener->activeRequests() == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.ambiguousFraming.isRejected")
{
    // Guards against request smuggling.
    const std::vector<std::string> messages {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n\n\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nBad\rField: x\r\n\r\n",
    };
    for (const std::string &message : messages) {
        INFO(message);
        CHECK(send(message).starts_with("HTTP/1.1 400"));
    }
    CHECK(handledRequests == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.transferCodingOtherThanChunked.isRejectedWithItsBody")
{
    // Guards against request smuggling: a body without an end that was read as the next request.
    const auto [coding, status] = GENERATE(table<std::string, std::string>({ { "gzip", "400" },
                                                                             { "identity", "400" },
                                                                             { "xchunked", "400" },
                                                                             { "chunked, identity", "400" },
                                                                             { "chunked, chunked", "400" },
                                                                             { "chunked\r\nTransfer-Encoding: identity", "400" },
                                                                             { "", "400" },
                                                                             { "gzip, chunked", "501" } }));
    CAPTURE(coding);
    const std::string received = send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 " + status));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(handledRequests == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.chunkedInAnyCase.isServed")
{
    const std::string coding = GENERATE("chunked", "Chunked", "CHUNKED");
    CHECK(send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(lastRequest.body() == "abc");
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.limits.areEnforced")
{
    limits.headerBytes = 200;
    limits.bodyBytes = 10;
    CHECK(send("GET /" + std::string(400, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901").starts_with("HTTP/1.1 413"));
    CHECK(handledRequests == 0);
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.emptyHeaderField.reachesTheHandler")
{
    send("GET /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key:\r\n\r\n");
    CHECK(hasField(lastRequest, "Idempotency-Key"));
}

TEST_CASE_METHOD(HttpListenerFixture, "HttpListener.slowHeader.closesTheConnection")
{
    limits.headerTimeout = 50ms;
    CHECK(send("GET /a HT", 300ms).empty());
    CHECK(handledRequests == 0);
}
