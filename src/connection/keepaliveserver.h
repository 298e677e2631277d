#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <set>

namespace carobjunction
{

class SocketStream;

/**
 * httplib::Server whose idle connections cost no processor time. The library looks at each of them every 10 ms, which takes a third
 * of a core with 260 connections, and makes stop() wait for all of them.
 */
class KeepAliveServer : public httplib::Server
{
public:
    /** Ends each connection with its next answer, so that callers move to another daemon before the port closes. */
    void beginDrain();

    /** Closes the port and the idle connections. Requests in progress are answered first. */
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
