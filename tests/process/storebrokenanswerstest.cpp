#include "process/storeclient.h"

#include "connection/brokenanswers.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

const std::string StoredObject = "a: 1";

} // namespace

/** Client of a store that answers requests for the object "broken" with chosen bytes, and all others correctly. */
class StoreBrokenAnswersFixture
{
public:
    StoreBrokenAnswersFixture()
    {
        StoreClientOptions options;
        options.address = server.address();
        options.breaker = { 1000, 1ms, 2ms, 1 };
        client = StoreClient::create(options);
    }

    RawAnswer answerTo(const HttpRequest &head)
    {
        const std::scoped_lock lock(m_mutex);
        if (!head.target().ends_with("broken")) {
            return { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + StoredObject };
        }
        return m_answer;
    }

    void setAnswer(const RawAnswer &answer)
    {
        const std::scoped_lock lock(m_mutex);
        m_answer = answer;
    }

    std::unique_ptr<StoreClient> client;

private:
    std::mutex m_mutex;
    RawAnswer m_answer;

public:
    RunningBrokenAnswerServer server { [this](const HttpRequest &head, BrokenAnswerServer::RequestPosition) {
        return answerTo(head);
    } };
};

TEST_CASE_METHOD(StoreBrokenAnswersFixture, "StoreClient.brokenAnswer.isNeitherAnObjectNorAStoredOne")
{
    // Guards against a configuration that is read from an answer which the store did not send so, or did not send whole.
    for (const BrokenAnswer &broken : brokenAnswers("", StoredObject)) {
        for (const bool isKept : { true, false }) {
            CAPTURE(broken.defect, isKept);
            if (isKept) {
                REQUIRE(client->getObject("good") == StoredObject);
            }
            setAnswer(broken.answer);
            CHECK_FALSE(client->getObject("broken").has_value());
            CHECK(LastError<StoreError>::get().code == StoreErrorCode::Timeout);
            CHECK_FALSE(client->putObject("broken", "x"));
            CHECK(LastError<StoreError>::get().code == StoreErrorCode::Timeout);
            CHECK(LastError<StoreError>::get().mayHaveTakenEffect);
        }
    }
    CHECK(server.misusedConnections() == 0);
}

TEST_CASE_METHOD(StoreBrokenAnswersFixture, "StoreClient.resetDuringTheUploadOfAnObject.isNoAnswer")
{
    const Duration delay = GENERATE(0ms, 20ms, 200ms);
    CAPTURE(delay.count());
    setAnswer({ "HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::Reset, 0, 0, delay });
    CHECK_FALSE(client->putObject("broken", std::string(8U << 20U, 'u')));
    CHECK(LastError<StoreError>::get().mayHaveTakenEffect);
}

TEST_CASE_METHOD(StoreBrokenAnswersFixture, "StoreClient.secondCopyOfAnAnswer.isNotThatOfTheNextRequest")
{
    // Guards against bytes behind an answer that the next request on the connection receives.
    const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    setAnswer({ copy + copy });
    CHECK(client->getObject("broken") == "first");
    CHECK(client->getObject("good") == StoredObject);
}
