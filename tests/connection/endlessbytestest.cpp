#include "connection/endlessserver.h"
#include "connection/httpexchangefixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t KiloByte = 1U << 10U;
constexpr uint64_t MegaByte = 1U << 20U;

const std::string Fields = "HTTP/1.1 200 OK\r\nId: r\r\n";
const std::string Piece = std::string(64 * KiloByte, 'x');

} // namespace

/** Exchanges with a server whose answers have no end. */
struct EndlessBytesFixture : HttpExchangeFixture {
    /** @return how an exchange ends whose answer begins with @p first, followed by @p repeated without end */
    ExchangeResult receive(const std::string &first, const std::string &repeated, Duration pause = Duration::zero())
    {
        EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { first, repeated, pause }; });
        PoolLimits limits;
        limits.sharedBodyBudget = sharedBodyBudget;
        const auto pool = std::make_shared<HttpClientPool>(loop, server.address(), limits);
        const ExchangeResult result = exchange(*pool, time);
        sent = server.sent;
        heldAfter = sharedBodyBudget->reservedBytes();
        loop.restart();
        loop.run_for(100ms);
        isClosed = server.ended == 1;
        return result;
    }

    std::shared_ptr<BodyBudget> sharedBodyBudget = std::make_shared<BodyBudget>(8 * MegaByte);
    Duration time = 5s;
    uint64_t sent = 0; /**< Bytes that the server could send before the exchange ended. */
    uint64_t heldAfter = 0;
    bool isClosed = false; /**< Whether the connection was closed then. */
};

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.body.endsAtTheRoomThatIsLeft")
{
    // Guards against one answer that is read up to 64 MB whatever memory is left: four of them are over that of a VM.
    constexpr uint64_t KernelBytes = 8 * MegaByte; // of both ends of a connection
    for (const auto &[framing, piece] : { std::pair<std::string, std::string> { "Content-Length: 60000000\r\n\r\n", Piece },
                                          { "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + Piece + "\r\n" },
                                          { "\r\n", Piece } }) {
        INFO(framing);
        CHECK(receive(Fields + framing, piece).end == ExchangeEnd::TooLarge);
        CHECK(sent < 7 * MegaByte + KernelBytes);
        CHECK(heldAfter == 0);
        CHECK(isClosed);
    }
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.answersOfOtherRequests.leaveNothingHeld")
{
    // Guards against skipped answers whose room isn't given back.
    const std::string foreign = "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: " + std::to_string(Piece.size()) + "\r\n\r\n" + Piece;
    CHECK(receive("", foreign).end == ExchangeEnd::ResponseLost);
    CHECK(heldAfter == 0);
    CHECK(isClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.bodyThatTrickles.endsAtTheDeadline")
{
    time = 200ms;
    CHECK(receive(Fields + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 5ms).end == ExchangeEnd::TimedOut);
    CHECK(heldAfter == 0);
    CHECK(isClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.head.endsAtItsLimit")
{
    // Guards against heads, chunk headers and trailers that fill the memory, since no body is read that could be counted.
    constexpr uint64_t KernelBytes = 8 * MegaByte; // of both ends of a connection
    const std::string chunked = Fields + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto &[first, piece] : { std::pair<std::string, std::string> { Fields + "Long: ", Piece },
                                        { Fields, "Field: value\r\n" },
                                        { "HTTP/1.1 200 ", Piece },
                                        { chunked + "1;extension=", Piece },
                                        { chunked + "1\r\nx\r\n0\r\n", "Trailer: value\r\n" },
                                        { chunked + "1\r\nx\r\n0\r\nTrailer: ", Piece } }) {
        INFO(first);
        CHECK(receive(first, piece).end == ExchangeEnd::TooLarge);
        CHECK(sent < MegaByte + KernelBytes);
        CHECK(isClosed);
    }
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.emptyLinesBeforeTheAnswer.endTheExchange")
{
    CHECK(receive("", "\r\n").end == ExchangeEnd::ResponseLost);
    CHECK(isClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.headThatTrickles.endsAtTheDeadline")
{
    time = 200ms;
    CHECK(receive(Fields + "Long: ", "x", 5ms).end == ExchangeEnd::TimedOut);
    CHECK(isClosed);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.interimAnswers.areNotTheAnswer")
{
    // Guards against an interim answer that is passed on as the backend server's last word, and against any number of them.
    isOfAnyRequest = true;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const ExchangeResult result = receive(interim + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + Complete, "");
    CHECK(result.end == ExchangeEnd::Answered);
    CHECK(result.response.result_int() == 200);
    CHECK(receive("", interim).end == ExchangeEnd::ResponseLost);
    CHECK(isClosed);
    CHECK(receive("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", Piece).end == ExchangeEnd::ResponseLost);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.completeAnswer.isCountedAsLongAsItIsHeld")
{
    {
        const std::string body(MegaByte, 'x');
        const ExchangeResult result = receive(Fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "");
        CHECK(result.end == ExchangeEnd::Answered);
        CHECK(result.response.body().size() == MegaByte);
        CHECK(heldAfter == MegaByte);
        HttpResponse answer = result.response;
        answer = HttpResponse(http::status::ok, 11);
        CHECK(sharedBodyBudget->reservedBytes() == MegaByte);
    }
    CHECK(sharedBodyBudget->reservedBytes() == 0);
}

TEST_CASE_METHOD(EndlessBytesFixture, "EndlessBytes.largeProperAnswer.passesWhenNothingElseIsHeld")
{
    const std::string body(6 * MegaByte, 'x');
    CHECK(receive(Fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "").end == ExchangeEnd::Answered);
    const auto other = sharedBodyBudget->reserve(MegaByte);
    REQUIRE(other);
    CHECK(receive(Fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "").end == ExchangeEnd::TooLarge);
}
