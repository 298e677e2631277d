#include "http.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace carobjunction::review
{

namespace
{

constexpr int Backlog = 256;

sockaddr_in loopbackAddress(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Waits until a socket is readable. @return false if @p end is reached first */
bool waitForBytes(int fd, Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
    pollfd entry { fd, POLLIN, 0 };
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

} // namespace

bool HttpServer::start(uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    const sockaddr_in address = loopbackAddress(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, Backlog) != 0) {
        ::close(fd);
        return false;
    }
    m_listenerFd = fd;
    m_acceptThread = std::thread([this, fd] { accept(fd); });
    return true;
}

void HttpServer::stop()
{
    if (m_listenerFd >= 0) {
        ::shutdown(m_listenerFd, SHUT_RDWR);
    }
    if (m_acceptThread.joinable()) {
        m_acceptThread.join();
    }
    std::vector<std::thread> threads;
    {
        const std::scoped_lock lock(m_mutex);
        for (const int fd : m_connectionFds) {
            ::shutdown(fd, SHUT_RDWR);
        }
        threads.swap(m_connectionThreads);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (m_listenerFd >= 0) {
        ::close(std::exchange(m_listenerFd, -1));
    }
}

void HttpServer::accept(int listenerFd)
{
    while (true) {
        const int fd = ::accept4(listenerFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        const std::scoped_lock lock(m_mutex);
        m_connectionFds.insert(fd);
        m_connectionThreads.emplace_back([this, fd] { serve(fd); });
    }
}

void HttpServer::serve(int connectionFd)
{
    asio::io_context context;
    Tcp::socket socket(context, Tcp::v4(), connectionFd);
    beast::flat_buffer buffer;
    ErrorCode error;
    while (!error) {
        Request request;
        http::read(socket, buffer, request, error);
        if (error) {
            break;
        }
        std::optional<Response> response = m_handler(request);
        if (!response) {
            continue; // the read above ends when the client closes the connection
        }
        response->keep_alive(request.keep_alive());
        response->prepare_payload();
        http::write(socket, *response, error);
        if (!request.keep_alive()) {
            break;
        }
    }
    const std::scoped_lock lock(m_mutex);
    m_connectionFds.erase(connectionFd);
}

std::optional<Response> exchange(uint16_t port, Request request, Milliseconds timeout)
{
    const Clock::time_point end = Clock::now() + timeout;
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
    if (error) {
        return std::nullopt;
    }
    request.keep_alive(false);
    request.prepare_payload();
    http::write(socket, request, error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    while (!error && !parser.is_done()) {
        if (!waitForBytes(socket.native_handle(), end)) {
            return std::nullopt;
        }
        http::read_some(socket, buffer, parser, error);
    }
    if (error) {
        return std::nullopt;
    }
    return parser.release();
}

std::string fieldOf(const http::fields &fields, const std::string &name)
{
    const auto value = fields[name];
    return std::string(value.data(), value.size());
}

} // namespace carobjunction::review
