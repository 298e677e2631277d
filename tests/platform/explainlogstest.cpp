#include "commandlinetool.h"
#include "platform/platformdaemonfixture.h"

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

/** Traces a request from its id to the cause of its outcome as docs/OPERATIONS.md describes it, on the logs of running daemons. */
struct ExplainLogsFixture : PlatformDaemonFixture {
    /** Sends a request and checks the status of the response. @return the id of the request */
    std::string sendAndCheckStatus(http::verb method, const std::string &path, unsigned expectedStatus)
    {
        const HttpRequest message = request(method, path);
        CHECK(send(vms[0].caller, message).result_int() == expectedStatus);
        return "a" + std::to_string(lastRequest);
    }

    /** @return the output of the command-line tool's "explain" command for the logs of both daemons */
    std::string explain(const std::string &id)
    {
        runFor(200ms); // the daemons write their logs on separate threads
        const CommandResult result = runCommandLineTool("explain " + id + " --logs " + vms[0].logFile + " " + vms[1].logFile);
        CHECK(result.exitCode == 0);
        return result.output;
    }
};

TEST_CASE_METHOD(ExplainLogsFixture, "ExplainLogs.requestRefusedUnderLoad.namesTheFullTarget")
{
    // Guards against a refusal whose cause is logged only by the daemon of the target.
    REQUIRE(waitForLookups());
    vms[1].backend->serviceTime = 600ms;
    const auto startRequests = [this](int count) {
        for (int i = 0; i < count; ++i) {
            sendAsync(vms[0].caller, request(http::verb::get, "/look/1"));
        }
    };
    constexpr int RequestsToMeasure = 7;
    for (int round = 0; round < 3; ++round) {
        startRequests(RequestsToMeasure); // the daemon measures the service time
        runFor(800ms);
    }
    constexpr int MoreThanSlots = 40;
    startRequests(MoreThanSlots);
    runFor(100ms);
    const std::string trace = explain(sendAndCheckStatus(http::verb::get, "/look/1", 503));
    INFO(trace);
    CHECK(trace.find("admission-decided") != std::string::npos);
    CHECK(trace.find("vm-2") != std::string::npos);
    // The reason depends on whether the predicted wait exceeds the remaining time of the request or the queue already contains too many
    // late requests.
    CHECK((trace.find("reason=full") != std::string::npos || trace.find("reason=deadline-too-short") != std::string::npos));
    CHECK(trace.find("running=") != std::string::npos);
    CHECK(trace.find("waiting=") != std::string::npos);
    CHECK(trace.find("arrivals=0") != std::string::npos);
}

TEST_CASE_METHOD(ExplainLogsFixture, "ExplainLogs.orderWithoutAnAnswer.namesItsBackendServer")
{
    // Guards against a 502 response whose log does not name the backend server that may have run the order.
    REQUIRE(waitForLookups());
    vms[1].backend->crashingPath = "/order/1";
    const std::string trace = explain(sendAndCheckStatus(http::verb::post, "/order/1", 502));
    INFO(trace);
    CHECK(trace.find("backend=i-vm-2") != std::string::npos);
    CHECK(trace.find("outcome=unknown") != std::string::npos);
    CHECK(trace.find("arrivals=1") != std::string::npos);
}

TEST_CASE_METHOD(ExplainLogsFixture, "ExplainLogs.requestForALeavingTarget.namesTheLeaveAsCause")
{
    // Guards against a refusal that is explained as overload although the only target was leaving.
    REQUIRE(waitForLookups());
    REQUIRE(sendHeartbeat(vms[1], "draining") == 200);
    const std::string trace = explain(sendAndCheckStatus(http::verb::get, "/look/1", 503));
    INFO(trace);
    CHECK((trace.find("reason=leaving") != std::string::npos || trace.find("reason=no-target") != std::string::npos));
    CHECK(trace.find("target-leaving") != std::string::npos);
}
