#include "platform/platformdaemonfixture.h"

#include <carobjunction/process/durations.h>

#include <random>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

/** Two backend servers of the service, of which one ends and starts again with a new id while callers send the same lookup. */
struct FlappingServerFixture : PlatformDaemonFixture {
    FlappingServerFixture()
    {
        vms.push_back(makeVm("vm-3", "ordering"));
        start(vms.back());
        REQUIRE(waitFor([this] { return getStatus(vms.back().ready, "/v1/readyz") == 200; }));
        for (size_t i : { size_t { 1 }, size_t { 2 } }) {
            vms[i].backend->serviceTime = 200ms;
            REQUIRE(sendHeartbeat(vms[i]) == 200);
        }
        REQUIRE(waitForLookups());
    }

    /** Starts the same lookup every 50 ms for @p time. */
    void sendLookups(Duration time)
    {
        const TimePoint end = SteadyClock().now() + time;
        while (SteadyClock().now() < end) {
            results.push_back(sendAsync(vms[0].caller, request(http::verb::get, "/look/today")));
            runFor(50ms);
        }
    }

    Duration randomTime(Duration limit)
    {
        return scaled(limit, std::uniform_real_distribution<double>(0, 1)(random));
    }

    std::mt19937 random;
    std::vector<std::shared_ptr<std::optional<ExchangeResult>>> results;
};

} // namespace

TEST_CASE_METHOD(FlappingServerFixture, "FlappingServer.lookupThatManyCallersSend.isServedAfterwards")
{
    // Guards against a lookup that is refused at all servers for minutes, because it was running each time when one of them ended.
    const uint32_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    random.seed(seed);
    for (int process = 1; process <= 4; ++process) {
        sendLookups(200ms + randomTime(400ms));
        vms[1].backend->crash();
        sendLookups(100ms + randomTime(300ms));
        REQUIRE(vms[1].backend->restart("i-vm-2-" + std::to_string(process)));
        REQUIRE(sendHeartbeat(vms[1]) == 200);
    }
    runFor(1s);
    for (int i = 0; i < 10; ++i) {
        CHECK(sendToFirstVm(http::verb::get, "/look/today").result_int() == 200);
    }
}
