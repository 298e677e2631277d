#include "connection/socketoptions.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace carobjunction
{

namespace
{

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UserTimeoutMs = 3000; // unacknowledged bytes end the connection after this time

void setOption(Tcp::socket &socket, int level, int name, int value)
{
    // A platform that lacks an option still works; deadlines then bound the wait.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

/** @return result of recv() without taking bytes or waiting */
ssize_t peek(Tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/** A socket that this process has closed, an interrupted call and a lack of memory say nothing about the other end. */
bool isConnectionError(int error)
{
    return error != EAGAIN && error != EWOULDBLOCK && error != EINTR && error != ENOMEM && error != ENOBUFS && error != EBADF;
}

} // namespace

void setTcpOptions(Tcp::socket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

bool isOpenWithoutData(Tcp::socket &socket)
{
    return peek(socket) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool hasUnreadBytes(Tcp::socket &socket)
{
    return peek(socket) > 0;
}

bool isClosedByPeer(Tcp::socket &socket)
{
    const ssize_t result = peek(socket);
    return result == 0 || (result < 0 && isConnectionError(errno));
}

bool takePendingError(Tcp::socket &socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

} // namespace carobjunction
