#include "connection/httplistenerfixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE_METHOD(HttpListenerFixture, "EndlessCallers.chunkHeaderOrTrailerWithoutEnd.isRejected")
{
    // Guards against callers that exhaust the memory with chunk headers or trailers, which count neither as header nor as body.
    constexpr size_t Bytes = 300U << 10U;
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1";
    CHECK(send(head + ";extension=" + std::string(Bytes, 'x')).starts_with("HTTP/1.1 400"));
    CHECK(send(head + "\r\nx\r\n0\r\nTrailer: " + std::string(Bytes, 'x')).starts_with("HTTP/1.1 400"));
    CHECK(handledRequests == 0);
}
