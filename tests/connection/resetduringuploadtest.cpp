#include "connection/brokenanswerserver.h"
#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr size_t UploadBytes = 8U << 20U; // more than the kernel buffers, so that the client is still writing when the connection ends
constexpr size_t LongBodyBytes = 200'000;

const std::string HeadWithoutLength = "HTTP/1.1 200 OK\r\nId: r\r\n\r\n";

} // namespace

/** Exchanges with a server that answers a long upload without a length before it has read the upload, and ends the connection. */
struct ResetDuringUploadFixture : HttpExchangeFixture {
    ResetDuringUploadFixture() : server(loop, [this](const HttpRequest &head, BrokenAnswerServer::RequestPosition) { return answerTo(head); })
    {
    }

    RawAnswer answerTo(const HttpRequest &head) const
    {
        return head[http::field::content_length] == "0" ? RawAnswer { CompleteResponse } : answer;
    }

    ExchangeResult upload()
    {
        const auto connections = std::make_shared<HttpClientPool>(loop, server.address(), PoolLimits {});
        if (isOnKeptConnection) {
            REQUIRE(exchange(*connections).end == ExchangeEnd::Answered);
        }
        return exchange(*connections, 5s, std::string(UploadBytes, 'u'));
    }

    RawAnswer answer;
    bool isOnKeptConnection = false;
    BrokenAnswerServer server;
};

TEST_CASE_METHOD(ResetDuringUploadFixture, "ResetDuringUpload.atAnyMoment.answerWithoutLengthIsLost")
{
    // Guards against a part of a body that counts as complete, because the write of the upload took the only report of the reset.
    isOnKeptConnection = GENERATE(false, true);
    const size_t before = GENERATE(size_t { 0 }, size_t { 100'000 });
    const size_t after = GENERATE(size_t { 0 }, size_t { 1'000'000 });
    for (const Duration delay : { 0ms, 1ms, 3ms, 10ms, 30ms, 100ms, 200ms }) {
        for (const std::string &part : { std::string(), std::string("a part"), std::string(LongBodyBytes, 'b') }) {
            CAPTURE(isOnKeptConnection, before, after, delay.count(), part.size());
            answer = { HeadWithoutLength + part, ConnectionEnd::Reset, before, after, delay };
            const ExchangeResult result = upload();
            CHECK(result.end == ExchangeEnd::ResponseLost);
            CHECK(result.response.body().empty());
        }
    }
}

TEST_CASE_METHOD(ResetDuringUploadFixture, "ResetDuringUpload.answerWithLength.isCompleteIfItArrivedWhole")
{
    for (const Duration delay : { 0ms, 20ms }) {
        CAPTURE(delay.count());
        answer = { CompleteResponse, ConnectionEnd::Reset, 0, 0, delay };
        CHECK(upload().end == ExchangeEnd::Answered);
    }
}

TEST_CASE_METHOD(ResetDuringUploadFixture, "OrderlyEndDuringUpload.atAnyMoment.answerWithoutLengthIsComplete")
{
    // The server ends its side in order after the body, and resets the connection only afterwards, as the upload goes on.
    isOnKeptConnection = GENERATE(false, true);
    for (const Duration delay : { 0ms, 1ms, 3ms, 10ms, 30ms, 100ms, 200ms }) {
        CAPTURE(isOnKeptConnection, delay.count());
        answer = { HeadWithoutLength + "whole", ConnectionEnd::Close, 0, 0, delay };
        const ExchangeResult result = upload();
        CHECK(result.end == ExchangeEnd::Answered);
        CHECK(result.response.body() == "whole");
    }
}

TEST_CASE_METHOD(ResetDuringUploadFixture, "OrderlyEndDuringUpload.longBodyAtAnyMoment.isCompleteOrLostButNeverPartial")
{
    // A server that closes at once discards what it has not sent yet, and resets the connection: the answer is lost then.
    isOnKeptConnection = GENERATE(false, true);
    for (const Duration delay : { 0ms, 1ms, 3ms, 10ms, 30ms, 100ms, 200ms }) {
        CAPTURE(isOnKeptConnection, delay.count());
        answer = { HeadWithoutLength + std::string(LongBodyBytes, 'b'), ConnectionEnd::Close, 0, 0, delay };
        const ExchangeResult result = upload();
        const bool isAnswered = result.end == ExchangeEnd::Answered;
        CHECK((isAnswered || result.end == ExchangeEnd::ResponseLost));
        CHECK(result.response.body().size() == (isAnswered ? LongBodyBytes : 0));
        CHECK((isAnswered || delay < 200ms)); // the body has left the server by then
    }
}
