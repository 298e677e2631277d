#pragma once

#include "connection/asio.h"

#include <optional>
#include <string>

namespace carobjunction
{

/** @return the endpoint of `ip:port`, or empty if @p address has another form */
std::optional<Tcp::endpoint> toEndpoint(const std::string &address);

} // namespace carobjunction
