#include "connection/requestframing.h"

namespace carobjunction
{

std::optional<http::status> framingError(const http::fields &fields)
{
    if (fields.count(http::field::transfer_encoding) == 0) {
        return std::nullopt;
    }
    std::string codings;
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    for (auto field = first; field != last; ++field) {
        codings += (codings.empty() ? "" : ", ") + std::string(field->value().data(), field->value().size());
    }
    if (beast::iequals(codings, "chunked")) {
        return std::nullopt;
    }
    // The body has an end if "chunked" is the last coding and the only one of its kind, but this process can't decode the others.
    bool isChunkedLast = false;
    int chunkedCount = 0;
    for (const auto &coding : http::token_list(codings)) {
        isChunkedLast = beast::iequals(coding, "chunked");
        chunkedCount += isChunkedLast ? 1 : 0;
    }
    return isChunkedLast && chunkedCount == 1 ? http::status::not_implemented : http::status::bad_request;
}

} // namespace carobjunction
