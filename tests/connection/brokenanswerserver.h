#pragma once

#include "connection/answerframings.h"

#include <carobjunction/process/clock.h>

#include "connection/asio.h"
#include "connection/messagefields.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <limits>
#include <optional>
#include <string>

namespace carobjunction
{

/** What a server sends for a request, and what it then does with the connection. */
struct RawAnswer {
    static constexpr size_t WholeUpload = std::numeric_limits<size_t>::max();

    std::string bytes; /**< Need not be a valid response. */
    std::optional<ConnectionEnd> end; /**< Empty if the server waits for another request on the connection. */
    size_t uploadBefore = WholeUpload; /**< Bytes of the request body that are read before the answer is sent. */
    size_t uploadAfter = 0; /**< Further bytes of the request body that are read before the connection ends. */
    Duration endDelay = Duration::zero(); /**< Time between the answer and the end of the connection. */
    bool endsUse = false; /**< Whether the client must not use the connection again. */
};

/**
 * Server that sends arbitrary bytes for a request, possibly before it has read the body of the request, and ends the connection at a chosen
 * moment.
 */
class BrokenAnswerServer
{
public:
    /** Position of a request: number of its connection, and number of the request on that connection; both start at 1. */
    struct RequestPosition {
        int connection = 0;
        int request = 0;
    };
    using AnswerFunction = std::function<RawAnswer(const HttpRequest &head, RequestPosition position)>;

    BrokenAnswerServer(asio::io_context &loop, AnswerFunction answer)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), m_answer(std::move(answer))
    {
        // A small buffer, so that an upload that this server doesn't read is still being written when the connection ends.
        m_acceptor.set_option(Tcp::acceptor::receive_buffer_size(ReceiveBufferBytes));
        asio::co_spawn(
            loop, [this]() -> Task<void> { co_await accept(); }, asio::detached);
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    std::atomic<int> misusedConnections = 0; /**< Connections on which a request arrived after an answer that ends their use. */

private:
    static constexpr int ReceiveBufferBytes = 16 << 10;

    Task<void> accept()
    {
        for (int number = 1;; ++number) {
            ErrorCode error;
            auto socket = std::make_shared<Tcp::socket>(co_await m_acceptor.async_accept(redirectError(error)));
            if (error) {
                co_return;
            }
            asio::co_spawn(
                m_loop, [this, socket, number]() -> Task<void> { co_await serve(socket, number); }, asio::detached);
        }
    }

    Task<void> serve(std::shared_ptr<Tcp::socket> socket, int connection)
    {
        beast::flat_buffer buffer;
        bool isUseEnded = false;
        for (int number = 1;; ++number) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::numeric_limits<uint64_t>::max());
            ErrorCode error;
            co_await http::async_read_header(*socket, buffer, parser, redirectError(error));
            if (error) {
                co_return;
            }
            size_t unread = static_cast<size_t>(parser.content_length().value_or(0));
            misusedConnections += isUseEnded ? 1 : 0;
            const HttpRequest head(parser.release());
            const RawAnswer answer = m_answer(head, { connection, number });
            isUseEnded = answer.endsUse;
            co_await discard(*socket, buffer, unread, answer.uploadBefore);
            co_await asio::async_write(*socket, asio::buffer(answer.bytes), redirectError(error));
            if (answer.end) {
                co_await discard(*socket, buffer, unread, answer.uploadAfter);
                co_await finish(*socket, answer);
                co_return;
            }
            co_await discard(*socket, buffer, unread, RawAnswer::WholeUpload);
        }
    }

    /** Reads up to @p limit of the unread bytes of an upload. */
    static Task<void> discard(Tcp::socket &socket, beast::flat_buffer &buffer, size_t &unread, size_t limit)
    {
        size_t remaining = std::min(unread, limit);
        const size_t buffered = std::min(remaining, buffer.size());
        buffer.consume(buffered);
        unread -= buffered;
        remaining -= buffered;
        std::string bytes(remaining, '\0');
        ErrorCode ignored; // the client may have closed the connection
        unread -= co_await asio::async_read(socket, asio::buffer(bytes), redirectError(ignored));
    }

    Task<void> finish(Tcp::socket &socket, const RawAnswer &answer)
    {
        ErrorCode ignored; // the client may have closed the connection, and nothing cancels the timer
        if (answer.end == ConnectionEnd::Close) {
            socket.shutdown(Tcp::socket::shutdown_send, ignored);
        }
        asio::steady_timer timer(m_loop, answer.endDelay);
        co_await timer.async_wait(redirectError(ignored));
        if (answer.end == ConnectionEnd::Reset) {
            socket.set_option(Tcp::socket::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    AnswerFunction m_answer;
};

} // namespace carobjunction
