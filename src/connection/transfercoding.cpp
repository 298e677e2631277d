#include "connection/transfercoding.h"

namespace carobjunction
{

TransferCoding transferCoding(const http::fields &fields)
{
    if (fields.count(http::field::transfer_encoding) == 0) {
        return TransferCoding::None;
    }
    std::string codings;
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    for (auto field = first; field != last; ++field) {
        codings += (codings.empty() ? "" : ", ") + std::string(field->value().data(), field->value().size());
    }
    if (beast::iequals(codings, "chunked")) {
        return TransferCoding::Chunked;
    }
    // The body has an end if "chunked" is the last coding and the only one of its kind.
    bool isChunkedLast = false;
    int chunkedCount = 0;
    for (const auto &coding : http::token_list(codings)) {
        isChunkedLast = beast::iequals(coding, "chunked");
        chunkedCount += isChunkedLast ? 1 : 0;
    }
    return isChunkedLast && chunkedCount == 1 ? TransferCoding::Unsupported : TransferCoding::Unframed;
}

} // namespace carobjunction
