#include "connection/backendclient.h"
#include "connection/brokenanswers.h"
#include "connection/socketaddress.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace carobjunction;
using namespace std::chrono_literals;

/** Calls to a backend server that answers the path "/broken" with chosen bytes, and all others correctly. */
class BackendBrokenAnswersFixture
{
public:
    BackendBrokenAnswersFixture()
    {
        client.setAddress({ "127.0.0.1", server.port() });
    }

    RawAnswer answerTo(const HttpRequest &head)
    {
        const std::scoped_lock lock(m_mutex);
        if (head.target() != "/broken") {
            return { "HTTP/1.1 200 OK\r\nCarob-Request-Id: " + fieldValue(head, "Carob-Request-Id") + "\r\nContent-Length: 2\r\n\r\nok" };
        }
        return m_answer;
    }

    CallResult call(const std::string &path, const std::string &body = "")
    {
        CallRequest request;
        request.requestId = "r";
        request.method = "POST";
        request.path = path;
        request.body = body;
        request.deadline = Deadline::after(SteadyClock().now(), 3s);
        return client.call(request);
    }

    /** Calls the path "/broken", first on a kept and then on a new connection. */
    void checkOutcomeIsUnknown(const RawAnswer &answer, const std::string &body = "")
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_answer = answer;
        }
        REQUIRE(call("/good").body == "ok");
        for (const bool isKept : { true, false }) {
            CAPTURE(isKept);
            const CallResult result = call("/broken", body);
            CHECK(result.outcome == Outcome::Unknown);
            CHECK(nameOf(result.reason).starts_with("answer-"));
            CHECK(result.status == 0);
            CHECK(result.headers.empty());
            CHECK(result.body.empty());
        }
    }

    BackendClient client { 16U << 20U };

    std::mutex m_mutex; /**< Guards m_answer. */
    RawAnswer m_answer;
    RunningBrokenAnswerServer server { [this](const HttpRequest &head, BrokenAnswerServer::RequestPosition) {
        return answerTo(head);
    } };
};

TEST_CASE_METHOD(BackendBrokenAnswersFixture, "BackendClient.brokenAnswer.leavesTheOutcomeUnknown")
{
    // Guards against an answer that the backend server has not sent so, also one that claims that the request did not run.
    for (const std::string fields : { "Carob-Request-Id: r\r\n", "Carob-Request-Id: r\r\nCarob-Outcome: not-run\r\n" }) {
        for (const BrokenAnswer &broken : brokenAnswers(fields, "whole")) {
            CAPTURE(fields, broken.defect);
            checkOutcomeIsUnknown(broken.answer);
        }
    }
    CHECK(server.misusedConnections() == 0);
}

TEST_CASE_METHOD(BackendBrokenAnswersFixture, "BackendClient.resetDuringTheUpload.leavesTheOutcomeUnknown")
{
    const Duration delay = GENERATE(0ms, 5ms, 50ms, 200ms);
    const size_t uploadBefore = GENERATE(size_t { 0 }, size_t { 100'000 });
    CAPTURE(delay.count(), uploadBefore);
    checkOutcomeIsUnknown({ "HTTP/1.1 200 OK\r\nCarob-Request-Id: r\r\n\r\na part", ConnectionEnd::Reset, uploadBefore, 0, delay },
                          std::string(8U << 20U, 'u'));
}

TEST_CASE_METHOD(BackendBrokenAnswersFixture, "BackendClient.brokenAnswerToACheck.meansThatTheProcessRuns")
{
    const RunningBrokenAnswerServer broken([](const HttpRequest &, BrokenAnswerServer::RequestPosition) { return RawAnswer { "garbage that is no answer" }; });
    client.setAddress({ "127.0.0.1", broken.port() });
    CHECK(client.acceptsConnections());
}

TEST_CASE_METHOD(BackendBrokenAnswersFixture, "BackendClient.oversizedAnswer.hasRunOnlyIfItsHeaderSaysSo")
{
    // Guards against a refusal, or a header without an end, that is reported as the answer of a request that ran.
    const std::string start = "HTTP/1.1 200 OK\r\nCarob-Request-Id: r\r\n";
    const std::string length = "Content-Length: 999999999\r\n\r\n";
    for (const auto &[bytes, outcome] : { std::pair(start + length, Outcome::Ran),
                                          std::pair(start + "Carob-Outcome: not-run\r\n" + length, Outcome::Unknown),
                                          std::pair(start + "Long: " + std::string(1U << 20U, 'x'), Outcome::Unknown) }) {
        CAPTURE(bytes.substr(0, 100));
        {
            const std::scoped_lock lock(m_mutex);
            m_answer = { bytes };
        }
        const CallResult result = call("/broken");
        CHECK(result.outcome == outcome);
        CHECK(result.reason == Reason::AnswerTooLarge);
    }
}
