#pragma once

#include "connection/asio.h"

#include <optional>
#include <string>

namespace carobjunction
{

/** Parses `ip:port`. @return the endpoint, or empty if @p address has another format */
std::optional<Tcp::endpoint> parseEndpoint(const std::string &address);

/** @return the endpoint as `ip:port`, with an IPv6 address in brackets */
std::string toText(const Tcp::endpoint &endpoint);

/** @return whether @p address is a valid `ip:port` to connect to: a unicast address with a port, unlike some addresses to listen on */
bool isConnectableAddress(const std::string &address);

} // namespace carobjunction
