#include "connection/endpoints.h"

#include "connection/socketaddress.h"

namespace carobjunction
{

std::optional<Tcp::endpoint> parseEndpoint(const std::string &address)
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

std::string toText(const Tcp::endpoint &endpoint)
{
    return SocketAddress { endpoint.address().to_string(), endpoint.port() }.toString();
}

bool isConnectableAddress(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint || endpoint->port() == 0) {
        return false;
    }
    const asio::ip::address &ip = endpoint->address();
    return !ip.is_unspecified() && !ip.is_multicast() && ip != asio::ip::address_v4::broadcast();
}

} // namespace carobjunction
