#include "platform/platformdaemonfixture.h"

#include <iterator>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.answerThatIsNotDelivered.isLoggedWithItsRequestAndCause")
{
    // Guards against requests that reached a backend server, but whose undelivered response cannot be traced in the log.
    REQUIRE(waitForLookups());
    vms[1].backend->neverResponds = true;
    const size_t before = vms[1].backend->startedRequests.size();
    const auto cancellation = std::make_shared<Cancellation>();
    const HttpRequest undeliveredRequest = request(http::verb::get, "/look/1");
    sendAsync(vms[0].caller, undeliveredRequest, cancellation);
    REQUIRE(waitFor([&] { return vms[1].backend->startedRequests.size() > before; }));
    cancellation->request();
    const std::string line = "event=2009 name=answer-undelivered request=" + fieldValue(undeliveredRequest, "X-Attempt-Id") + " port=caller";
    CHECK(waitFor([&] {
        std::ifstream file(vms[0].logFile);
        const std::string log { std::istreambuf_iterator<char>(file), {} };
        const size_t at = log.find(line);
        return at != std::string::npos && log.substr(at, log.find('\n', at) - at).ends_with("cause=caller-left");
    }));
    const HttpResponse metricsResponse = send(vms[0].control, HttpRequest(http::verb::get, "/metrics", 11));
    CHECK(metricsResponse.body().find("carobjunction_answers_undelivered_total 1\n") != std::string::npos);
}
