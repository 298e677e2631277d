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

/** Coroutine on an event loop. */
template<typename T>
using Task = asio::awaitable<T>;

/** HTTP message with the reservation of its body in the BodyBudget of the process. */
template<bool isRequest>
struct HttpMessage : http::message<isRequest, http::string_body> {
    using Base = http::message<isRequest, http::string_body>;
    using Base::Base;

    HttpMessage() = default;
    explicit HttpMessage(Base &&base) : Base(std::move(base))
    {
    }

    std::shared_ptr<void> bodyReservation; /**< Released with the last copy of the message. Null if the body is not counted. */
};

using HttpRequest = HttpMessage<true>;
using HttpResponse = HttpMessage<false>;

/** Returns a completion token that stores the error of an operation in @p error, in place of throwing it. */
inline auto redirectError(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace carobjunction
