#pragma once

#include "connection/asio.h"

#include <optional>
#include <string>

namespace carobjunction
{

/** @return the endpoint of `ip:port`, or empty if @p address has another form */
std::optional<Tcp::endpoint> toEndpoint(const std::string &address);

/** @return whether @p address is `ip:port` of one VM that can be connected to, as opposed to an address to listen at */
bool isPeerAddress(const std::string &address);

} // namespace carobjunction
