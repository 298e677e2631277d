#pragma once

#include "connection/asio.h"

#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <string>

namespace carobjunction
{

/**
 * Server that accepts one connection at a time and sends the next script after each read. A script that ends in "<end>" closes the connection
 * afterwards; after a script that ends in "<drain>", the server reads until the client closes the connection.
 */
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &loop, std::deque<std::string> scripts)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), m_scripts(std::move(scripts))
    {
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    int connections = 0;

private:
    Task<void> accept()
    {
        while (!m_scripts.empty()) {
            ErrorCode error;
            Tcp::socket socket = co_await m_acceptor.async_accept(redirectError(error));
            ++connections;
            co_await serve(socket);
        }
    }

    Task<void> serve(Tcp::socket &socket)
    {
        std::array<char, 65536> bytes {};
        while (!m_scripts.empty()) {
            ErrorCode error;
            co_await socket.async_read_some(asio::buffer(bytes), redirectError(error));
            if (error) {
                co_return;
            }
            const std::string script = m_scripts.front();
            m_scripts.pop_front();
            const bool closesConnection = script.ends_with("<end>");
            const bool drainsConnection = script.ends_with("<drain>");
            const std::string text = closesConnection || drainsConnection ? script.substr(0, script.rfind('<')) : script;
            co_await asio::async_write(socket, asio::buffer(text), redirectError(error));
            while (drainsConnection && !error) {
                co_await socket.async_read_some(asio::buffer(bytes), redirectError(error));
            }
            if (closesConnection || drainsConnection) {
                co_return;
            }
        }
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    std::deque<std::string> m_scripts;
};

} // namespace carobjunction
