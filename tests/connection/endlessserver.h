#pragma once

#include <carobjunction/process/clock.h>

#include "connection/asio.h"

#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace carobjunction
{

/** Response of an EndlessServer to one request. */
struct EndlessAnswer {
    std::string first; /**< Sent once. */
    std::string repeated; /**< Sent repeatedly until the client closes the connection; if empty, the connection stays open for the next request. */
    Duration pause = Duration::zero(); /**< Delay between two repetitions. */
};

/** HTTP server that sends responses of unlimited length on concurrent connections. Must outlive the last run of the event loop. */
class EndlessServer
{
public:
    /** Returns the response to a request. @param request  the bytes of the request that the first read returned */
    using ResponseProvider = std::function<EndlessAnswer(const std::string &request)>;

    EndlessServer(asio::io_context &loop, ResponseProvider responseProvider, uint16_t port = 0)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)), m_responseProvider(std::move(responseProvider))
    {
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    uint64_t sentBytes = 0; /**< Bytes of repeated pieces written to the sockets. */
    int closedByClient = 0; /**< Endless responses that ended because the client closed the connection. */

private:
    Task<void> accept()
    {
        while (true) {
            ErrorCode error;
            auto socket = std::make_shared<Tcp::socket>(m_loop);
            co_await m_acceptor.async_accept(*socket, redirectError(error));
            if (error) {
                co_return;
            }
            asio::co_spawn(
                m_loop, [this, socket]() -> Task<void> { co_await serve(*socket); }, asio::detached);
        }
    }

    Task<void> serve(Tcp::socket &socket)
    {
        std::array<char, 65536> bytes {};
        asio::steady_timer timer(m_loop);
        while (true) {
            ErrorCode error;
            const size_t size = co_await socket.async_read_some(asio::buffer(bytes), redirectError(error));
            if (error) {
                co_return;
            }
            const EndlessAnswer answer = m_responseProvider(std::string(bytes.data(), size));
            co_await asio::async_write(socket, asio::buffer(answer.first), redirectError(error));
            while (!error && !answer.repeated.empty()) {
                sentBytes += co_await asio::async_write(socket, asio::buffer(answer.repeated), redirectError(error));
                if (answer.pause > Duration::zero()) {
                    timer.expires_after(answer.pause);
                    ErrorCode ignored; // the timer is not cancelled
                    co_await timer.async_wait(redirectError(ignored));
                }
            }
            if (error) {
                ++closedByClient;
                co_return;
            }
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    ResponseProvider m_responseProvider;
};

} // namespace carobjunction
