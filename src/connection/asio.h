#pragma once

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace carobjunction
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

/** Coroutine that runs on an event loop. */
template<typename T>
using Task = asio::awaitable<T>;

/** A message, and the room that its body takes of the process's BodyBudget. */
template<bool isRequest>
struct HttpMessage : http::message<isRequest, http::string_body> {
    using Base = http::message<isRequest, http::string_body>;
    using Base::Base;

    HttpMessage() = default;
    explicit HttpMessage(Base &&base) : Base(std::move(base))
    {
    }

    std::shared_ptr<void> room; /**< Given back with the last copy. Null if the body isn't counted. */
};

using HttpRequest = HttpMessage<true>;
using HttpResponse = HttpMessage<false>;

/** Completion token of coroutines that take errors by value. */
inline auto into(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace carobjunction
