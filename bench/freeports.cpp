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

/** @return a socket that is bound to the port, empty if the port is in use */
std::optional<int> bindTo(uint16_t port)
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
    for (const int reservation : m_reservations) {
        ::close(reservation);
    }
}

uint16_t FreePorts::next()
{
    while (m_nextPort < m_blockEnd || takeBlock()) {
        const uint16_t port = m_nextPort++;
        if (const std::optional<int> probe = bindTo(port)) {
            ::close(*probe);
            return port;
        }
    }
    return 0;
}

bool FreePorts::takeBlock()
{
    while (m_blocksTried < BlockCount) {
        const auto block = static_cast<uint16_t>((m_firstBlock + m_blocksTried) % BlockCount);
        ++m_blocksTried;
        const auto first = static_cast<uint16_t>(LowestPort + block * BlockSize);
        if (const std::optional<int> reservation = bindTo(first)) {
            m_reservations.push_back(*reservation);
            m_nextPort = first + 1;
            m_blockEnd = first + BlockSize;
            return true;
        }
    }
    return false;
}

} // namespace carobjunction::bench
