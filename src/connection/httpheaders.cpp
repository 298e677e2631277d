#include "connection/httpheaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace carobjunction
{

namespace
{

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

// Accept-Encoding and Content-Encoding are included because the HTTP library decodes request bodies and encodes response bodies itself.
// The last four are added by the HTTP library and were not sent by the peer.
constexpr std::array<std::string_view, 18> HopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Range",
    "If-Range",
    "Accept-Encoding",
    "Content-Encoding",
    "REMOTE_ADDR",
    "REMOTE_PORT",
    "LOCAL_ADDR",
    "LOCAL_PORT",
};

} // namespace

bool isHopByHopHeader(std::string_view name)
{
    constexpr std::string_view ProtocolPrefix = "Carob-";
    if (name.size() >= ProtocolPrefix.size() && equalsIgnoringCase(name.substr(0, ProtocolPrefix.size()), ProtocolPrefix)) {
        return true;
    }
    return std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [name](std::string_view header) { return equalsIgnoringCase(header, name); });
}

} // namespace carobjunction
