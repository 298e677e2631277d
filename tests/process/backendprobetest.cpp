#include "process/backendprobe.h"

#include "connection/endlessserver.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** @return number of responses that a probe passes to its handler if the server answers with a body of @p bodyBytes bytes */
int handledResponses(size_t bodyBytes)
{
    asio::io_context loop(1);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { response, "" }; });
    int handled = 0;
    const auto acceptAnyResponse = [](const HttpResponse &) {
        return true;
    };
    BackendProbe probe(loop, server.address(), 10ms, acceptAnyResponse, [&](const HttpResponse &) {
        ++handled;
        return true;
    });
    asio::co_spawn(
        loop, [&]() -> Task<void> { co_await probe.refreshLoad("/healthz"); }, asio::detached);
    loop.run_for(200ms);
    return handled;
}

} // namespace

TEST_CASE("BackendProbe.longAnswer.isNotRead")
{
    // Guards against a faulty backend server that responds to every probe, many times a second, with megabytes.
    CHECK(handledResponses(1000) == 1);
    CHECK(handledResponses(256U << 10U) == 0);
}

TEST_CASE("BackendProbe.handlerThatThrows.doesNotBlockLaterProbes")
{
    // Guards against requests that wait without a time limit for a probe whose handler has thrown an exception.
    asio::io_context loop(1);
    EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" }; });
    const auto acceptAnyResponse = [](const HttpResponse &) {
        return true;
    };
    int probes = 0;
    BackendProbe probe(loop, server.address(), 10ms, acceptAnyResponse, [&](const HttpResponse &) {
        if (++probes == 1) {
            throw std::length_error("fault");
        }
        return true;
    });
    asio::co_spawn(
        loop, [&]() -> Task<void> { co_await probe.refreshLoad("/healthz"); }, asio::detached);
    loop.run_for(100ms);
    bool hasReturned = false;
    asio::co_spawn(
        loop,
        [&]() -> Task<void> {
            co_await probe.refreshLoad("/healthz");
            hasReturned = true;
        },
        asio::detached);
    loop.restart();
    loop.run_for(100ms);
    CHECK(hasReturned);
}
