#include "platform/platformdaemonfixture.h"

#include "connection/brokenanswers.h"

#include <iterator>
#include <set>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

constexpr size_t UploadBytes = 8U << 20U; // more than the kernel buffers on the way, so that the daemon is still writing it

/** Path of the daemons through which a request reaches the backend server. */
enum class Via {
    PeerDaemon,
    OwnDaemon,
};

std::string answerFields(const std::string &id)
{
    return "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal\r\nX-Server-Load: 0,0,9,100\r\n";
}

std::string answerHead(const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + "\r\n" + answerFields(id);
}

} // namespace

/** The backend server of the second VM answers paths that contain "broken" with chosen bytes, and all others correctly. */
struct BrokenAnswersFixture : PlatformDaemonFixture {
    BrokenAnswersFixture() : server(loop, [this](const HttpRequest &head, BrokenAnswerServer::RequestPosition position) { return answer(head, position); })
    {
        vms[1].daemon->kill();
        vms[1].replacementBackendAddress = "127.0.0.1:" + std::to_string(server.address().port());
        start(vms[1]);
        REQUIRE(waitFor([&] { return getStatus(vms[1].ready, "/v1/readyz") == 200; }));
        REQUIRE(sendHeartbeat(vms[1]) == 200);
        REQUIRE(waitForLookups());
    }

    RawAnswer answer(const HttpRequest &head, BrokenAnswerServer::RequestPosition position)
    {
        const std::string id = fieldValue(head, "X-Attempt-Id");
        const std::string path(head.target().data(), head.target().size());
        if (path.find("broken") == std::string::npos) {
            return { answerHead("200 OK", id) + "Content-Length: 2\r\n\r\nok" };
        }
        startedIds.insert(id);
        wasConnectionKept = position.request > 1;
        RawAnswer broken = brokenAnswer(id);
        broken.endsUse = true;
        return broken;
    }

    HttpResponse sendBroken(Via via, const std::string &route, const std::string &body)
    {
        HttpRequest message = request(http::verb::post, route + "broken");
        message.body() = body;
        lastId = fieldValue(message, "X-Attempt-Id");
        return send(vms[via == Via::PeerDaemon ? 0 : 1].caller, message);
    }

    std::string ownerLog() const
    {
        std::ifstream file(vms[1].logFile);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    /** @return whether the owner's log names the reason for which an answer was discarded */
    bool isReasonLogged(const std::string &id) const
    {
        const std::string log = ownerLog();
        const size_t at = log.find("name=answer-discarded request=" + id + " server=" + vms[1].backendAddress() + " reason=answer-");
        const std::string line = at == std::string::npos ? "" : log.substr(at, log.find('\n', at) - at);
        return line.find(" detail=") != std::string::npos && !line.ends_with("detail=\"\"");
    }

    /** Sends one request of each kind on a kept and on a new connection. Each must be answered 502, and only once sent to the backend server. */
    void checkIsAnsweredWithBadGateway(const std::string &body = "")
    {
        for (const Via via : { Via::PeerDaemon, Via::OwnDaemon }) {
            for (const std::string route : { "/look/", "/order/" }) {
                REQUIRE(sendToFirstVm(http::verb::get, "/look/1").result_int() == 200);
                for (const bool isKept : { true, false }) { // a broken answer ends the kept connection, so the second request opens a new one
                    CAPTURE(static_cast<int>(via), route, isKept);
                    const HttpResponse response = sendBroken(via, route, body);
                    CHECK(response.result_int() == 502);
                    CHECK(response.body().find("may have run: answer-") != std::string::npos);
                    CHECK_FALSE(hasField(response, "X-Response-Seal"));
                    CHECK(startedIds.count(lastId) == 1);
                    CHECK(wasConnectionKept == isKept);
                    CHECK(waitFor([this] { return isReasonLogged(lastId); }, 1s));
                }
            }
        }
        CHECK(server.misusedConnections == 0);
    }

    std::function<RawAnswer(const std::string &id)> brokenAnswer;
    std::multiset<std::string> startedIds; /**< Ids of the requests to which a broken answer was sent. */
    std::string lastId; /**< Id of the latest request that was to be answered with a broken answer. */
    bool wasConnectionKept = false; /**< Whether the latest broken answer was sent on a connection that had carried another answer. */
    BrokenAnswerServer server;
};

TEST_CASE_METHOD(BrokenAnswersFixture, "BrokenAnswers.statusZero.isAnsweredWithBadGateway")
{
    // Guards against a status that HTTP does not define and that reaches the caller as the answer of the backend server.
    brokenAnswer = [](const std::string &id) {
        return RawAnswer { answerHead("000 Trouble", id) + "Content-Length: 5\r\n\r\nwhole" };
    };
    checkIsAnsweredWithBadGateway();
}

TEST_CASE_METHOD(BrokenAnswersFixture, "BrokenAnswers.bodyWithoutLengthResetDuringTheUpload.isAnsweredWithBadGateway")
{
    // Guards against a part of a body that counts as complete, because the write of the upload took the only report of the reset.
    const Duration delay = GENERATE(0ms, 20ms, 200ms);
    const size_t uploadBefore = GENERATE(size_t { 0 }, size_t { 100'000 });
    CAPTURE(delay.count(), uploadBefore);
    brokenAnswer = [=](const std::string &id) {
        return RawAnswer { answerHead("200 OK", id) + "\r\na part", ConnectionEnd::Reset, uploadBefore, 0, delay };
    };
    checkIsAnsweredWithBadGateway(std::string(UploadBytes, 'u'));
}

TEST_CASE_METHOD(BrokenAnswersFixture, "BrokenAnswers.blankOrControlByteInAFieldName.isAnsweredWithBadGateway")
{
    // Guards against a line that starts with a blank and is taken for a continuation of the line before it, also if it frames the body.
    const std::string line = GENERATE(" rder: 1\r\nContent-Length: 5\r\n",
                                      "\tOrder: 1\r\nContent-Length: 5\r\n",
                                      "Or der: 1\r\nContent-Length: 5\r\n",
                                      "Order : 1\r\nContent-Length: 5\r\n",
                                      "Or\x01"
                                      "der: 1\r\nContent-Length: 5\r\n",
                                      "\x7f"
                                      "Order: 1\r\nContent-Length: 5\r\n",
                                      " ontent-Length: 5\r\n",
                                      "\tontent-Length: 5\r\n",
                                      "Content-Length\x02: 5\r\n",
                                      " ransfer-Encoding: chunked\r\n",
                                      "Transfer Encoding: chunked\r\n");
    CAPTURE(line);
    brokenAnswer = [line](const std::string &id) {
        return RawAnswer { answerHead("200 OK", id) + line + "\r\nwhole", ConnectionEnd::Close };
    };
    checkIsAnsweredWithBadGateway();
}

TEST_CASE_METHOD(BrokenAnswersFixture, "BrokenAnswers.anyKind.isAnsweredWithBadGatewayAlsoIfItClaimsARefusal")
{
    // Guards against a broken answer that passes, and against one that counts as the proof that a request did not run.
    const std::string claim = GENERATE("", "X-Not-Executed: 1\r\n");
    const size_t kinds = brokenAnswers("", "whole").size();
    for (size_t kind = 0; kind < kinds; ++kind) {
        const auto answerOfKind = [&](const std::string &id) {
            return brokenAnswers(answerFields(id) + claim, "whole")[kind];
        };
        CAPTURE(claim, answerOfKind("").defect);
        brokenAnswer = [&](const std::string &id) {
            return answerOfKind(id).answer;
        };
        checkIsAnsweredWithBadGateway();
    }
}

TEST_CASE_METHOD(BrokenAnswersFixture, "BrokenAnswers.lookup.isAnsweredByAnotherServerAndAnOrderIsNotRepeated")
{
    vms.push_back(makeVm("vm-3", "ordering"));
    start(vms.back());
    REQUIRE(waitFor([this] { return getStatus(vms.back().ready, "/v1/readyz") == 200; }));
    REQUIRE(sendHeartbeat(vms.back()) == 200);
    const auto &healthy = vms.back().backend->startedRequests;
    REQUIRE(waitFor([&] { return sendToFirstVm(http::verb::get, "/look/1").result_int() == 200 && !healthy.empty(); }));
    brokenAnswer = [](const std::string &id) {
        return RawAnswer { answerHead("000 Trouble", id) + "Content-Length: 5\r\n\r\nwhole" };
    };
    for (int i = 0; i < 200; ++i) { // the retry budget is a share of the requests
        sendToFirstVm(http::verb::get, "/look/1");
    }
    for (int i = 0; i < 20; ++i) {
        CHECK(sendBroken(Via::PeerDaemon, "/look/", "").result_int() == 200);
        const unsigned status = sendBroken(Via::PeerDaemon, "/order/", "").result_int();
        const auto runs
            = std::count_if(healthy.begin(), healthy.end(), [this](const HttpRequest &started) { return fieldValue(started, "X-Attempt-Id") == lastId; });
        CHECK(static_cast<size_t>(runs) + startedIds.count(lastId) == 1);
        CHECK(status == (runs == 1 ? 200 : 502));
    }
    CHECK_FALSE(startedIds.empty());
}
