#include "platform/platformdaemonfixture.h"

#include <iterator>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

TEST_CASE_METHOD(PlatformDaemonFixture, "PlatformDaemon.answerThatIsNotDelivered.isLoggedWithItsRequestAndCause")
{
    // Guards against requests that reached a backend server, but whose undelivered response cannot be traced in the log.
    REQUIRE(servesLookups());
    vms[1].backend->hangs = true;
    const size_t before = vms[1].backend->ran.size();
    const auto cancellation = std::make_shared<Cancellation>();
    const HttpRequest lost = request(http::verb::get, "/look/1");
    begin(vms[0].caller, lost, cancellation);
    REQUIRE(waitFor([&] { return vms[1].backend->ran.size() > before; }));
    cancellation->request();
    const std::string line = "event=2009 name=answer-undelivered request=" + fieldValue(lost, "X-Attempt-Id") + " port=caller";
    CHECK(waitFor([&] {
        std::ifstream file(vms[0].logFile);
        const std::string log { std::istreambuf_iterator<char>(file), {} };
        const size_t at = log.find(line);
        return at != std::string::npos && log.substr(at, log.find('\n', at) - at).ends_with("cause=caller-left");
    }));
    const HttpResponse figures = send(vms[0].control, HttpRequest(http::verb::get, "/metrics", 11));
    CHECK(figures.body().find("carobjunction_answers_undelivered_total 1\n") != std::string::npos);
}
