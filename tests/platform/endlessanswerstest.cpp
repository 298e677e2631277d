#include "platform/peakmemory.h"
#include "platform/platformdaemonfixture.h"

#include "connection/endlessserver.h"

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

constexpr uint32_t SmallestVmMb = 160;
constexpr int SlotCount = 9; // slots of a backend server

std::string extractField(const std::string &request, const std::string &name)
{
    const size_t at = request.find(name + ": ");
    return at == std::string::npos ? "" : request.substr(at + name.size() + 2, request.find("\r\n", at) - at - name.size() - 2);
}

/** Responds to orders with an endless body, and to health checks and lookups correctly. */
EndlessAnswer answerOrdersEndlessly(const std::string &request)
{
    if (request.starts_with("GET /healthz")) {
        return { "HTTP/1.1 200 OK\r\nX-Server-Load: 0,0,9,100\r\nContent-Length: 2\r\n\r\nok", "" };
    }
    const std::string fields = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + extractField(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n";
    if (request.starts_with("GET /look/")) {
        return { fields + "Content-Length: 4\r\n\r\nfine", "" };
    }
    return { fields + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + std::string(0x10000, 'x') + "\r\n" };
}

} // namespace

TEST_CASE_METHOD(PlatformDaemonFixture, "EndlessAnswers.inAllSlots.daemonStaysWithinItsMemory")
{
    // Guards against a faulty backend server that exhausts the memory of its daemon, so that the platform kills the daemon and all of its
    // active requests are lost.
    REQUIRE(waitForLookups());
    Vm &owner = vms[1];
    owner.backend->crash();
    EndlessServer server(loop, &answerOrdersEndlessly, parseEndpoint(owner.backend->address())->port());
    owner.daemon->kill();
    owner.additionalSettings = "memory: " + std::to_string(SmallestVmMb) + "\n";
    start(owner);
    REQUIRE(waitFor([&] { return getStatus(owner.ready, "/v1/readyz") == 200; }));
    REQUIRE(sendHeartbeat(owner) == 200);
    REQUIRE(waitForLookups());

    std::vector<std::shared_ptr<std::optional<ExchangeResult>>> orders;
    for (int i = 0; i < SlotCount; ++i) {
        orders.push_back(sendAsync(vms[0].caller, request(http::verb::post, "/order/" + std::to_string(i))));
    }
    const auto lookup = sendAsync(vms[0].caller, request(http::verb::get, "/look/2"));
    CHECK(waitFor([&] { return std::all_of(orders.begin(), orders.end(), [](const auto &order) { return order->has_value(); }); }, 9s));
    for (const auto &order : orders) {
        REQUIRE(order->has_value());
        REQUIRE((*order)->end == ExchangeEnd::Answered);
        CHECK((*order)->response.result_int() == 502);
        CHECK((*order)->response.body().find("answer-too-large") != std::string::npos);
    }
    REQUIRE(waitFor([&] { return lookup->has_value(); }));
    CHECK((*lookup)->response.result_int() == 200);
    for (int i = 0; i < 5; ++i) {
        CHECK(sendToFirstVm(http::verb::get, "/look/3").result_int() == 200);
    }
    CHECK(server.closedByClient == SlotCount);
    const uint64_t ownerPeakMb = peakMemoryMb(owner.daemon->pid());
    const uint64_t entryPeakMb = peakMemoryMb(vms[0].daemon->pid());
    INFO("peak memory of the owner: " << ownerPeakMb << " MB, of the entry daemon: " << entryPeakMb << " MB");
    CHECK(ownerPeakMb > 0);
    CHECK(ownerPeakMb < SmallestVmMb);
    CHECK(entryPeakMb < SmallestVmMb);
    const HttpResponse metricsResponse = send(owner.control, HttpRequest(http::verb::get, "/metrics", 11));
    CHECK(metricsResponse.body().find("\ncarobjunction_body_bytes_held 0\n") != std::string::npos);
    CHECK(metricsResponse.body().find("\ncarobjunction_bodies_without_room_total 0\n") == std::string::npos);
}
