#pragma once

#include "connection/httplistenerfixture.h"

#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction
{

/** A listener that records undelivered answers, and one caller on a connection that stays open. */
struct HttpListenerCloseFixture : HttpListenerFixture {
    HttpListenerCloseFixture() : caller(loop)
    {
        ErrorCode error;
        listener->close();
        listener = HttpListener::open(
            loop,
            Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
            [this](HttpRequest request, CancellationPtr cancellation) { return respond(std::move(request), std::move(cancellation)); },
            [this] { return limitsOrFault(); },
            error);
        REQUIRE(listener != nullptr);
        listener->setRejectionHook([](HttpResponse &response) { response.set("Not-Run", "yes"); });
        listener->setUndeliveredHook([this](const HttpResponse *response, UndeliveredCause cause) {
            undelivered.push_back(cause);
            undeliveredId = response == nullptr ? "none" : std::string((*response)["Id"]);
        });
        caller.connect(listener->address());
        runFor(std::chrono::milliseconds(20));
    }

    Task<MaybeResponse> respond(HttpRequest request, CancellationPtr cancellation)
    {
        MaybeResponse response = co_await handle(std::move(request), std::move(cancellation));
        response->set("Id", "r" + std::to_string(handled));
        response->body() = body;
        if (throwsFault) {
            throw std::runtime_error("fault of a handler");
        }
        if (givesNoAnswer) {
            response.reset();
        }
        co_return response;
    }

    /** With throwsInLimits, the limits of the next request can't be told; those of the write of an answer can. */
    ListenerLimits limitsOrFault()
    {
        if (throwsInLimits && ++limitsAsked == 2) {
            throw std::runtime_error("fault of the limits");
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

    /** Keeps the loop from running for @p time; bytes that are written meanwhile are seen in the same turn as timers that expired. */
    void holdUp(Duration time, const std::string &bytes)
    {
        asio::post(loop, [this, time, bytes] {
            std::this_thread::sleep_for(time);
            write(bytes);
        });
    }

    /** Starts to collect what the caller receives; "<end>" stands for the end of the connection. */
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

    const std::string lookup = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    Tcp::socket caller;
    std::string body = "done";
    std::string received;
    std::vector<UndeliveredCause> undelivered;
    std::string undeliveredId;
    bool givesNoAnswer = false;
    bool throwsFault = false;
    bool throwsInLimits = false;
    int limitsAsked = 0;

private:
    std::array<char, 4096> m_bytes {};
};

} // namespace carobjunction
