#include "../standins/casemain.h"
#include "../standins/deployment.h"

using namespace carobjunction::review;

namespace
{

constexpr Milliseconds DrainBound { 2500 }; // drain_ms
constexpr Milliseconds ContactBound { 4000 }; // contact_ms
constexpr Milliseconds WarmUp { 2000 };
constexpr Milliseconds LateWriteDelay { 6000 }; // the longest of `platform_lost`, how = "late"
constexpr Milliseconds KillAfterAcknowledgement { 300 };
constexpr Milliseconds RestartDelay { 300 };
constexpr Milliseconds HeartbeatDelay { 2500 }; // from the leave to the arrival of the heartbeat that was sent before it
constexpr Milliseconds SendDuration { 1500 };
constexpr Milliseconds SendInterval { 20 };

void sleepUntil(Clock::time_point time)
{
    std::this_thread::sleep_until(time);
}

/** Sends lookups from a machine for a while, a few at a time. */
void sendLookups(Deployment &deployment, const Machine &machine, Milliseconds duration)
{
    std::vector<std::thread> clients;
    const Clock::time_point end = Clock::now() + duration;
    while (Clock::now() < end) {
        clients.emplace_back([&] { deployment.request(machine, http::verb::get, "/stock/1"); });
        std::this_thread::sleep_for(SendInterval);
    }
    for (std::thread &client : clients) {
        client.join();
    }
}

int play(Record &record, bool hasTrouble)
{
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { { "/stock/", "idempotent", "ordering" } });
    if (!deployment.start()) {
        record.write("the deployment did not start");
        return ExitNotRun;
    }
    Machine &leavingMachine = deployment.machines[1];
    Machine &callerMachine = deployment.machines[2];
    Target &target = *leavingMachine.target;
    sendLookups(deployment, callerMachine, WarmUp);
    if (target.runs().empty()) {
        record.write("the target got no request before it left");
        return ExitNotRun;
    }

    target.stopHeartbeats();
    const Request lateHeartbeat = target.nextHeartbeat();
    if (hasTrouble) {
        deployment.store().loseNextWriteOf(leavingMachine.name, LateWriteDelay);
    }
    const Clock::time_point leftAt = Clock::now();
    record.write("target " + target.id() + ": sends DELETE");
    const unsigned status = target.leave();
    const int64_t acknowledgedAtMs = record.elapsedMs();
    record.write("target " + target.id() + ": the leave is answered " + std::to_string(status));
    if (status / 100 != 2) {
        return ExitNotRun;
    }
    const Clock::time_point acknowledgedAt = Clock::now();
    Clock::time_point inTouchAt = acknowledgedAt;
    if (hasTrouble) {
        sleepUntil(acknowledgedAt + KillAfterAcknowledgement);
        deployment.killDaemon(leavingMachine);
        std::this_thread::sleep_for(RestartDelay);
        deployment.startDaemon(leavingMachine);
        inTouchAt = Clock::now() + ContactBound;
    }
    sleepUntil(leftAt + HeartbeatDelay);
    record.write("target " + target.id() + ": the heartbeat sent before the leave arrives, answered " + std::to_string(target.deliver(lateHeartbeat)));

    sleepUntil(std::max(inTouchAt, acknowledgedAt + DrainBound) + SendInterval);
    const int64_t sentFromMs = record.elapsedMs();
    record.write("all machines are in touch and drain_ms has passed");
    sendLookups(deployment, callerMachine, SendDuration);

    int late = 0;
    for (const Run &run : target.runs()) {
        late += run.atMs >= sentFromMs && run.atMs > acknowledgedAtMs + DrainBound.count() ? 1 : 0;
    }
    const auto [writes, lostWrites] = deployment.store().writeCounts();
    record.write("writes: " + std::to_string(writes) + ", without an answer: " + std::to_string(lostWrites));
    record.write("requests that reached the target later than drain_ms after the acknowledgement: " + std::to_string(late));
    return late > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
