#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <set>

namespace carobjunction
{

class SocketStream;

/**
 * httplib::Server whose idle connections use no processor time. The library polls each of them every 10 ms, which uses a third of a core with
 * 260 connections, and its stop() waits until they all end.
 */
class KeepAliveServer : public httplib::Server
{
public:
    /** Closes each connection after its next response, so that callers reconnect to another daemon before the port closes. */
    void beginDrain();

    /** Closes the port and the idle connections. Requests in progress are completed. */
    void stopGracefully();

private:
    bool process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming)
    bool waitForRequest(const SocketStream &stream);
    bool setIdle(socket_t socket, bool isIdle);

    std::atomic<bool> m_isDraining { false };
    std::mutex m_mutex;
    std::set<socket_t> m_idleSockets;
    bool m_isStopping = false;
};

} // namespace carobjunction
