#include "connection/keepaliveserver.h"

#include "connection/socketstream.h"

#include <sys/socket.h>
#include <unistd.h>

namespace carobjunction
{

void KeepAliveServer::beginDrain()
{
    m_isDraining = true;
}

void KeepAliveServer::stopGracefully()
{
    beginDrain();
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        for (const socket_t socket : m_idleSockets) {
            shutdown(socket, SHUT_RD);
        }
    }
    stop();
}

bool KeepAliveServer::process_and_close_socket(socket_t socket)
{
    // Closes the connection if the client pauses for longer than this within a request.
    constexpr std::chrono::seconds RequestTimeout(5);
    SocketStream stream(socket, RequestTimeout);
    size_t remainingRequests = keep_alive_max_count_;
    bool isOpen = true;
    while (isOpen && remainingRequests > 0 && waitForRequest(stream)) {
        --remainingRequests;
        bool isClosed = false;
        isOpen = process_request(stream, remainingRequests == 0 || m_isDraining, isClosed, nullptr) && !isClosed;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return isOpen;
}

bool KeepAliveServer::waitForRequest(const SocketStream &stream)
{
    if (stream.hasBufferedBytes()) {
        return true;
    }
    if (!setIdle(stream.socket(), true)) {
        return false;
    }
    const SocketStream idleStream(stream.socket(), std::chrono::seconds(keep_alive_timeout_sec_));
    const bool isReadable = idleStream.is_readable();
    setIdle(stream.socket(), false);
    return isReadable;
}

bool KeepAliveServer::setIdle(socket_t socket, bool isIdle)
{
    const std::scoped_lock lock(m_mutex);
    if (isIdle && !m_isStopping) {
        m_idleSockets.insert(socket);
    } else {
        m_idleSockets.erase(socket);
    }
    return !m_isStopping;
}

} // namespace carobjunction
