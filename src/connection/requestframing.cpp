#include "connection/requestframing.h"

#include "connection/transfercoding.h"

namespace carobjunction
{

std::optional<http::status> framingError(const http::fields &fields)
{
    switch (transferCoding(fields)) {
    case TransferCoding::None:
    case TransferCoding::Chunked:
        return std::nullopt;
    case TransferCoding::Unsupported:
        return http::status::not_implemented;
    case TransferCoding::Unframed:
        break;
    }
    return http::status::bad_request;
}

} // namespace carobjunction
