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

/** What an EndlessServer sends to a request. */
struct EndlessAnswer {
    std::string first; /**< Sent once. */
    std::string repeated; /**< Sent again and again until the client closes. Empty: the connection is kept for the next request. */
    Duration pause = Duration::zero(); /**< Time between two of them. */
};

/** Serves any number of connections at once, with answers that may have no end. Outlives the event loop's last run. */
class EndlessServer
{
public:
    /** Gives the answer to a request, of which it gets the first bytes that arrived. */
    using Script = std::function<EndlessAnswer(const std::string &request)>;

    EndlessServer(asio::io_context &loop, Script script, uint16_t port = 0)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)), m_script(std::move(script))
    {
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    uint64_t sent = 0; /**< Bytes of repeated pieces that the kernel took. */
    int ended = 0; /**< Endless answers that the client has ended. */

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
            const EndlessAnswer answer = m_script(std::string(bytes.data(), size));
            co_await asio::async_write(socket, asio::buffer(answer.first), redirectError(error));
            while (!error && !answer.repeated.empty()) {
                sent += co_await asio::async_write(socket, asio::buffer(answer.repeated), redirectError(error));
                if (answer.pause > Duration::zero()) {
                    timer.expires_after(answer.pause);
                    ErrorCode ignored; // the timer is not cancelled
                    co_await timer.async_wait(redirectError(ignored));
                }
            }
            if (error) {
                ++ended;
                co_return;
            }
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    Script m_script;
};

} // namespace carobjunction
