#pragma once

#include "connection/asio.h"

namespace carobjunction
{

/** Transfer codings of a message, as far as they decide where its body ends (RFC 9112, 6.1 and 6.3). */
enum class TransferCoding {
    None, /**< The message has no field Transfer-Encoding. */
    Chunked,
    Unsupported, /**< The body has an end, but this process can't decode all codings. */
    Unframed, /**< The codings don't state where the body ends. */
};

TransferCoding transferCoding(const http::fields &fields);

} // namespace carobjunction
