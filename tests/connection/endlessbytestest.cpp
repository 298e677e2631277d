#include "connection/endlessserver.h"
#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t KiloByte = 1U << 10U;
constexpr uint64_t MegaByte = 1U << 20U;

const std::string StatusAndIdFields = "HTTP/1.1 200 OK\r\nId: r\r\n";
const std::string BodyPiece = std::string(64 * KiloByte, 'x');

} // namespace

/** HTTP exchanges with a server that sends responses of unlimited length. */
struct EndlessBytesFixture : HttpExchangeFixture {
    /**
     * Runs one exchange with a server that sends @p first, followed by @p repeated until the client closes the connection.
     * @param pause  delay between two repetitions
     */
    ExchangeResult runExchange(const std::string &first, const std::string &repeated, Duration pause = Duration::zero())
    {
        EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { first, repeated, pause }; });
        PoolLimits limits;
        limits.sharedBodyBudget = sharedBodyBudget;
        const auto pool = std::make_shared<HttpClientPool>(loop, server.address(), limits);
        const ExchangeResult result = exchange(*pool, timeout);
        sentBytes = server.sentBytes;
        reservedBytesAfter = sharedBodyBudget->reservedBytes();
        loop.restart();
        loop.run_for(100ms);
        isConnectionClosed = server.closedByClient == 1;
        return result;
    }

    std::shared_ptr<BodyBudget> sharedBodyBudget = std::make_shared<BodyBudget>(8 * MegaByte);
    Duration timeout = 5s;
    uint64_t sentBytes = 0; /**< Bytes of the repeated piece that the server had sent when the exchange ended. */
    uint64_t reservedBytesAfter = 0; /**< Bytes of the body budget still reserved after the exchange, while its result is alive. */
    bool isConnectionClosed = false; /**< Whether the client closed the connection after the exchange. */
};

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.body.isLimitedByTheFreeBudget")
{
    // Guards against a response that is read up to the 64 MB limit regardless of the free memory: four of them exceed the memory of a VM.
    constexpr uint64_t KernelBytes = 8 * MegaByte; // socket buffers of both ends of a connection
    for (const auto &[framing, piece] : { std::pair<std::string, std::string> { "Content-Length: 60000000\r\n\r\n", BodyPiece },
                                          { "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + BodyPiece + "\r\n" },
                                          { "\r\n", BodyPiece } }) {
        INFO(framing);
        CHECK(runExchange(StatusAndIdFields + framing, piece).end == ExchangeEnd::TooLarge);
        CHECK(sentBytes < 7 * MegaByte + KernelBytes);
        CHECK(reservedBytesAfter == 0);
        CHECK(isConnectionClosed);
    }
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.answersOfOtherRequests.releaseTheirBytes")
{
    // Guards against skipped responses whose bytes are not released to the body budget.
    const std::string answerToOtherRequest = "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: " + std::to_string(BodyPiece.size()) + "\r\n\r\n" + BodyPiece;
    CHECK(runExchange("", answerToOtherRequest).end == ExchangeEnd::ResponseLost);
    CHECK(reservedBytesAfter == 0);
    CHECK(isConnectionClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.slowBody.timesOutAtTheDeadline")
{
    timeout = 200ms;
    CHECK(runExchange(StatusAndIdFields + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5ms).end == ExchangeEnd::TimedOut);
    CHECK(reservedBytesAfter == 0);
    CHECK(isConnectionClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.header.isLimitedInSize")
{
    // Guards against response headers, chunk headers and trailers that exhaust the memory, since the body budget counts body bytes only.
    constexpr uint64_t KernelBytes = 8 * MegaByte; // socket buffers of both ends of a connection
    const std::string chunked = StatusAndIdFields + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto &[first, piece] : { std::pair<std::string, std::string> { StatusAndIdFields + "Long: ", BodyPiece },
                                        { StatusAndIdFields, "Field: value\r\n" },
                                        { "HTTP/1.1 200 ", BodyPiece },
                                        { chunked + "1;extension=", BodyPiece },
                                        { chunked + "1\r\nx\r\n0\r\n", "Trailer: value\r\n" },
                                        { chunked + "1\r\nx\r\n0\r\nTrailer: ", BodyPiece } }) {
        INFO(first);
        CHECK(runExchange(first, piece).end == ExchangeEnd::TooLarge);
        CHECK(sentBytes < MegaByte + KernelBytes);
        CHECK(isConnectionClosed);
    }
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.emptyLinesBeforeTheAnswer.endTheExchange")
{
    CHECK(runExchange("", "\r\n").end == ExchangeEnd::Malformed);
    CHECK(isConnectionClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.slowHeader.timesOutAtTheDeadline")
{
    timeout = 200ms;
    CHECK(runExchange(StatusAndIdFields + "Long: ", "x", 5ms).end == ExchangeEnd::TimedOut);
    CHECK(isConnectionClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.interimAnswers.areNotTheFinalAnswer")
{
    // Guards against an interim response that is forwarded as the final response, and against an unlimited number of interim responses.
    acceptsAnyResponse = true;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const ExchangeResult result = runExchange(interim + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + CompleteResponse, "");
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.result_int() == 200);
    CHECK(runExchange("", interim).end == ExchangeEnd::ResponseLost);
    CHECK(isConnectionClosed);
    CHECK(runExchange("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", BodyPiece).end == ExchangeEnd::ResponseLost);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.completeAnswer.isCountedUntilItIsDestroyed")
{
    {
        const std::string body(MegaByte, 'x');
        const ExchangeResult result = runExchange(StatusAndIdFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "");
        CHECK(result.end == ExchangeEnd::Answered);
        CHECK(result.response.body().size() == MegaByte);
        CHECK(reservedBytesAfter == MegaByte);
        HttpResponse answer = result.response;
        answer = HttpResponse(http::status::ok, 11);
        CHECK(sharedBodyBudget->reservedBytes() == MegaByte);
    }
    CHECK(sharedBodyBudget->reservedBytes() == 0);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.largeValidAnswer.isAcceptedWhileTheBudgetIsFree")
{
    const std::string body(6 * MegaByte, 'x');
    CHECK(runExchange(StatusAndIdFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "").end == ExchangeEnd::Answered);
    const auto other = sharedBodyBudget->reserve(MegaByte);
    REQUIRE(other);
    CHECK(runExchange(StatusAndIdFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "").end == ExchangeEnd::TooLarge);
}
