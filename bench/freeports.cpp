#include "freeports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace carobjunction::bench
{

namespace
{

constexpr uint16_t LowestPort = 12000;
constexpr uint16_t PortCount = 20000;

bool isFree(uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(fd);
    return bound;
}

} // namespace

uint16_t FreePorts::next()
{
    while (m_offset < PortCount) {
        const auto port = static_cast<uint16_t>(LowestPort + (m_start - LowestPort + m_offset) % PortCount);
        ++m_offset;
        if (isFree(port)) {
            return port;
        }
    }
    return 0;
}

} // namespace carobjunction::bench
