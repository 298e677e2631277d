#pragma once

#include "record.h"

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace carobjunction::review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/** HTTP/1.1 server on a loopback address, with one thread per connection. */
class HttpServer
{
public:
    /** Returns the response to a request, or empty to send none; the connection then stays open and silent until the client closes it. */
    using Handler = std::function<std::optional<Response>(const Request &)>;

    explicit HttpServer(Handler handler) : m_handler(std::move(handler))
    {
    }

    ~HttpServer()
    {
        stop();
    }

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Opens a port. @return whether the port could be opened */
    bool start(uint16_t port);

    /** Closes the port and all connections, like the end of a process. */
    void stop();

private:
    void accept(int listenerFd);
    void serve(int connectionFd);

    Handler m_handler;
    std::thread m_acceptThread;
    std::mutex m_mutex;
    int m_listenerFd = -1;
    std::set<int> m_connectionFds;
    std::vector<std::thread> m_connectionThreads;
};

/**
 * Sends a request on a new connection and waits for the complete response.
 * @return the response, or empty if the connection ended without one or @p timeout passed
 */
std::optional<Response> exchange(uint16_t port, Request request, Milliseconds timeout);

/** @return the value of a header field, or an empty string if it is absent */
std::string fieldOf(const http::fields &fields, const std::string &name);

} // namespace carobjunction::review
