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

/** An HTTP server with a thread of its own, set up for many kept-alive connections. */
class HttpPort
{
public:
    /**
     * @param threads  each kept-alive connection holds one
     * @param maxBodyBytes  larger request bodies are answered with 413
     */
    HttpPort(uint32_t threads, uint64_t maxBodyBytes);
    ~HttpPort();

    /** @return the server, to register handlers before start() */
    httplib::Server &server();

    /**
     * Opens the port and serves it on another thread.
     * @param address  `ip:port`; port 0 takes a free one
     * @return the port, or 0 if the address is invalid or taken
     */
    int start(const std::string &address);

    /** Ends each connection with its next answer. */
    void beginDrain();

    /** Closes the port after the requests in progress were answered. */
    void stop();

private:
    std::unique_ptr<KeepAliveServer> m_server;
    std::thread m_thread;
};

} // namespace carobjunction
