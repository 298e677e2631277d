#include "connection/endpoints.h"

#include "connection/socketaddress.h"

namespace carobjunction
{

std::optional<Tcp::endpoint> toEndpoint(const std::string &address)
{
    const auto parsed = SocketAddress::parse(address);
    if (!parsed) {
        return std::nullopt;
    }
    ErrorCode error;
    const asio::ip::address ip = asio::ip::make_address(parsed->host, error);
    if (error) {
        return std::nullopt;
    }
    return Tcp::endpoint(ip, parsed->port);
}

} // namespace carobjunction
