#include "connection/responseparser.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <catch2/catch.hpp>

#include <cctype>
#include <cstring>

using namespace carobjunction;

namespace
{

/** Result of parsing all bytes of a stream. */
struct ParsedStream {
    ErrorCode error;
    bool isComplete = false;
    HttpResponse response; /**< Set if the response is complete. */

    bool hasDefect() const
    {
        return isResponseDefect(error);
    }

    bool is(ResponseDefect defect) const
    {
        return error == makeErrorCode(defect);
    }
};

/** @return whether a byte may be part of the name of a field (RFC 9110, 5.6.2) */
bool isTokenByte(char byte)
{
    return std::isalnum(static_cast<unsigned char>(byte)) != 0 || (byte != 0 && std::strchr("!#$%&'*+-.^_`|~", byte) != nullptr);
}

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

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.anyByteThatNoFieldNameMayHold.isADefectAtAnyPlace")
{
    // Guards against a garbled line that is passed on, or that no longer frames the body.
    const std::string name = GENERATE("Order", "Content-Length", "Transfer-Encoding", "Connection", "Id");
    const bool isInserted = GENERATE(false, true);
    const std::string value = name == "Content-Length" ? "5" : name == "Transfer-Encoding" ? "chunked" : "close";
    const std::string others = name == "Content-Length" || name == "Transfer-Encoding" ? "A: b\r\n" : "A: b\r\nContent-Length: 5\r\n";
    const std::string body = name == "Transfer-Encoding" ? "5\r\nwhole\r\n0\r\n\r\n" : "whole";
    for (int byte = 0; byte <= 0xff; ++byte) {
        for (size_t place = 0; place < name.size() + (isInserted ? 1 : 0); ++place) {
            const char garbage = static_cast<char>(byte);
            if (isTokenByte(garbage) || (garbage == ':' && place > 0)) {
                continue; // another valid name
            }
            std::string garbled = name;
            garbled.replace(place, isInserted ? 0 : 1, 1, garbage);
            const std::string line = garbled + ": " + value + "\r\n";
            for (const std::string &lines : { line + others, others + line, "B: c\r\n" + line + others }) {
                const std::string stream = "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body;
                for (const size_t pieceBytes : { stream.size(), size_t { 1 } }) {
                    CAPTURE(name, byte, place, lines, pieceBytes);
                    REQUIRE(parse(stream, pieceBytes).hasDefect());
                }
            }
        }
    }
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.controlByteInAFieldValue.isADefect")
{
    for (int byte = 0; byte <= 0x7f; ++byte) {
        const char control = static_cast<char>(byte);
        const std::string stream = std::string("HTTP/1.1 200 OK\r\nOrder: a") + control + "b\r\nContent-Length: 5\r\n\r\nwhole";
        const bool isAllowed = control == '\t' || (control >= ' ' && control != 0x7f);
        CAPTURE(byte);
        CHECK(parse(stream, stream.size()).isComplete == isAllowed);
        CHECK(parse(stream, 1).hasDefect() == !isAllowed);
    }
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.blankInTheBodyOrInAValue.isNoFoldedLine")
{
    checkHasBody("HTTP/1.1 200 OK\r\nOrder:  a b\t \r\nContent-Length: 5\r\n\r\n hole", " hole");
    checkHasBody("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nwho\r\n\tle", "who\r\n\tle");
    checkHasBody("HTTP/1.1 200 OK\r\n\r\n whole\r\n and more", " whole\r\n and more");
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.framing.isADefectUnlessItStatesOneEndOfTheBody")
{
    // Guards against a body that contains the framing of chunks, or bytes of another response.
    const std::string chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const std::string coding :
         { "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "chunke", "chunked;q=1", "", "gzip\r\nTransfer-Encoding: chunked" }) {
        checkHasDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n" + chunks, ResponseDefect::TransferCoding);
    }
    checkHasDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks, ResponseDefect::TransferCoding);
    checkHasDefect("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ResponseDefect::TransferCoding);
    checkHasDefect("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + chunks, ResponseDefect::TransferCoding);
    checkHasDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n" + chunks, ResponseDefect::ContentLength);
    for (const std::string length : { "", "-5", "+5", "5 5", "5, 6", "0x5", "5\r\nContent-Length: 6", "18446744073709551616", "five" }) {
        checkHasDefect("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nwhole", ResponseDefect::ContentLength);
    }
    for (const std::string chunk :
         { "x\r\nwhole\r\n0\r\n\r\n", "\r\nwhole\r\n0\r\n\r\n", "5\r\nwholeX\r\n0\r\n\r\n", "5 \r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole" }) {
        checkHasDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk, ResponseDefect::Chunk);
    }
    checkHasBody("HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n" + chunks, "whole");
    checkHasBody("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", "whole");
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.responseWithoutABody.endsWithItsHead")
{
    checkHasBody("HTTP/1.1 204 No Content\r\n\r\n", "");
    checkHasBody("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "");
    checkHasBody("HTTP/1.1 103 Early Hints\r\n\r\n", "");
    answersHead = true;
    checkHasBody("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "");
    checkHasBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "");
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.trailer.isCheckedAndAddsNothingToTheHeader")
{
    // Guards against a field behind the body that changes what the header has said, such as that the request did not run.
    const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string chunks : { "5\r\nwhole\r\n0\r\n", "2;x=y\r\nwh\r\n3\r\nole\r\n00;z\r\n" }) {
        const std::string stream = head + chunks + "Id: other\r\nNot-Run: 1\r\n\r\n";
        checkHasBody(stream, "whole");
        const ParsedStream result = parse(stream, stream.size());
        CHECK(result.response["Id"] == "r");
        CHECK(result.response.count("Id") == 1);
        CHECK(result.response.count("Not-Run") == 0);
        checkHasDefect(head + chunks + "Id: other\r\n continued\r\n\r\n", ResponseDefect::FoldedLine);
        checkHasDefect(head + chunks + "Id: other\r\n\tot-Run: 1\r\n\r\n", ResponseDefect::FoldedLine);
        checkHasDefect(head + chunks + " d: other\r\n\r\n", ResponseDefect::FieldLine);
        checkHasDefect(head + chunks + "I d: other\r\n\r\n", ResponseDefect::FieldLine);
        checkHasDefect(head + chunks + "Id: ot\x01her\r\n\r\n", ResponseDefect::FieldLine);
    }
    checkHasBody(head + "0\r\n\r\n", "");
}

TEST_CASE_METHOD(ResponseParserFixture, "isValidField.anyByte.agreesWithTheParser")
{
    for (int byte = 0; byte <= 0xff; ++byte) {
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        CAPTURE(byte);
        const std::string named = "HTTP/1.1 200 OK\r\n" + text + ": v\r\nContent-Length: 0\r\n\r\n";
        CHECK(isValidField(text, "v") == (isTokenByte(static_cast<char>(byte))));
        CHECK((isValidField(text, "v") || byte == ':') == parse(named, named.size()).isComplete);
        const std::string valued = "HTTP/1.1 200 OK\r\nName: " + text + "\r\nContent-Length: 0\r\n\r\n";
        CHECK(isValidField("Name", text) == parse(valued, valued.size()).isComplete);
    }
}

TEST_CASE_METHOD(ResponseParserFixture, "ResponseParser.oversizedBody.doesNotHideADefectOfTheHead")
{
    const std::string length = "Content-Length: " + std::to_string(MaxBodyBytes + 1) + "\r\n\r\n";
    checkHasDefect("HTTP/1.1 000 Trouble\r\n" + length, ResponseDefect::StatusCode);
    CHECK(parse("HTTP/1.1 200 OK\r\n" + length, 1).error == http::error::body_limit);
}
