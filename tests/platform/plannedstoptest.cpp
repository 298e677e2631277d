#include "platform/platformdaemonfixture.h"

#include <carobjunction/process/durations.h>

#include <algorithm>
#include <set>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

/** Planned stop of one VM in calm, while its callers go on sending requests until the process has ended. */
struct PlannedStopFixture : PlatformDaemonFixture {
    struct SentRequest {
        std::string id;
        bool isOrder = false;
        Duration sentAfter {}; /**< Time after the stop request. */
        std::shared_ptr<std::optional<ExchangeResult>> result;
    };

    /** Teaches the daemon the service time of both routes. */
    void learnServiceTimes(Duration serviceTime)
    {
        vms[1].backend->serviceTime = serviceTime;
        REQUIRE(waitForLookups());
        REQUIRE(sendToFirstVm(http::verb::post, "/order/1").result_int() == 200);
    }

    /** Stops the first daemon, and sends a lookup and an order every @p interval until its process has ended. */
    void stopUnderRequests(Duration interval)
    {
        const TimePoint stopAt = SteadyClock().now();
        vms[0].daemon->terminate();
        while (!vms[0].daemon->waitForExit(1ms)) {
            const Duration sinceStop = SteadyClock().now() - stopAt;
            REQUIRE(sinceStop < 4s);
            sendOne(http::verb::get, "/look/1", sinceStop);
            sendOne(http::verb::post, "/order/1", sinceStop);
            runFor(interval);
        }
        CHECK(vms[0].daemon->status() == 0);
        REQUIRE(waitFor([&] { return std::all_of(sent.begin(), sent.end(), [](const auto &request) { return request.result->has_value(); }); }));
    }

    void sendOne(http::verb method, const std::string &path, Duration sentAfter)
    {
        const HttpRequest message = request(method, path);
        sent.push_back({ fieldValue(message, "X-Attempt-Id"), method == http::verb::post, sentAfter, sendAsync(vms[0].caller, message) });
    }

    std::set<std::string> idsThatRan() const
    {
        std::set<std::string> ids;
        for (const HttpRequest &message : vms[1].backend->startedRequests) {
            ids.insert(fieldValue(message, "X-Attempt-Id"));
        }
        return ids;
    }

    std::vector<SentRequest> sent;
};

TEST_CASE_METHOD(PlannedStopFixture, "PlannedStop.requestAtAnyMoment.isAnsweredInFullOrRefusedAsNotRun")
{
    // Guards against requests that are accepted late in the grace period, passed on, and cut off at its end.
    const Duration serviceTime = GENERATE(5ms, 300ms, 1100ms);
    learnServiceTimes(serviceTime);
    stopUnderRequests(40ms);
    const std::set<std::string> ran = idsThatRan();
    size_t served = 0;
    for (const SentRequest &request : sent) {
        CAPTURE(toMs(serviceTime), toMs(request.sentAfter), request.isOrder);
        const ExchangeResult &result = **request.result;
        const unsigned status = result.end == ExchangeEnd::Answered ? result.response.result_int() : 0;
        served += status == 200 ? 1 : 0;
        if (ran.count(request.id) > 0) {
            CHECK(status == 200);
        } else {
            CHECK((status == 503 || status == 0));
        }
    }
    CHECK(served > 0);
}
