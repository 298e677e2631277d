#include "process/twodaemonsfixture.h"

using namespace carobjunction;
using namespace std::chrono_literals;

struct DaemonBrokenAnswersFixture : TwoDaemonsFixture {
    /** Sends a lookup and an order through each daemon. Each must be answered with 502, an unknown outcome and a reason, and be logged. */
    void checkOutcomeIsUnknown(const std::string &body = "")
    {
        announce();
        for (const size_t daemon : { size_t { 0 }, size_t { 1 } }) {
            for (const http::verb method : { http::verb::get, http::verb::post }) {
                CAPTURE(daemon, method == http::verb::post);
                const HttpResponse response = call(daemon, method, body);
                const std::string id = fieldValue(response, "Carob-Request-Id");
                CHECK(response.result_int() == 502);
                CHECK(fieldValue(response, "Carob-Outcome") == "unknown");
                CHECK(fieldValue(response, "Carob-Reason").starts_with("answer-"));
                CHECK(response.body().find("whole") == std::string::npos);
                CHECK(startedCount(id) == 1);
                CHECK(ownerLog().find("name=answer-discarded request=" + id) != std::string::npos);
            }
        }
    }
};

TEST_CASE_METHOD(DaemonBrokenAnswersFixture, "Daemon.brokenAnswer.isAnsweredWithBadGatewayAndAnUnknownOutcome")
{
    // Guards against a broken answer that reaches callers, through the daemon beside the backend server and through another one.
    const size_t kinds = brokenAnswers("", "whole").size();
    for (size_t kind = 0; kind < kinds; ++kind) {
        CAPTURE(brokenAnswers("", "whole")[kind].defect);
        setAnswer([kind](const std::string &id) { return brokenAnswers(idField(id), "whole")[kind].answer; });
        checkOutcomeIsUnknown();
    }
}

TEST_CASE_METHOD(DaemonBrokenAnswersFixture, "Daemon.resetDuringTheUpload.isAnsweredWithBadGatewayAndAnUnknownOutcome")
{
    for (const Duration delay : { 0ms, 20ms, 200ms }) {
        CAPTURE(delay.count());
        setAnswer([delay](const std::string &id) {
            return RawAnswer { "HTTP/1.1 200 OK\r\n" + idField(id) + "\r\nwhole", ConnectionEnd::Reset, 0, 0, delay };
        });
        checkOutcomeIsUnknown(std::string(8U << 20U, 'u'));
    }
}
