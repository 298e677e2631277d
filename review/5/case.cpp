#include "../standins/casemain.h"
#include "../standins/deployment.h"

#include <algorithm>

#include <sys/wait.h>

using namespace carobjunction::review;

namespace
{

constexpr size_t ChangedMachines = 2; // share = 0.6 of three machines
constexpr const char *NewGrace = "6.5";
constexpr Milliseconds ChangeGap { 1000 };
constexpr Milliseconds RestartDelay { 1200 }; // an end within a second of a disruption does not count
constexpr Milliseconds Watch { 3000 }; // time for which a started daemon is watched
constexpr int Starts = 3;
constexpr int OwnEndsAllowed = 2; // the rule counts machines on which processes end by themselves three times
constexpr int MachinesAllowed = 1; // a tenth of the machines, two at least

int play(Record &record, bool hasTrouble)
{
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { { "/stock/", "idempotent", "ordering" } });
    if (!deployment.start() || deployment.request(deployment.machines[2], http::verb::get, "/stock/1") != 200) {
        return ExitNotRun;
    }
    std::vector<Machine *> changed;
    for (size_t i = 0; i < ChangedMachines; ++i) {
        changed.push_back(&deployment.machines[i]);
        if (hasTrouble) {
            deployment.changeGrace(*changed.back(), NewGrace);
        }
        std::this_thread::sleep_for(ChangeGap);
    }
    for (Machine *machine : changed) {
        if (!deployment.stopDaemon(*machine)) {
            return ExitNotRun;
        }
    }
    // Like the platform, starts each daemon again after a short delay whenever it ends.
    std::vector<int> ownEnds(ChangedMachines, 0);
    for (int attempt = 0; attempt < Starts; ++attempt) {
        std::this_thread::sleep_for(RestartDelay);
        for (size_t i = 0; i < ChangedMachines; ++i) {
            if (attempt == 0 || ownEnds[i] > 0) {
                deployment.startDaemon(*changed[i]);
            }
        }
        for (size_t i = 0; i < ChangedMachines; ++i) {
            if (changed[i]->daemon && changed[i]->daemon->waitForExit(Watch)) {
                ++ownEnds[i];
                record.write("daemon " + changed[i]->name + ": has ended by itself, exit status " + std::to_string(WEXITSTATUS(changed[i]->daemon->status())));
            }
        }
    }
    const unsigned status = deployment.request(deployment.machines[2], http::verb::get, "/stock/1");
    record.write("at the end, a lookup gets " + std::to_string(status));
    const auto machines = std::count_if(ownEnds.begin(), ownEnds.end(), [](int ends) { return ends > OwnEndsAllowed; });
    record.write("machines on which the daemon ended by itself three times: " + std::to_string(machines));
    return machines > MachinesAllowed ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
