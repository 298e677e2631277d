#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** IP address and TCP port. */
struct SocketAddress {
    std::string host;
    uint16_t port = 0;

    /**
     * @param text  `ip:port`, IPv6 addresses in brackets
     * @return the address, or empty if @p text has another format or the port is above 65535
     */
    static std::optional<SocketAddress> parse(std::string_view text);

    /** @return `ip:port` */
    std::string toString() const;
};

} // namespace carobjunction
