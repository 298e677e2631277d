#pragma once

#include "connection/answerframings.h"

#include "connection/asio.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <atomic>
#include <functional>
#include <string>

namespace carobjunction
{

/**
 * Server for concurrent connections on which a callback writes the raw bytes for each request: they need not form exactly one valid
 * response.
 */
class RawAnswerServer
{
public:
    /** Position of a request: number of its connection, and number of the request on that connection; both start at 1. */
    struct RequestPosition {
        int connection = 0;
        int request = 0;
    };
    using ResponseWriter = std::function<Task<void>(Tcp::socket &, HttpRequest, RequestPosition)>;

    RawAnswerServer(asio::io_context &loop, ResponseWriter responseWriter)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), m_responseWriter(std::move(responseWriter))
    {
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    static Task<void> write(Tcp::socket &socket, std::string bytes)
    {
        ErrorCode ignored; // the client may have closed the connection
        co_await asio::async_write(socket, asio::buffer(bytes), redirectError(ignored));
    }

    /** Ends a connection without waiting for the client. */
    static void end(Tcp::socket &socket, ConnectionEnd end)
    {
        ErrorCode ignored; // the client may have closed the connection
        if (end == ConnectionEnd::Reset) {
            socket.set_option(Tcp::socket::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    std::atomic<int> connections = 0;

private:
    Task<void> accept()
    {
        while (true) {
            ErrorCode error;
            auto socket = std::make_shared<Tcp::socket>(co_await m_acceptor.async_accept(redirectError(error)));
            if (error) {
                co_return;
            }
            const int number = ++connections;
            asio::co_spawn(
                m_loop, [this, socket, number]() -> Task<void> { co_await serve(socket, number); }, asio::detached);
        }
    }

    Task<void> serve(std::shared_ptr<Tcp::socket> socket, int connection)
    {
        beast::flat_buffer buffer;
        for (int number = 1;; ++number) {
            HttpRequest request;
            ErrorCode error;
            co_await http::async_read(*socket, buffer, request, redirectError(error));
            if (error) {
                co_return;
            }
            co_await m_responseWriter(*socket, std::move(request), RequestPosition { connection, number });
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    ResponseWriter m_responseWriter;
};

} // namespace carobjunction
