#include "process/backendprobe.h"

#include "connection/endlessserver.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** @return the answers that a probe takes from a server whose health answer has this many bytes of body */
int answersTaken(size_t bodyBytes)
{
    asio::io_context loop(1);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { answer, "" }; });
    int taken = 0;
    const auto ofAnyQuestion = [](const HttpResponse &) {
        return true;
    };
    BackendProbe probe(loop, server.address(), 10ms, ofAnyQuestion, [&](const HttpResponse &) {
        ++taken;
        return true;
    });
    asio::co_spawn(
        loop, [&]() -> Task<void> { co_await probe.refreshLoad("/healthz"); }, asio::detached);
    loop.run_for(200ms);
    return taken;
}

} // namespace

TEST_CASE("BackendProbe.longAnswer.isNotRead")
{
    // Guards against a faulty backend server that sends megabytes of health many times a second.
    CHECK(answersTaken(1000) == 1);
    CHECK(answersTaken(256U << 10U) == 0);
}

TEST_CASE("BackendProbe.readerThatThrows.holdsUpNoLaterQuestion")
{
    // Guards against requests that wait without limit for a question that ended by an exception.
    asio::io_context loop(1);
    EndlessServer server(loop, [&](const std::string &) { return EndlessAnswer { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" }; });
    const auto ofAnyQuestion = [](const HttpResponse &) {
        return true;
    };
    int questions = 0;
    BackendProbe probe(loop, server.address(), 10ms, ofAnyQuestion, [&](const HttpResponse &) {
        if (++questions == 1) {
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
