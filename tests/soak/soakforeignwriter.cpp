// Messages of another writer to the daemons of SoakCluster.

#include "soakcluster.h"

#include "platform/foreignheartbeats.h"
#include "platform/platformstandins.h"

namespace carobjunction::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr int64_t ForeignLeadMs = 3'600'000; // the foreign start time is an hour after the real one
constexpr uint64_t ForeignSequence = 1'000'000;

} // namespace

/** Sends heartbeats with one defect each, at random times beside all other faults. They use random numbers of their own, so that a seed keeps its faults. */
Task<void> SoakCluster::sendForeignHeartbeats()
{
    std::mt19937_64 random(m_options.seed);
    const auto choose = [&random](size_t count) {
        return std::uniform_int_distribution<size_t>(0, count - 1)(random);
    };
    while (!m_isFinished) {
        SoakVm &vm = *m_vms[choose(m_vms.size())];
        const std::string state = choose(2) == 0 ? "ready" : "draining";
        const std::string id = choose(2) == 0 ? vm.backend->id : "i-other";
        const std::string sound = platform::heartbeatBody(vm.backendLink->address(), vm.startedAtMs + ForeignLeadMs, vm.service, state, ForeignSequence);
        const auto heartbeats = platform::foreignHeartbeats(nlohmann::json::parse(sound));
        const platform::ForeignHeartbeat &heartbeat = heartbeats[choose(heartbeats.size())];
        logEvent("foreign heartbeat to " + vm.name + " as " + id + ", " + state + ": " + heartbeat.defect);
        HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
        message.body() = heartbeat.body;
        if (co_await sendControlRequest(vm, std::move(message))) {
            m_guarantees.fail("a daemon refuses the heartbeat of another writer", vm.name + ": " + heartbeat.defect);
        }
        co_await pause(std::chrono::milliseconds(50 + choose(500)));
    }
}

} // namespace carobjunction::soak
