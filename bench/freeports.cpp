#include "freeports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace carobjunction::bench
{

namespace
{

/** @return a socket that is bound to the port on 127.0.0.1, or empty if the port is in use */
std::optional<int> bindToLoopback(uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return fd;
    }
    ::close(fd);
    return std::nullopt;
}

} // namespace

FreePorts::~FreePorts()
{
    for (const int reservationSocket : m_reservationSockets) {
        ::close(reservationSocket);
    }
}

uint16_t FreePorts::allocatePort()
{
    while (m_nextPort < m_blockEnd || reserveBlock()) {
        const uint16_t port = m_nextPort++;
        if (const std::optional<int> probeSocket = bindToLoopback(port)) {
            ::close(*probeSocket);
            return port;
        }
    }
    return 0;
}

bool FreePorts::reserveBlock()
{
    while (m_blocksTried < BlockCount) {
        const auto block = static_cast<uint16_t>((m_firstBlock + m_blocksTried) % BlockCount);
        ++m_blocksTried;
        const auto first = static_cast<uint16_t>(LowestPort + block * BlockSize);
        if (const std::optional<int> reservationSocket = bindToLoopback(first)) {
            m_reservationSockets.push_back(*reservationSocket);
            m_nextPort = first + 1;
            m_blockEnd = first + BlockSize;
            return true;
        }
    }
    return false;
}

} // namespace carobjunction::bench
