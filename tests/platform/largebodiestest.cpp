#include "platform/peakmemory.h"
#include "platform/platformdaemonfixture.h"

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

TEST_CASE_METHOD(PlatformDaemonFixture, "LargeBodies.manyAtOnce.thoseAboveTheBudgetAreRefused")
{
    // Guards against callers that exhaust the memory of a daemon with concurrent bodies, each of which is within the limit.
    constexpr uint32_t SmallestVmMb = 160;
    constexpr int Bodies = 8;
    constexpr size_t BodyBytes = 15U << 20U; // the configured limit is 16 MB
    REQUIRE(waitForLookups());
    vms[0].daemon->kill();
    vms[0].additionalSettings = "memory: " + std::to_string(SmallestVmMb) + "\n";
    start(vms[0]);
    REQUIRE(waitFor([&] { return getStatus(vms[0].ready, "/v1/readyz") == 200; }));
    REQUIRE(waitForLookups());
    const size_t startedBefore = vms[1].backend->startedRequests.size();

    std::vector<std::shared_ptr<std::optional<ExchangeResult>>> orders;
    for (int i = 0; i < Bodies; ++i) {
        HttpRequest order = request(http::verb::post, "/order/" + std::to_string(i));
        order.body() = std::string(BodyBytes, 'x');
        orders.push_back(sendAsync(vms[0].caller, std::move(order)));
    }
    CHECK(waitFor([&] { return std::all_of(orders.begin(), orders.end(), [](const auto &order) { return order->has_value(); }); }, 9s));
    size_t served = 0;
    for (const auto &order : orders) {
        REQUIRE(order->has_value());
        REQUIRE((*order)->end == ExchangeEnd::Answered);
        const HttpResponse &response = (*order)->response;
        if (response.result_int() == 200) {
            ++served;
            continue;
        }
        CHECK(response.result_int() == 503);
        CHECK(hasField(response, "Retry-After"));
        CHECK(hasField(response, "X-Attempt-Id"));
        CHECK(response.body().find("did not run: body-room") != std::string::npos);
    }
    CHECK(served > 0);
    CHECK(vms[1].backend->startedRequests.size() - startedBefore == served);
    const uint64_t entryPeakMb = peakMemoryMb(vms[0].daemon->pid());
    INFO("served requests: " << served << ", peak memory of the entry daemon: " << entryPeakMb << " MB");
    CHECK(entryPeakMb > 0);
    CHECK(entryPeakMb < SmallestVmMb);
    CHECK(sendToFirstVm(http::verb::get, "/look/1").result_int() == 200);
    const HttpResponse metricsResponse = send(vms[0].control, HttpRequest(http::verb::get, "/metrics", 11));
    CHECK(metricsResponse.body().find("\ncarobjunction_body_bytes_held 0\n") != std::string::npos);
}
