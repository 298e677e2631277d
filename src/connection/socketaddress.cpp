#include "connection/socketaddress.h"

#include <charconv>

namespace carobjunction
{

std::optional<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (host.front() == '[') {
        if (host.back() != ']' || host.size() < 3) {
            return std::nullopt;
        }
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc {} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return SocketAddress { std::string(host), port };
}

std::string SocketAddress::toString() const
{
    const bool isIpv6 = host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

} // namespace carobjunction
