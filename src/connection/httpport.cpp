#include "connection/httpport.h"

#include "connection/keepaliveserver.h"
#include "connection/socketaddress.h"

#include <sys/socket.h>

#include <atomic>

namespace carobjunction
{

namespace
{

// Replaces the library's backlog of 5, because callers open up to 260 connections at once.
constexpr int ListenBacklog = 1024;
constexpr time_t KeepAliveSeconds = 60;
constexpr size_t MaxKeepAliveRequests = 10'000'000;

} // namespace

HttpPort::HttpPort(uint32_t threads, uint64_t maxBodyBytes) : m_server(std::make_unique<KeepAliveServer>())
{
    m_server->new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    m_server->set_tcp_nodelay(true);
    m_server->set_keep_alive_max_count(MaxKeepAliveRequests);
    m_server->set_keep_alive_timeout(KeepAliveSeconds);
    m_server->set_payload_max_length(maxBodyBytes);
}

HttpPort::~HttpPort()
{
    stop();
}

httplib::Server &HttpPort::server()
{
    return *m_server;
}

int HttpPort::start(const std::string &address)
{
    const std::optional<SocketAddress> parsed = SocketAddress::parse(address);
    if (!parsed) {
        return 0;
    }
    int socket = -1;
    m_server->set_socket_options([&socket](int serverSocket) {
        socket = serverSocket;
        // Does not set SO_REUSEPORT, the library's default, so that a second daemon fails to open the port instead of receiving part of the calls.
        const int enabled = 1;
        setsockopt(serverSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    int port = parsed->port;
    if (port == 0) {
        port = m_server->bind_to_any_port(parsed->host);
    } else if (!m_server->bind_to_port(parsed->host, port)) {
        port = 0;
    }
    if (port <= 0) {
        return 0;
    }
    listen(socket, ListenBacklog);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    // stop() has no effect before the server runs.
    while (!m_server->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return port;
}

void HttpPort::beginDrain()
{
    m_server->beginDrain();
}

void HttpPort::stop()
{
    if (m_thread.joinable()) {
        m_server->stopGracefully();
        m_thread.join();
    }
}

} // namespace carobjunction
