// Embeds the routing decision: a program with its own list of targets has the library select the target of each call.

#include <carobjunction/process/targettable.h>

#include <iostream>

using namespace carobjunction;

int main()
{
    const SteadyClock clock;
    TargetTable<SteadyClock> table(clock, "client", "pilbara", "pil-a", 1);
    ServiceConfig config;
    config.service = "ordering";
    std::vector<TargetInfo> targets;
    for (const char *daemon : { "ordering-1", "ordering-2", "ordering-3" }) {
        TargetInfo target;
        target.daemon = daemon;
        target.incarnation = 1;
        target.region = "pilbara";
        target.dataCentre = "pil-a";
        target.service = config.service;
        target.slots = 9;
        targets.push_back(target);
    }
    table.setTargets(config.service, targets);

    for (int call = 0; call < 5; ++call) {
        const std::optional<RouteChoice> choice = table.choose(config, {});
        if (!choice) {
            std::cerr << "no target for the call: " << nameOf(LastError<RouteError>::get()) << '\n';
            return 1;
        }
        std::cout << "call " << call << " -> " << choice->target.daemon << " (" << choice->selectionReason << ")\n";
        AttemptReport report;
        report.outcome = Outcome::Ran;
        report.status = 200;
        report.latency = std::chrono::milliseconds(20);
        table.finished(config.service, choice->target.daemon, choice->target.incarnation, report);
    }
    return 0;
}
