#include "connection/responseparser.h"

#include <boost/asio/error.hpp>

#include <catch2/catch.hpp>

using namespace carobjunction;

namespace
{

/** Result of parsing all bytes of a stream. */
struct ParsedStream {
    ErrorCode error;
    bool isComplete = false;
    HttpResponse response; /**< Set if the response is complete. */

    bool is(ResponseDefect defect) const
    {
        return error == makeErrorCode(defect);
    }
};

} // namespace

/** Parses responses that arrive in pieces of a chosen size. */
struct ResponseParserFixture {
    static constexpr uint32_t MaxHeaderBytes = 1U << 10U;
    static constexpr uint64_t MaxBodyBytes = 1U << 10U;

    ParsedStream parse(const std::string &stream, size_t pieceBytes) const
    {
        ResponseParser parser(MaxHeaderBytes, MaxBodyBytes, answersHead);
        ParsedStream result;
        std::string unparsed;
        for (size_t at = 0; at < stream.size() && !parser.isComplete() && !result.error; at += pieceBytes) {
            unparsed += stream.substr(at, pieceBytes);
            size_t consumed = 0;
            do {
                consumed = parser.parse(unparsed, result.error);
                unparsed.erase(0, consumed);
            } while (consumed > 0 && !parser.isComplete() && !result.error);
        }
        if (!result.error && !parser.isComplete()) {
            result.error = parser.finish(end);
        }
        result.isComplete = !result.error && parser.isComplete();
        if (result.isComplete) {
            result.response = parser.release();
        }
        return result;
    }

    /** Checks that a stream has a defect, also if it arrives byte by byte. */
    void checkHasDefect(const std::string &stream, ResponseDefect defect) const
    {
        for (const size_t pieceBytes : { stream.size(), size_t { 1 }, size_t { 7 } }) {
            CAPTURE(stream, pieceBytes);
            const ParsedStream result = parse(stream, pieceBytes);
            CHECK(result.error.message() == makeErrorCode(defect).message());
            CHECK_FALSE(result.isComplete);
        }
    }

    /** Checks that a stream is a complete response with a body, also if it arrives byte by byte. */
    void checkHasBody(const std::string &stream, const std::string &body) const
    {
        for (const size_t pieceBytes : { stream.size(), size_t { 1 }, size_t { 7 } }) {
            CAPTURE(stream, pieceBytes);
            const ParsedStream result = parse(stream, pieceBytes);
            CHECK(result.error.message() == ErrorCode().message());
            REQUIRE(result.isComplete);
            CHECK(result.response.body() == body);
        }
    }

    StreamEnd end = StreamEnd::Orderly;
    bool answersHead = false; /**< Whether the request has the method HEAD. */
};

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.statusCode.isAcceptedOnlyFrom100To599")
{
    for (int status = 0; status <= 999; ++status) {
        const std::string digits = std::to_string(1000 + status).substr(1);
        const std::string stream = "HTTP/1.1 " + digits + " Reason\r\nContent-Length: 0\r\n\r\n";
        CAPTURE(digits);
        const ParsedStream result = parse(stream, stream.size());
        const bool isDefined = status >= 100 && status <= 599;
        CHECK(result.isComplete == isDefined);
        CHECK(result.is(ResponseDefect::StatusCode) == !isDefined);
    }
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.garbledStatusLine.isADefect")
{
    for (const std::string line : { "HTTP/1.1 20 OK",
                                    "HTTP/1.1 2000 OK",
                                    "HTTP/1.1 2x0 OK",
                                    "HTTP/1.1  200 OK",
                                    "HTTP/1.1 -20 OK",
                                    "HTTP/2.0 200 OK",
                                    "HTTP/1.1\t200 OK",
                                    "http/1.1 200 OK",
                                    "HTTP/1.1 200 O\x01K",
                                    " HTTP/1.1 200 OK",
                                    "garbage that is no answer" }) {
        checkHasDefect(line + "\r\nContent-Length: 0\r\n\r\n", ResponseDefect::StatusLine);
    }
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.bodyWithoutLength.isCompleteOnlyAtAnOrderlyEnd")
{
    const std::string stream = "HTTP/1.1 200 OK\r\n\r\nwhole";
    checkHasBody(stream, "whole");
    end = StreamEnd::Reset;
    CHECK(parse(stream, stream.size()).error == asio::error::connection_reset);
    CHECK(parse(stream, 1).error == asio::error::connection_reset);
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.resetAfterACompleteResponse.doesNotChangeIt")
{
    end = StreamEnd::Reset;
    checkHasBody("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkHasBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole");
}
