#include "connection/answerframings.h"
#include "connection/httpexchangefixture.h"
#include "connection/rawanswerserver.h"

using namespace carobjunction;

namespace
{

const Framings AnswersToR("Id: r\r\n");
const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

} // namespace

/** Exchanges with a server that sends a part of a response and ends the connection. */
struct CutAnswersFixture : HttpExchangeFixture {
    CutAnswersFixture() : server(loop, [this](Tcp::socket &socket, HttpRequest, RawAnswerServer::RequestPosition position) { return answer(socket, position); })
    {
    }

    Task<void> answer(Tcp::socket &socket, RawAnswerServer::RequestPosition position)
    {
        if (isOnReusedConnection && position.request == 1) {
            co_await RawAnswerServer::write(socket, CompleteResponse);
            co_return;
        }
        co_await RawAnswerServer::write(socket, part);
        RawAnswerServer::end(socket, ending);
    }

    /** Sends the first @p length bytes of a response, and ends the connection. */
    ExchangeEnd endOfResponseCutAt(const std::string &response, size_t length)
    {
        part = response.substr(0, length);
        const auto connections = std::make_shared<HttpClientPool>(loop, server.address(), PoolLimits {});
        if (isOnReusedConnection) {
            REQUIRE(exchange(*connections).end == ExchangeEnd::Answered);
        }
        return exchange(*connections).end;
    }

    /** Checks that no proper prefix of a response counts as an answer. */
    void checkPrefixes(const std::string &response)
    {
        for (size_t length = 0; length < response.size(); ++length) {
            CAPTURE(length);
            CHECK(endOfResponseCutAt(response, length) == ExchangeEnd::ResponseLost);
        }
    }

    void checkPrefixesAndWhole(const Framing &framing)
    {
        CAPTURE(framing.name);
        checkPrefixes(framing.whole());
        CHECK(endOfResponseCutAt(framing.whole(), std::string::npos) == ExchangeEnd::Answered);
    }

    std::string part;
    ConnectionEnd ending = ConnectionEnd::Close;
    bool isOnReusedConnection = false; /**< Whether the cut response is the second one on its connection. */
    RawAnswerServer server;
};

TEST_CASE_METHOD(CutAnswersFixture, "HttpClientPool.answerCutAtAnyByte.isLost")
{
    // Guards against a head or a body that breaks off and reaches the caller as a complete success.
    isOnReusedConnection = GENERATE(false, true);
    checkPrefixesAndWhole(AnswersToR.withLength);
    checkPrefixesAndWhole(AnswersToR.chunked);
    checkPrefixesAndWhole(AnswersToR.empty);
}

TEST_CASE_METHOD(CutAnswersFixture, "HttpClientPool.headCutAtAnyByteBeforeABodyWithoutLength.isLost")
{
    // Without a length, the end of the connection ends the body, but never the head.
    isOnReusedConnection = GENERATE(false, true);
    checkPrefixes(AnswersToR.untilClose.head);
    CHECK(endOfResponseCutAt(AnswersToR.untilClose.whole(), std::string::npos) == ExchangeEnd::Answered);
}

TEST_CASE_METHOD(CutAnswersFixture, "HttpClientPool.answerCutAfterAnInterimAnswer.isLost")
{
    // Guards against a final response that breaks off after a complete interim response.
    checkPrefixes(Interim + AnswersToR.withLength.whole());
    checkPrefixes(Interim + AnswersToR.chunked.whole());
}

TEST_CASE_METHOD(CutAnswersFixture, "HttpClientPool.answerResetAtAnyByte.isLost")
{
    ending = ConnectionEnd::Reset;
    checkPrefixes(AnswersToR.withLength.whole());
    checkPrefixes(AnswersToR.chunked.whole());
    checkPrefixes(AnswersToR.untilClose.whole());
    // A body without a length is complete only after an orderly close.
    CHECK(endOfResponseCutAt(AnswersToR.untilClose.whole(), std::string::npos) == ExchangeEnd::ResponseLost);
}
