#include "soakworld.h"

#include "process/eventlog.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace carobjunction;

namespace
{

/** @return whether all promises were kept */
bool runSeed(const soak::SoakOptions &options)
{
    soak::SoakWorld world(options);
    const std::vector<std::string> failures = world.run();
    const soak::Promises &seen = world.promises();
    std::cout << "seed " << options.seed << ": " << seen.answered() << " answered, " << seen.ran() << " ran, " << seen.refused() << " refused, "
              << failures.size() << " broken promises" << std::endl;
    for (const std::string &failure : failures) {
        std::cout << "  " << failure << std::endl;
    }
    return failures.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs daemons under random faults and checks what callers and backend servers see.");
    soak::SoakOptions options;
    options.program = std::string(CAROBJUNCTION_BINARY_DIR) + "/platform/carobjunction-platformd";
    options.logDirectory = std::string(CAROBJUNCTION_BINARY_DIR) + "/soak-" + std::to_string(::getpid());
    uint64_t seeds = 1;
    double seconds = 12;
    bool keepsLogs = false;
    app.add_option("--program", options.program, "daemon to run");
    app.add_option("--seed", options.seed, "first seed");
    app.add_option("--seeds", seeds, "number of seeds, one after the other");
    app.add_option("--seconds", seconds, "time in which faults are started")->check(CLI::Range(1.0, 3600.0));
    app.add_option("--vms", options.vms, "VMs, each with a daemon")->check(CLI::Range(4, 200));
    app.add_flag("--verbose", options.verbose, "print the faults");
    app.add_flag("--keep-logs", keepsLogs, "keep the daemons' logs also if no promise was broken");
    CLI11_PARSE(app, argc, argv);
    EventLog::initialise(LogLevel::Error);
    options.faultTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    const std::string directory = options.logDirectory;
    uint64_t failed = 0;
    for (const uint64_t end = options.seed + seeds; options.seed < end; ++options.seed) {
        options.logDirectory = directory + "/seed-" + std::to_string(options.seed);
        const bool isKept = runSeed(options);
        failed += isKept ? 0 : 1;
        if (isKept && !keepsLogs) {
            std::filesystem::remove_all(options.logDirectory);
        } else {
            std::cout << "  logs: " << options.logDirectory << std::endl;
        }
    }
    std::cout << seeds - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
