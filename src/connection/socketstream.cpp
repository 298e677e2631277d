#include "connection/socketstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace carobjunction
{

namespace
{

using SocketNameFunction = int (*)(int, sockaddr *, socklen_t *);

/** Sets @p ip and @p port to the local or remote address of a socket; leaves them unchanged on an error. */
void readSocketName(SocketNameFunction function, socket_t socket, std::string &ip, int &port)
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (function(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return;
    }
    char text[INET6_ADDRSTRLEN] = {};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof(text));
        port = ntohs(v6.sin6_port);
    }
    ip = text;
}

} // namespace

SocketStream::SocketStream(socket_t socket, std::chrono::milliseconds timeout) : m_socket(socket), m_timeout(timeout)
{
}

bool SocketStream::wait(short events) const
{
    pollfd entry { m_socket, events, 0 };
    int result = 0;
    do {
        result = poll(&entry, 1, static_cast<int>(m_timeout.count()));
    } while (result < 0 && errno == EINTR);
    return result > 0;
}

bool SocketStream::is_readable() const
{
    return hasBufferedBytes() || wait(POLLIN);
}

bool SocketStream::is_writable() const
{
    return wait(POLLOUT);
}

ssize_t SocketStream::read(char *data, size_t size)
{
    if (!hasBufferedBytes()) {
        if (!is_readable()) {
            return -1;
        }
        const ssize_t received = recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (received <= 0) {
            return received;
        }
        m_bufferBegin = 0;
        m_bufferEnd = static_cast<size_t>(received);
    }
    const size_t count = std::min(size, m_bufferEnd - m_bufferBegin);
    std::memcpy(data, m_buffer.data() + m_bufferBegin, count);
    m_bufferBegin += count;
    return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char *data, size_t size)
{
    return is_writable() ? send(m_socket, data, size, MSG_NOSIGNAL) : -1;
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    readSocketName(getpeername, m_socket, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    readSocketName(getsockname, m_socket, ip, port);
}

socket_t SocketStream::socket() const
{
    return m_socket;
}

} // namespace carobjunction
