#include "connection/awaittask.h"
#include "connection/brokenanswers.h"
#include "connection/peerclients.h"
#include "connection/protocolconversion.h"
#include "platform/rowsdialect.h"
#include "process/backendprobe.h"
#include "process/tablestore.h"

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

/** @return a header field with which a peer states the result of a forwarded request */
std::string resultField(ForwardResult result)
{
    const HttpResponse response = PeerCodec::encode(std::move(result));
    return std::string(PeerCodec::ResultField) + ": " + fieldValue(response, PeerCodec::ResultField) + "\r\n";
}

} // namespace

/** Server that answers each reader of a daemon with a chosen broken answer, on a kept and on a new connection. */
struct BrokenAnswerReadersFixture {
    template<typename Result>
    Result await(Task<Result> task)
    {
        return awaitTask(loop, std::move(task));
    }

    /**
     * Calls @p check for each broken answer, on a kept and on a new connection.
     * @param fields  header fields, each with its line end
     * @param open  sends a request that is answered properly, so that its connection is kept
     */
    void checkEach(const std::string &fields, const std::string &body, const std::function<void()> &open, const std::function<void()> &check)
    {
        proper = { "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
        for (const BrokenAnswer &next : brokenAnswers(fields, body)) {
            broken = next.answer;
            isBroken = false;
            open();
            isBroken = true;
            for (const bool isKept : { true, false }) {
                CAPTURE(next.defect, isKept);
                check();
            }
        }
        CHECK(server.misusedConnections == 0);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.address().port());
    }

    asio::io_context loop { 1 };
    RawAnswer proper;
    RawAnswer broken;
    bool isBroken = false;
    BrokenAnswerServer server { loop, [this](const HttpRequest &, BrokenAnswerServer::RequestPosition) {
                                   return isBroken ? broken : proper;
                               } };
};

TEST_CASE_METHOD(BrokenAnswerReadersFixture, "PeerClients.brokenAnswer.leavesTheOutcomeUnknown")
{
    // Guards against a request that runs twice, because a broken answer of a peer counts as the proof that it did not run.
    PeerClients clients(loop);
    const auto forward = [&] {
        ForwardRequest request;
        request.message = HttpRequest(http::verb::post, "/x", 11);
        request.requestId = "r1";
        request.deadlineAt = SteadyClock().now() + 1s;
        return await(clients.forward(address(), true, std::move(request), std::make_shared<Cancellation>()));
    };
    ForwardResult ran;
    ran.outcome = Outcome::Ran;
    for (const ForwardResult &claimed : { ForwardResult::notRun(Reason::Full), ran }) {
        checkEach(
            resultField(claimed),
            "whole",
            [&] { REQUIRE(forward().outcome == claimed.outcome); },
            [&] {
                const ForwardResult result = forward();
                CHECK(result.outcome == Outcome::Unknown);
                CHECK(nameOf(result.reason).starts_with("answer-"));
                CHECK(result.reachedBackend);
            });
    }
}

TEST_CASE_METHOD(BrokenAnswerReadersFixture, "PeerClients.brokenState.isNoState")
{
    PeerClients clients(loop);
    const auto fetch = [&] {
        return await(clients.fetchState(address(), StatePart::Routes));
    };
    checkEach(
        "", "state", [&] { REQUIRE(fetch() == "state"); }, [&] { CHECK_FALSE(fetch().has_value()); });
}

TEST_CASE_METHOD(BrokenAnswerReadersFixture, "TableStore.brokenAnswer.isALostOne")
{
    // Guards against rows that the store has not sent so, and against a write that counts as applied or as without effect.
    TableStore<platform::RowsDialect> store(loop, server.address());
    checkEach(
        "",
        R"({"rows":[],"ver":7,"now_ms":1,"has_more":false})",
        [&] { REQUIRE(await(store.scan("t")).has_value()); },
        [&] {
            CHECK_FALSE(await(store.scan("t")).has_value());
            CHECK(LastError<TableStoreError>::get() == TableStoreError::AnswerLost);
            CHECK_FALSE(await(store.watch("t", 1, 10ms)).has_value());
            CHECK(LastError<TableStoreError>::get() == TableStoreError::AnswerLost);
            CHECK_FALSE(await(store.commit({})).has_value());
            CHECK(LastError<TableStoreError>::get() == TableStoreError::AnswerLost);
        });
}

TEST_CASE_METHOD(BrokenAnswerReadersFixture, "BackendProbe.brokenAnswer.reportsNoLoad")
{
    int responses = 0;
    const auto probe = [&] {
        BackendProbe backendProbe(
            loop, server.address(), 0ms, [](const HttpResponse &) { return true; }, [&](const HttpResponse &) { return ++responses > 0; });
        await([](BackendProbe &started) -> Task<bool> {
            co_await started.refreshLoad("/health");
            co_return true;
        }(backendProbe));
    };
    checkEach(
        "Load: 1,2,9,100\r\n",
        "ok",
        [&] {
            probe();
            REQUIRE(std::exchange(responses, 0) == 1);
        },
        [&] {
            probe();
            CHECK(responses == 0);
        });
}

TEST_CASE("ProtocolConversion.answerOfAnOlderPeer.isCheckedLikeOneFromTheNetwork")
{
    // Guards against a daemon of an older version beside the backend server, which passes on what this one would refuse.
    const auto convert = [](int status, const std::string &name, const std::string &value) {
        CallResult result;
        result.outcome = Outcome::Ran;
        result.status = status;
        result.headers = { { name, value } };
        result.body = "whole";
        return fromMessage(toMessage("r", result));
    };
    CHECK(convert(200, "Order", "a\tb").outcome == Outcome::Ran);
    CHECK(convert(599, "Order", "").status == 599);
    for (const CallResult &result : { convert(0, "Order", "1"),
                                      convert(99, "Order", "1"),
                                      convert(600, "Order", "1"),
                                      convert(200, " Order", "1"),
                                      convert(200,
                                              "Or\x01"
                                              "der",
                                              "1"),
                                      convert(200, "", "1"),
                                      convert(200, "Order", "a\r\nb"),
                                      convert(200, "Order", "\x7f") }) {
        CHECK(result.outcome == Outcome::Unknown);
        CHECK(result.reason == Reason::AnswerMalformed);
        CHECK(result.status == 0);
        CHECK(result.headers.empty());
        CHECK(result.body.empty());
    }
    CallResult tooLarge;
    tooLarge.outcome = Outcome::Ran;
    tooLarge.reason = Reason::AnswerTooLarge;
    CHECK(fromMessage(toMessage("r", tooLarge)).outcome == Outcome::Ran);
}
