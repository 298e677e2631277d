#pragma once

#include "connection/httplistenerfixture.h"

#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction
{

/** Listener that records undelivered responses, with one caller on a keep-alive connection. */
struct HttpListenerCloseFixture : HttpListenerFixture {
    HttpListenerCloseFixture() : caller(loop)
    {
        ErrorCode error;
        listener->close();
        listener = HttpListener::open(
            loop,
            Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
            [this](HttpRequest request, CancellationPtr cancellation) { return respond(std::move(request), std::move(cancellation)); },
            [this] { return limitsOrThrow(); },
            error);
        REQUIRE(listener != nullptr);
        listener->setRejectionCallback([](HttpResponse &response) { response.set("Not-Run", "yes"); });
        listener->setUndeliveredCallback([this](const HttpResponse *response, UndeliveredCause cause) {
            undeliveredCauses.push_back(cause);
            undeliveredId = response == nullptr ? "none" : std::string((*response)["Id"]);
        });
        caller.connect(listener->address());
        runFor(std::chrono::milliseconds(20));
    }

    Task<MaybeResponse> respond(HttpRequest request, CancellationPtr cancellation)
    {
        isCancelledAtStart = cancellation->isRequested();
        MaybeResponse response = co_await handleRequest(std::move(request), std::move(cancellation));
        response->set("Id", "r" + std::to_string(handledRequests));
        response->body() = body;
        if (handlerThrows) {
            throw std::runtime_error("exception thrown by the handler");
        }
        if (returnsNoResponse) {
            response.reset();
        }
        co_return response;
    }

    /**
     * Returns the limits. If limitsThrow is set, the second call throws: that for the limits of the next request, after the one for
     * writing the response.
     */
    ListenerLimits limitsOrThrow()
    {
        if (limitsThrow && ++limitsCalls == 2) {
            throw std::runtime_error("exception thrown by the limits callback");
        }
        return limits;
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    void write(const std::string &bytes)
    {
        asio::write(caller, asio::buffer(bytes));
    }

    /** Blocks the event loop for @p time, then writes @p bytes: they are read in the same iteration as the timers that expired meanwhile. */
    void blockLoop(Duration time, const std::string &bytes)
    {
        asio::post(loop, [this, time, bytes] {
            std::this_thread::sleep_for(time);
            write(bytes);
        });
    }

    /** Starts to collect the bytes that the caller receives; "<end>" marks the end of the connection. */
    void read()
    {
        caller.async_read_some(asio::buffer(m_bytes), [this](ErrorCode error, size_t size) {
            received.append(m_bytes.data(), size);
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                received += "<end>";
                return;
            }
            read();
        });
    }

    ~HttpListenerCloseFixture()
    {
        caller.close();
        runFor(std::chrono::milliseconds(20));
    }

    const std::string lookupRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    Tcp::socket caller;
    std::string body = "done";
    std::string received;
    std::vector<UndeliveredCause> undeliveredCauses;
    std::string undeliveredId;
    bool isCancelledAtStart = false; /**< Whether the latest request was cancelled before its handler started. */
    bool returnsNoResponse = false;
    bool handlerThrows = false;
    bool limitsThrow = false;
    int limitsCalls = 0;

private:
    std::array<char, 4096> m_bytes {};
};

} // namespace carobjunction
