#pragma once

#include "connection/asio.h"

#include <optional>

namespace carobjunction
{

/**
 * Checks that the length of a request's body is determined by its header (RFC 9112, 6.1 and 6.3). Otherwise the body would be read as the next request.
 * @return the status with which the request must be rejected and its connection closed, or empty if the framing is valid
 */
std::optional<http::status> framingError(const http::fields &fields);

} // namespace carobjunction
