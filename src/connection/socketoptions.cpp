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
constexpr int UserTimeoutMs = 3000; // the connection is closed if sent bytes are not acknowledged within this time

void setOption(Tcp::socket &socket, int level, int name, int value)
{
    // Ignores errors: on a platform without an option, the deadlines of the requests still limit the wait.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

/** @return the result of a non-blocking recv() that leaves the bytes in the socket */
ssize_t peek(Tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/** @return whether @p error concerns the connection. A socket closed by this process, an interrupted call and a lack of memory do not. */
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
