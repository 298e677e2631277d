#include "connection/responseparser.h"

#include "connection/transfercoding.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>

namespace carobjunction
{

namespace
{

constexpr unsigned MinStatusCode = 100;
constexpr unsigned MaxStatusCode = 599;
constexpr unsigned FirstVersionWithCodings = 11; // HTTP/1.1
constexpr std::string_view LineEnd = "\r\n";

/** Error category whose values are those of ResponseDefect. */
class ResponseDefectCategory : public boost::system::error_category
{
public:
    const char *name() const noexcept override
    {
        return "response-defect";
    }

    std::string message(int value) const override
    {
        return std::string(nameOf(static_cast<ResponseDefect>(value)));
    }
};

const ResponseDefectCategory &responseDefectCategory()
{
    static const ResponseDefectCategory category;
    return category;
}

/** @return the defect that an error of Beast's parser describes, or the error itself if it describes none */
ErrorCode toDefect(const ErrorCode &error)
{
    if (error.category() != http::make_error_code(http::error::bad_version).category()) {
        return error;
    }
    switch (static_cast<http::error>(error.value())) {
    case http::error::bad_version:
    case http::error::bad_status:
    case http::error::bad_reason:
        return makeErrorCode(ResponseDefect::StatusLine);
    case http::error::bad_line_ending:
    case http::error::bad_field:
    case http::error::bad_value:
        return makeErrorCode(ResponseDefect::FieldLine);
    case http::error::bad_content_length:
        return makeErrorCode(ResponseDefect::ContentLength);
    case http::error::bad_transfer_encoding:
        return makeErrorCode(ResponseDefect::TransferCoding);
    case http::error::bad_chunk:
    case http::error::bad_chunk_extension:
        return makeErrorCode(ResponseDefect::Chunk);
    default:
        return error;
    }
}

/**
 * Finds a line that Beast's parser takes for a continuation of the line before it (RFC 9112, 5.2). The name of a field whose first byte was
 * garbled looks the same, so such a line may be of any field, also of one that frames the body.
 * @param lines  lines up to and beyond the empty line that ends them; the last one may be incomplete
 * @return whether a line after the first one starts with a blank
 */
bool hasFoldedLine(std::string_view lines)
{
    while (!lines.starts_with(LineEnd)) {
        const size_t end = lines.find(LineEnd);
        if (end == std::string_view::npos) {
            return false;
        }
        lines.remove_prefix(end + LineEnd.size());
        if (lines.starts_with(' ') || lines.starts_with('\t')) {
            return true;
        }
    }
    return false;
}

} // namespace

bool isDefinedStatus(unsigned status)
{
    return status >= MinStatusCode && status <= MaxStatusCode;
}

bool isValidField(std::string_view name, std::string_view value)
{
    constexpr std::string_view TokenSymbols = "!#$%&'*+-.^_`|~";
    constexpr unsigned char Delete = 0x7f;
    const bool isToken = std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return c <= Delete && (std::isalnum(c) != 0 || TokenSymbols.find(static_cast<char>(c)) != std::string_view::npos);
    });
    return !name.empty() && isToken && std::none_of(value.begin(), value.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == Delete; });
}

ErrorCode makeErrorCode(ResponseDefect defect)
{
    return { static_cast<int>(defect), responseDefectCategory() };
}

bool isResponseDefect(const ErrorCode &error)
{
    return error.category() == responseDefectCategory();
}

ResponseParser::ResponseParser(uint32_t maxHeaderBytes, uint64_t maxBodyBytes, bool answersHead)
{
    m_parser.header_limit(maxHeaderBytes);
    m_parser.body_limit(maxBodyBytes);
    m_parser.skip(answersHead);
}

size_t ResponseParser::parse(std::string_view bytes, ErrorCode &error)
{
    error = {};
    m_hasStarted = m_hasStarted || !bytes.empty();
    const bool wasHeadComplete = isHeadComplete();
    if (!wasHeadComplete && hasFoldedLine(bytes)) {
        error = makeErrorCode(ResponseDefect::FoldedLine);
        return 0;
    }
    const size_t consumed = m_parser.put(asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error == http::error::need_more) {
        error = {};
    }
    if (!wasHeadComplete && isHeadComplete() && (!error || error == http::error::body_limit)) {
        const ErrorCode defect = checkHead(); // a defect says more than the size of a body
        error = defect ? defect : error;
    } else if (!error && isComplete() && m_parser.chunked()) {
        error = checkTrailer(bytes.substr(0, consumed));
    }
    error = toDefect(error);
    return consumed;
}

/** Checks a complete head for what Beast's parser accepts. */
ErrorCode ResponseParser::checkHead()
{
    const auto &head = m_parser.get();
    if (!isDefinedStatus(head.result_int())) {
        return makeErrorCode(ResponseDefect::StatusCode);
    }
    if (isComplete()) {
        return {};
    }
    const TransferCoding coding = transferCoding(head);
    if (coding == TransferCoding::None) {
        return {};
    }
    if (coding != TransferCoding::Chunked || head.version() < FirstVersionWithCodings) {
        return makeErrorCode(ResponseDefect::TransferCoding);
    }
    m_headOfChunkedBody = head.base();
    return {};
}

/** Checks the trailer. @param lastChunk  from the line end of the chunk before it, if there is one, to the end of the response */
ErrorCode ResponseParser::checkTrailer(std::string_view lastChunk) const
{
    if (lastChunk.starts_with(LineEnd)) {
        lastChunk.remove_prefix(LineEnd.size());
    }
    return hasFoldedLine(lastChunk) ? makeErrorCode(ResponseDefect::FoldedLine) : ErrorCode();
}

ErrorCode ResponseParser::finish(StreamEnd end)
{
    if (end == StreamEnd::Reset) {
        return asio::error::connection_reset;
    }
    if (!m_hasStarted) {
        return http::make_error_code(http::error::end_of_stream);
    }
    ErrorCode error;
    m_parser.put_eof(error);
    return error;
}

HttpResponse ResponseParser::release()
{
    HttpResponse response(m_parser.release());
    if (m_headOfChunkedBody) {
        response.base() = std::move(*m_headOfChunkedBody);
    }
    return response;
}

} // namespace carobjunction
