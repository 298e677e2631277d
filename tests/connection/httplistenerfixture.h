#pragma once

#include "connection/httplistener.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace carobjunction
{

/** Listener whose handler responds with "done" after handlerDelay. */
struct HttpListenerFixture {
    HttpListenerFixture()
    {
        ErrorCode error;
        listener = HttpListener::open(
            loop,
            Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
            [this](HttpRequest request, CancellationPtr cancellation) { return handleRequest(std::move(request), std::move(cancellation)); },
            [this] { return limits; },
            error);
        REQUIRE(listener != nullptr);
    }

    Task<MaybeResponse> handleRequest(HttpRequest request, CancellationPtr cancellation)
    {
        ++handledRequests;
        lastRequest = request;
        asio::steady_timer timer(loop, handlerDelay);
        const Cancellation::Registration registration(*cancellation, [&] { timer.cancel(); });
        ErrorCode ignored;
        co_await timer.async_wait(redirectError(ignored));
        isCancelled = cancellation->isRequested();
        HttpResponse response(http::status::ok, 11);
        response.body() = "done";
        co_return response;
    }

    /**
     * Sends @p bytes on a new connection.
     * @param time  duration for which the response is read
     * @param closeEarly  closes the connection after 20 ms without reading
     * @return all bytes that the listener sends before it closes the connection, or within @p time
     */
    std::string send(const std::string &bytes, Duration time = std::chrono::milliseconds(300), bool closeEarly = false)
    {
        Tcp::socket socket(loop);
        socket.connect(listener->address());
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        std::array<char, 4096> buffer {};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer), [&](ErrorCode error, size_t size) {
                received.append(buffer.data(), size);
                if (!error) {
                    read();
                }
            });
        };
        if (closeEarly) {
            loop.run_for(std::chrono::milliseconds(20));
            socket.close();
        } else {
            read();
        }
        loop.restart();
        loop.run_for(time);
        socket.close();
        loop.restart();
        loop.run_for(std::chrono::milliseconds(10));
        return received;
    }

    asio::io_context loop { 1 };
    ListenerLimits limits;
    std::shared_ptr<HttpListener> listener;
    Duration handlerDelay = std::chrono::milliseconds(0);
    int handledRequests = 0;
    bool isCancelled = false;
    HttpRequest lastRequest;
};

} // namespace carobjunction
