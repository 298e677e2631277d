#include "request/requestrouter.h"

#include "connection/messagefields.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

const PlatformHeaders Headers { "Request-Id", "Time-Left", "Seal", "Expected", "Not-Executed", "Load", "Caller", "Backend" };

ForwardResult answeredResult(int status)
{
    ForwardResult result;
    result.outcome = Outcome::Ran;
    result.reachedBackend = true;
    result.response = HttpResponse(static_cast<http::status>(status), 11);
    result.serviceTime = 50ms;
    return result;
}

ForwardResult shedResult()
{
    ForwardResult result = ForwardResult::notRun(Reason::Shed);
    result.reachedBackend = true;
    return result;
}

} // namespace

struct RequestRouterFixture {
    RequestRouterFixture()
    {
        HostRoute lookup;
        lookup.name = "lookup";
        lookup.host = "a.example";
        lookup.prefix = "/lookup/";
        lookup.idempotent = true;
        lookup.attempts = 2;
        lookup.timeout = 2s;
        lookup.destinations = { { "ordering", 1 } };
        HostRoute order = lookup;
        order.name = "order";
        order.prefix = "/order/";
        order.idempotent = false;
        HostRoute split = lookup;
        split.name = "split";
        split.prefix = "/split/";
        split.destinations = { { "ordering", 90 }, { "dispatch", 10 } };
        routes = RouteTable::create(3, { lookup, order, split }, {}, {});
        for (const char *daemon : { "vm-1", "vm-2", "vm-3" }) {
            VmRecord record;
            record.daemon = daemon;
            record.address = "10.0.0.1:1";
            record.dataCentre = "pil-a";
            record.region = "pilbara";
            record.backend = { std::string(daemon) + "-backend", 1, "ordering", 9, BackendState::Ready };
            directory.merge(record);
        }
    }

    Task<ForwardResult> forward(std::string daemon, ForwardRequest request)
    {
        contactedDaemons.push_back(daemon);
        lastRequest = std::move(request);
        suspendedTime += suspensionPerForward;
        if (scriptedResults.empty()) {
            co_return answeredResult(200);
        }
        ForwardResult next = std::move(scriptedResults.front());
        scriptedResults.pop_front();
        co_return next;
    }

    HttpResponse call(const std::string &path, http::verb method = http::verb::get)
    {
        HttpRequest message(method, path, 11);
        message.set(http::field::host, "a.example");
        message.set("Request-Id", "r1");
        message.set("Time-Left", "1000");
        MaybeResponse response;
        asio::co_spawn(
            loop, [&]() -> Task<void> { response = co_await router.handle(message, std::make_shared<Cancellation>()); }, asio::detached);
        loop.restart();
        loop.run();
        REQUIRE(response.has_value());
        return *response;
    }

    asio::io_context loop;
    std::shared_ptr<const RouteTable> routes;
    VmDirectory directory { "vm-1", { "pil-a", "pilbara" } };
    ClusterRetryBudget retryBudget { { 0.2, 100, 10s } };
    CrashHistory crashHistory;
    RouteServiceTimes serviceTimes;
    Metrics metrics;
    std::deque<ForwardResult> scriptedResults;
    std::vector<std::string> contactedDaemons;
    ForwardRequest lastRequest;
    Duration suspendedTime = 7s; /**< Time for which the VM was suspended since boot. */
    Duration suspensionPerForward = Duration::zero(); /**< Time for which the VM is suspended while a request is at another daemon. */
    std::optional<StopSchedule> stopSchedule;
    RequestRouter router { { [this] { return routes; },
                             [this](std::string daemon, ForwardRequest request, CancellationPtr) { return forward(std::move(daemon), std::move(request)); },
                             "ordering",
                             [this] { return suspendedTime; },
                             [this] {
                                 return stopSchedule ? &*stopSchedule : nullptr;
                             } },
                           Headers,
                           directory,
                           retryBudget,
                           crashHistory,
                           serviceTimes,
                           metrics };
};

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.answer.isPassedOn")
{
    const HttpResponse response = call("/lookup/1?x=2");
    CHECK(response.result_int() == 200);
    CHECK(fieldValue(response, "Request-Id") == "r1");
    CHECK(lastRequest.message.target() == "/lookup/1?x=2");
    CHECK(lastRequest.callerService == "ordering");
    CHECK(lastRequest.backend == contactedDaemons.front() + "-backend");
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.noConfiguration.refusesWithRetryAfter")
{
    routes = nullptr;
    const HttpResponse response = call("/lookup/1");
    CHECK(response.result_int() == 503);
    CHECK(hasField(response, "Retry-After"));
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.unknownRoute.answers404")
{
    CHECK(call("/nowhere/").result_int() == 404);
    CHECK(contactedDaemons.empty());
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.lostAnswerOfAnOrder.isNeitherRetriedNorReportedAsNotRun")
{
    // Guards against an order that runs twice, and against a false "not run".
    scriptedResults.push_back(ForwardResult::unknown(Reason::AnswerLost));
    CHECK(call("/order/1", http::verb::post).result_int() == 502);
    CHECK(contactedDaemons.size() == 1);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.refusalAfterALostAnswer.isNotReportedAsNotRun")
{
    scriptedResults.push_back(ForwardResult::unknown(Reason::AnswerLost));
    scriptedResults.push_back(shedResult());
    CHECK(call("/lookup/1").result_int() == 502);
    CHECK(contactedDaemons.size() == 2);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.lostAnswerOfALookup.isSentToAnotherTarget")
{
    scriptedResults.push_back(ForwardResult::unknown(Reason::AnswerLost));
    CHECK(call("/lookup/1").result_int() == 200);
    REQUIRE(contactedDaemons.size() == 2);
    CHECK(contactedDaemons[0] != contactedDaemons[1]);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.attemptsOfTheRoute.areNotExceeded")
{
    for (int i = 0; i < 3; ++i) {
        scriptedResults.push_back(ForwardResult::unknown(Reason::AnswerLost));
    }
    CHECK(call("/lookup/1").result_int() == 502);
    CHECK(contactedDaemons.size() == 2);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.refusedOrder.isSentToAnotherTarget")
{
    scriptedResults.push_back(ForwardResult::notRun(Reason::Leaving));
    scriptedResults.push_back(ForwardResult::notRun(Reason::PeerUnreachable));
    CHECK(call("/order/1", http::verb::post).result_int() == 200);
    CHECK(contactedDaemons.size() == 3);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.allTargetsFull.refusesWithTheirRetryAfter")
{
    for (int i = 0; i < 6; ++i) {
        scriptedResults.push_back(ForwardResult::notRun(Reason::Full, 700ms));
    }
    const HttpResponse response = call("/order/1", http::verb::post);
    CHECK(response.result_int() == 503);
    CHECK(fieldValue(response, "Retry-After") == "0.70");
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.sheddingService.staysWithinTheRetryBudget")
{
    // Guards against reroutes that are not counted in the retry budget if every target of a service rejects its requests. This violated the
    // BUDGET check on both scale-1 days.
    retryBudget.setLimits({ 0, 0, 10s });
    scriptedResults.push_back(shedResult());
    CHECK(call("/lookup/1").result_int() == 503);
    CHECK(contactedDaemons.size() == 1);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.failureOfTheBackendServer.isPassedOnWithoutABetterAnswer")
{
    retryBudget.setLimits({ 0, 0, 10s });
    scriptedResults.push_back(answeredResult(500));
    CHECK(call("/lookup/1").result_int() == 500);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.condemnedRequest.isRefusedBeforeAnyTarget")
{
    REQUIRE(call("/lookup/1").result_int() == 200);
    crashHistory.add({ lastRequest.fingerprint, "a" }, SteadyClock().now());
    crashHistory.add({ lastRequest.fingerprint, "b" }, SteadyClock().now());
    contactedDaemons.clear();
    CHECK(call("/lookup/1").result_int() == 503);
    CHECK(contactedDaemons.empty());
    CHECK(call("/lookup/2").result_int() == 200);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.outcomes.areCounted")
{
    call("/lookup/1");
    scriptedResults.push_back(ForwardResult::unknown(Reason::AnswerLost));
    call("/order/1", http::verb::post);
    scriptedResults.push_back(ForwardResult::notRun(Reason::Leaving));
    call("/order/1", http::verb::post);
    call("/nowhere/");
    CHECK(metrics.value(Counter::CallsRan) == 2);
    CHECK(metrics.value(Counter::CallsUnknown) == 1);
    CHECK(metrics.value(Counter::CallsNotRun) == 1);
    CHECK(metrics.value(Counter::Reroutes) == 1);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.splitRoute.appliesTheWeights")
{
    int toDispatch = 0;
    for (int i = 0; i < 100; ++i) {
        call("/split/1");
        toDispatch += lastRequest.service == "dispatch" || contactedDaemons.empty() ? 1 : 0;
        contactedDaemons.clear();
    }
    CHECK(toDispatch >= 9);
    CHECK(toDispatch <= 11);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.vmSuspendedPastTheDeadline.sendsTheRequestNowhereElse")
{
    // Guards against a daemon that wakes up after seconds and acts on a deadline that has passed meanwhile, because its steady clock stood still.
    suspensionPerForward = 5s;
    scriptedResults.push_back(ForwardResult::notRun(Reason::Full));
    CHECK(call("/order/1", http::verb::post).result_int() == 503);
    CHECK(contactedDaemons.size() == 1);
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.vmSuspendedBriefly.shortensTheRemainingTime")
{
    suspensionPerForward = 300ms;
    scriptedResults.push_back(ForwardResult::notRun(Reason::Full));
    const TimePoint start = SteadyClock().now();
    CHECK(call("/lookup/1").result_int() == 200);
    REQUIRE(contactedDaemons.size() == 2);
    CHECK(lastRequest.deadlineAt < start + 800ms); // 1 s less the suspension
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.orderLateInAStop.isRefusedInsteadOfCutOff")
{
    // Guards against an order that is dispatched shortly before the daemon aborts its requests.
    for (int i = 0; i < 20; ++i) {
        serviceTimes.observe("order", 400ms);
    }
    stopSchedule.emplace(SteadyClock().now() - 1200ms, 2s);
    CHECK(call("/order/1", http::verb::post).result_int() == 503);
    CHECK(contactedDaemons.empty());
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.requestDuringAStop.mustBeAnsweredBeforeItsEnd")
{
    stopSchedule.emplace(SteadyClock().now() - 1200ms, 2s);
    CHECK(call("/lookup/1").result_int() == 200);
    CHECK(lastRequest.deadlineAt == stopSchedule->answerBy());
}

TEST_CASE_METHOD(RequestRouterFixture, "RequestRouter.allTargetsFull.namesTheShortestWaitInRetryAfter")
{
    // Guards against a Retry-After that depends on the names of the daemons.
    for (const Duration wait : { Duration(900ms), Duration(200ms), Duration(700ms), Duration(200ms), Duration(700ms), Duration(900ms) }) {
        scriptedResults.push_back(ForwardResult::notRun(Reason::Full, wait));
    }
    const HttpResponse response = call("/lookup/1");
    CHECK(response.result_int() == 503);
    CHECK(fieldValue(response, "Retry-After") == "0.20");
}

/** Two regions: the targets of the caller's region have long queues, the one in the other region has free slots. */
struct UnevenRegionsFixture : RequestRouterFixture {
    UnevenRegionsFixture()
    {
        VmRecord remote = directory.find("vm-1")->record;
        remote.daemon = "vm-4";
        remote.dataCentre = "mid-a";
        remote.region = "midwest";
        remote.backend.id = "vm-4-backend";
        directory.merge(remote);
        for (const char *daemon : { "vm-1", "vm-2", "vm-3" }) {
            reportQueue(daemon, 300);
        }
    }

    void reportQueue(const std::string &daemon, uint32_t waiting)
    {
        TargetReport report;
        report.running = 9;
        report.waiting = waiting;
        report.limit = 9;
        directory.onLoadReport(daemon, report, SteadyClock().now());
    }
};

TEST_CASE_METHOD(UnevenRegionsFixture, "RequestRouter.ownRegionOverloaded.usesAFreeSlotOfTheOtherRegion")
{
    // Guards against requests that are refused by every target of their region while the other region has free slots.
    CHECK(call("/lookup/1").result_int() == 200);
    CHECK(contactedDaemons == std::vector<std::string> { "vm-4" });
}

TEST_CASE_METHOD(UnevenRegionsFixture, "RequestRouter.bothRegionsOverloaded.refusesWithoutAskingAll")
{
    reportQueue("vm-4", 300);
    for (int i = 0; i < 6; ++i) {
        scriptedResults.push_back(ForwardResult::notRun(Reason::Full, 3s));
    }
    CHECK(call("/lookup/1").result_int() == 503);
    CHECK(contactedDaemons.size() == 1);
}

TEST_CASE_METHOD(UnevenRegionsFixture, "RequestRouter.ownRegionWithAShortQueue.keepsTheRequest")
{
    reportQueue("vm-2", 1);
    CHECK(call("/lookup/1").result_int() == 200);
    CHECK(contactedDaemons == std::vector<std::string> { "vm-2" });
}

TEST_CASE_METHOD(UnevenRegionsFixture, "RequestRouter.requestDuringAStop.isNotQueued")
{
    // Guards against a request that waits at a target during a stop, starts when little time is left, and is cut off.
    reportQueue("vm-2", 1);
    stopSchedule.emplace(SteadyClock().now(), 6s);
    scriptedResults.push_back(ForwardResult::notRun(Reason::Full, 200ms));
    call("/lookup/1");
    CHECK(contactedDaemons.front() == "vm-2");
    CHECK_FALSE(lastRequest.mayQueue);
}
