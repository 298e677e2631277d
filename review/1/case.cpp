#include "../standins/casemain.h"
#include "../standins/deployment.h"

using namespace carobjunction::review;

namespace
{

constexpr Milliseconds ConfigApplyBound { 2500 }; // config_apply_ms
constexpr Milliseconds ContactBound { 4000 }; // contact_ms
constexpr Milliseconds WatchDuration { 28000 }; // longest rows-feed call that the daemons make
constexpr Milliseconds SilenceBeforeRenewal { 2000 };
constexpr Milliseconds Silence { 4500 }; // for_s of `platform_down`
constexpr Milliseconds TouchMargin { 300 };
constexpr Milliseconds SendDuration { 3000 };
constexpr Milliseconds SendInterval { 50 };

/** Sends a request for a path at each machine again and again. @return number of requests that were answered 404 */
int sendAtAllMachines(Deployment &deployment, const std::string &path)
{
    int denied = 0;
    const Clock::time_point end = Clock::now() + SendDuration;
    while (Clock::now() < end) {
        for (const Machine &machine : deployment.machines) {
            denied += deployment.request(machine, http::verb::get, path) == 404 ? 1 : 0;
        }
        std::this_thread::sleep_for(SendInterval);
    }
    return denied;
}

int play(Record &record, bool hasTrouble)
{
    const Route stock { "/stock/", "idempotent", "ordering" };
    const Route grades { "/grades/", "idempotent", "ordering" };
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { stock });
    const Clock::time_point startedAt = Clock::now();
    if (!deployment.start() || sendAtAllMachines(deployment, "/stock/1") > 0) {
        return ExitNotRun;
    }
    // The daemons' first watch began at their start and ends after WatchDuration, because the configuration has not changed meanwhile.
    std::this_thread::sleep_until(startedAt + WatchDuration - SilenceBeforeRenewal);
    if (hasTrouble) {
        deployment.store().goSilent(Silence);
    }
    std::this_thread::sleep_for(Silence + ContactBound + TouchMargin);
    record.write("all machines are in touch, and the store has been stable for contact_ms");
    deployment.publish(5, { stock, grades });
    std::this_thread::sleep_for(ConfigApplyBound + TouchMargin);
    const int denied = sendAtAllMachines(deployment, "/grades/1");
    record.write("requests on the new route answered 404 later than config_apply_ms after the acknowledgement: " + std::to_string(denied));
    return denied > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
