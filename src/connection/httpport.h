#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib
{
class Server;
}

namespace carobjunction
{

class KeepAliveServer;

/** HTTP server on its own threads, configured for many keep-alive connections. */
class HttpPort
{
public:
    /**
     * @param threads  number of threads; each keep-alive connection occupies one
     * @param maxBodyBytes  maximum size of a request body; larger ones are rejected with status 413
     */
    HttpPort(uint32_t threads, uint64_t maxBodyBytes);
    ~HttpPort();

    /** @return the server, for registering handlers before start() */
    httplib::Server &server();

    /**
     * Opens the port and serves it on another thread.
     * @param address  `ip:port`; with port 0, the system chooses a free one
     * @return the port, or 0 if the address is invalid or in use
     */
    int start(const std::string &address);

    /** Closes each connection after its next response. */
    void beginDrain();

    /** Closes the port, and returns when the requests in progress have been answered. */
    void stop();

private:
    std::unique_ptr<KeepAliveServer> m_server;
    std::thread m_thread;
};

} // namespace carobjunction
