#include "../standins/casemain.h"
#include "../standins/deployment.h"

using namespace carobjunction::review;

namespace
{

constexpr Milliseconds RecoveryBound { 15000 }; // recovery_s
constexpr Milliseconds DownTime { 1000 }; // down_s of the closing fault
constexpr Milliseconds ReadyLimit { 5000 };
constexpr Milliseconds SendDuration { 4000 };
constexpr Milliseconds SendInterval { 50 };
constexpr double RequiredShare = 0.25;

/** Sends lookups at a machine for a while. @return the share that was served */
double servedShare(Deployment &deployment, const Machine &machine)
{
    int sent = 0;
    int served = 0;
    const Clock::time_point end = Clock::now() + SendDuration;
    while (Clock::now() < end) {
        ++sent;
        served += deployment.request(machine, http::verb::get, "/stock/1") == 200 ? 1 : 0;
        std::this_thread::sleep_for(SendInterval);
    }
    return static_cast<double>(served) / sent;
}

int play(Record &record, bool hasTrouble)
{
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { { "/stock/", "idempotent", "ordering" } });
    if (!deployment.start()) {
        return ExitNotRun;
    }
    const Machine &callerMachine = deployment.machines[2];
    const double shareBefore = servedShare(deployment, callerMachine);
    record.write("served before the final fault: " + std::to_string(shareBefore));
    if (shareBefore < RequiredShare) {
        return ExitNotRun;
    }
    if (hasTrouble) {
        for (Machine &machine : deployment.machines) {
            record.write("daemon " + machine.name + ": gets a heartbeat of another writer that names no known service, answered "
                         + std::to_string(machine.target->deliver(machine.target->foreignHeartbeat())));
        }
    }
    // The final fault of the rule, in both runs.
    for (Machine &machine : deployment.machines) {
        deployment.killDaemon(machine);
    }
    std::this_thread::sleep_for(DownTime);
    for (Machine &machine : deployment.machines) {
        deployment.startDaemon(machine);
    }
    for (Machine &machine : deployment.machines) {
        if (!deployment.waitUntilReady(machine, ReadyLimit)) {
            return ExitNotRun;
        }
    }
    std::this_thread::sleep_for(RecoveryBound);
    const double shareAfter = servedShare(deployment, callerMachine);
    record.write("served later than recovery_s after the machines are back: " + std::to_string(shareAfter));
    return shareAfter < RequiredShare ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
