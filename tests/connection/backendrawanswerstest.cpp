#include "connection/answerframings.h"
#include "connection/backendclient.h"
#include "connection/messagefields.h"
#include "connection/rawanswerserver.h"
#include "connection/socketaddress.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

const Framings AnswersToR1("Carob-Request-Id: r1\r\n");

std::string answerTo(const std::string &requestId, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nCarob-Request-Id: " + requestId + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

/** Calls to a backend server that writes arbitrary bytes in place of its answers. Its event loop runs on a thread of its own. */
class BackendRawAnswersFixture
{
public:
    BackendRawAnswersFixture()
        : server(m_loop, [this](Tcp::socket &socket, HttpRequest request, RawAnswerServer::RequestPosition position) {
            return answer(socket, std::move(request), position);
        })
    {
        m_thread = std::thread([this] { m_loop.run(); });
        client.setAddress({ "127.0.0.1", server.address().port() });
    }

    ~BackendRawAnswersFixture()
    {
        m_loop.stop();
        m_thread.join();
    }

    Task<void> answer(Tcp::socket &socket, HttpRequest request, RawAnswerServer::RequestPosition position)
    {
        hostFieldCount = static_cast<int>(request.count(http::field::host));
        const std::string id = fieldValue(request, "Carob-Request-Id");
        const std::string bytes = answers ? answers(id, position.request) : part;
        co_await RawAnswerServer::write(socket, bytes);
        if (!answers) {
            RawAnswerServer::end(socket, ending);
            co_return;
        }
        if (!lateBytes.empty()) {
            asio::steady_timer timer(m_loop, 20ms);
            ErrorCode ignored; // nothing cancels the timer
            co_await timer.async_wait(redirectError(ignored));
            co_await RawAnswerServer::write(socket, lateBytes);
        }
    }

    CallResult call(const std::string &id, const HeaderList &headers = {})
    {
        CallRequest request;
        request.requestId = id;
        request.method = "GET";
        request.path = "/x";
        request.headers = headers;
        request.deadline = Deadline::after(SteadyClock().now(), 2s);
        return client.call(request);
    }

    void checkPrefixesAreLost(const std::string &response)
    {
        for (size_t length = 0; length < response.size(); ++length) {
            part = response.substr(0, length);
            CAPTURE(length);
            const CallResult result = call("r1");
            CHECK(result.outcome == Outcome::Unknown);
            CHECK(result.reason == Reason::AnswerLost);
            CHECK(result.status == 0);
        }
    }

    std::atomic<int> hostFieldCount = 0; /**< Number of Host fields of the latest request. */
    std::string part; /**< Bytes after which the connection ends, unless `answers` is set. */
    ConnectionEnd ending = ConnectionEnd::Close;
    std::function<std::string(const std::string &id, int request)> answers; /**< Returns the bytes for a request, by its number on the connection. */
    std::string lateBytes; /**< Written 20 ms after each answer. */
    BackendClient client { 1U << 20U };

private:
    asio::io_context m_loop { 1 };
    std::thread m_thread;

public:
    RawAnswerServer server;
};

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.answerCutAtAnyByte.isLost")
{
    // Guards against a head or a body that breaks off and reaches the caller as a complete success.
    checkPrefixesAreLost(AnswersToR1.withLength.whole());
    checkPrefixesAreLost(AnswersToR1.chunked.whole());
    checkPrefixesAreLost(AnswersToR1.empty.whole());
    checkPrefixesAreLost(AnswersToR1.untilClose.head);
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.answerResetAtAnyByte.isLost")
{
    ending = ConnectionEnd::Reset;
    checkPrefixesAreLost(AnswersToR1.withLength.whole());
    checkPrefixesAreLost(AnswersToR1.chunked.whole());
    checkPrefixesAreLost(AnswersToR1.untilClose.whole() + "x"); // every cut, also at the end of the body
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.bodyThatEndsWithItsConnection.isComplete")
{
    part = AnswersToR1.untilClose.whole();
    const CallResult result = call("r1");
    CHECK(result.outcome == Outcome::Ran);
    CHECK(result.body == "whole");
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.secondCopyBeforeTheNextRequest.isNotItsAnswer")
{
    // Guards against a late copy of an answer, on a connection that is used again, which the next caller receives.
    answers = [](const std::string &id, int) {
        return answerTo(id, "answer to " + id);
    };
    lateBytes = answerTo("r1", "answer to r1");
    CHECK(call("r1").body == "answer to r1");
    std::this_thread::sleep_for(60ms);
    const CallResult second = call("r2");
    CHECK(second.outcome == Outcome::Ran);
    CHECK(second.body == "answer to r2");
    CHECK(server.connections == 2);
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.secondCopyInPlaceOfTheNextAnswer.isSkipped")
{
    answers = [](const std::string &id, int request) {
        return request == 1 ? answerTo(id, "answer to " + id) : answerTo("r1", "answer to r1") + answerTo(id, "answer to " + id);
    };
    CHECK(call("r1").outcome == Outcome::Ran);
    CHECK(call("r2").body == "answer to r2");
    CHECK(call("r3").body == "answer to r3");
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.answerWithoutAnId.isAcceptedOnlyAsTheFirstOnItsConnection")
{
    // An answer without an id on a reused connection could be a copy of an earlier one.
    answers = [](const std::string &id, int request) {
        return request == 1 && id == "r1" ? answerTo(id, "first") : "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nno id!";
    };
    CHECK(call("r1").body == "first");
    CHECK(call("r2").outcome == Outcome::Unknown);
    CHECK(call("r3").body == "no id!");
    CHECK(call("r4").body == "no id!"); // on a new connection, because the server identified no request on the last one
    CHECK(server.connections == 3);
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.answerWithTheIdOfAnotherRequest.isNeverPassedOn")
{
    answers = [](const std::string &, int) {
        return answerTo("other", "other");
    };
    const CallResult result = call("r1");
    CHECK(result.outcome == Outcome::Unknown);
    CHECK(result.body.empty());
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.requestWithAHostField.isSentWithThatOneOnly")
{
    // Guards against a second Host field, for which a server must reject the request.
    answers = [](const std::string &id, int) {
        return answerTo(id, "x");
    };
    CHECK(call("r1").outcome == Outcome::Ran);
    CHECK(hostFieldCount == 1);
    CHECK(call("r2", { { "Host", "ordering.example" } }).outcome == Outcome::Ran);
    CHECK(hostFieldCount == 1);
}

TEST_CASE_METHOD(BackendRawAnswersFixture, "BackendClient.statusThatHttpDoesNotDefine.isMalformed")
{
    // Guards against an answer that counts as run by the backend server, although its status says nothing.
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    CAPTURE(status);
    answers = [status](const std::string &id, int) {
        return "HTTP/1.1 " + status + " Trouble\r\nCarob-Request-Id: " + id + "\r\nContent-Length: 5\r\n\r\nwhole";
    };
    for (const std::string id : { "r1", "r2" }) {
        const CallResult result = call(id);
        CHECK(result.outcome == Outcome::Unknown);
        CHECK(result.reason == Reason::AnswerMalformed);
        CHECK(result.status == 0);
    }
    CHECK(server.connections == 2);
}
