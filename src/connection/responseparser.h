#pragma once

#include <carobjunction/process/enumnames.h>

#include "connection/asio.h"

#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string_view>

namespace carobjunction
{

/** How the stream of a connection ended. */
enum class StreamEnd {
    Orderly, /**< The peer has closed its side after its last byte. */
    Reset, /**< The connection was reset or broke down, so that bytes may be missing. */
};

/** Way in which the bytes of a server break the message format of HTTP/1 (RFC 9112). */
enum class ResponseDefect {
    StatusLine = 1, /**< The status line can't be parsed. */
    StatusCode, /**< The status code is outside the range that HTTP defines. */
    FieldLine, /**< A field name is no token, or a field value contains a control character. */
    FoldedLine, /**< A line of the header or the trailer starts with a blank: a garbled line, or an obsolete continuation of the one before it. */
    ContentLength, /**< The length of the body is no number, or there are several different ones. */
    TransferCoding, /**< The transfer coding is none but chunked, stands beside a length, or is used by HTTP/1.0. */
    Chunk, /**< The size or the end of a chunk is invalid. */
};

template<>
struct EnumNames<ResponseDefect> {
    static constexpr std::pair<ResponseDefect, std::string_view> Table[] = {
        { ResponseDefect::StatusLine, "malformed status line" },
        { ResponseDefect::StatusCode, "status code outside 100 to 599" },
        { ResponseDefect::FieldLine, "malformed field line" },
        { ResponseDefect::FoldedLine, "field line that starts with a blank" },
        { ResponseDefect::ContentLength, "invalid length of the body" },
        { ResponseDefect::TransferCoding, "unsupported transfer coding" },
        { ResponseDefect::Chunk, "malformed chunk" },
    };
};

/** @return whether HTTP defines a meaning for the range of the status code */
bool isDefinedStatus(unsigned status);

/** @return whether a name and a value can form a field line: the name is a token, and the value contains no control character but tabs */
bool isValidField(std::string_view name, std::string_view value);

/** @return the error code of a defect; its message is the name of the defect */
ErrorCode makeErrorCode(ResponseDefect defect);

/** @return whether an error is a ResponseDefect, unlike an error of the connection or an exceeded limit */
bool isResponseDefect(const ErrorCode &error);

/**
 * Decides whether the bytes that a server sends are a well-formed response to one request. It knows no connection: its user passes the
 * bytes and the end of the stream to it. Not thread-safe.
 */
class ResponseParser
{
public:
    /**
     * @param maxHeaderBytes  maximum size of the status line and the header
     * @param maxBodyBytes  maximum size of the body
     * @param answersHead  whether the request has the method HEAD, so that the response has no body
     */
    ResponseParser(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, bool answersHead);

    /**
     * Parses one part of the response.
     * @param bytes  received bytes, beginning with the first one that was not consumed before
     * @param error  set to a ResponseDefect, or to an error of Beast if a limit is exceeded
     * @return number of consumed bytes; 0 without an error if more bytes are needed
     */
    size_t parse(std::string_view bytes, ErrorCode &error);

    /** Processes the end of the stream. @return an error unless the response is complete. Only an orderly end completes a body without a length */
    ErrorCode finish(StreamEnd end);

    /** @return whether a byte of the response has arrived */
    bool hasStarted() const
    {
        return m_hasStarted;
    }

    bool isHeadComplete() const
    {
        return m_parser.is_header_done();
    }

    bool isComplete() const
    {
        return m_parser.is_done();
    }

    /** @return whether the end of the stream ends the body */
    bool endsWithStream() const
    {
        return m_parser.need_eof();
    }

    /** @return whether the header states the length of the body */
    bool isLengthKnown() const
    {
        return m_parser.is_header_done() && static_cast<bool>(m_parser.content_length());
    }

    /** @return status and fields; complete if isHeadComplete() */
    const http::response_header<> &head() const
    {
        return m_parser.get().base();
    }

    /** @return number of bytes of the body that have been parsed */
    size_t bodyBytes() const
    {
        return m_parser.get().body().size();
    }

    /** @return the complete response. The fields of a trailer are discarded (RFC 9110, 6.5.1), so that none passes for one of the header */
    HttpResponse release();

private:
    ErrorCode checkHead();
    ErrorCode checkTrailer(std::string_view lastChunk) const;

    http::response_parser<http::string_body> m_parser;
    bool m_hasStarted = false;
    std::optional<http::response_header<>> m_headOfChunkedBody; /**< Copied before a trailer can add fields to it. */
};

} // namespace carobjunction
