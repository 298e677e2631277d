#include "soakcluster.h"

#include "process/eventlog.h"

#include <carobjunction/process/durations.h>

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>
#include <unistd.h>

using namespace carobjunction;

namespace
{

/**
 * Runs the soak for one seed and prints the result.
 * @return whether no guarantee was violated
 */
bool runSeed(const soak::SoakOptions &options)
{
    soak::SoakCluster cluster(options);
    const std::vector<std::string> failures = cluster.run();
    const soak::GuaranteeChecker &checker = cluster.guarantees();
    std::cout << "seed " << options.seed << ": " << checker.answeredCount() << " answered, " << checker.ranCount() << " ran, " << checker.refusedCount()
              << " refused, " << failures.size() << " violated guarantees" << std::endl;
    for (const std::string &failure : failures) {
        std::cout << "  " << failure << std::endl;
    }
    return failures.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs daemons under random faults and checks the guarantees to callers and backend servers.");
    soak::SoakOptions options;
    options.program = std::string(CAROBJUNCTION_BINARY_DIR) + "/platform/carobjunction-platformd";
    options.logDirectory = std::string(CAROBJUNCTION_BINARY_DIR) + "/soak-" + std::to_string(::getpid());
    uint64_t seedCount = 1;
    double seconds = 12;
    uint32_t maxFaultPauseMs = static_cast<uint32_t>(toMs(options.maxFaultPause));
    bool keepsLogs = false;
    app.add_option("--program", options.program, "path of the daemon program");
    app.add_option("--seed", options.seed, "first seed");
    app.add_option("--seeds", seedCount, "number of consecutive seeds to run");
    app.add_option("--seconds", seconds, "duration of fault injection in seconds")->check(CLI::Range(1.0, 3600.0));
    app.add_option("--max-fault-pause", maxFaultPauseMs, "longest pause between two faults in milliseconds; with a long one, no restart hides what others miss")
        ->check(CLI::Range(50, 3'600'000));
    app.add_option("--vms", options.vmCount, "number of VMs, each with a daemon")->check(CLI::Range(4, 200));
    app.add_flag("--verbose", options.verbose, "print each fault when it is injected");
    app.add_flag("--keep-logs", keepsLogs, "keep the log files of the daemons of passed runs too");
    CLI11_PARSE(app, argc, argv);
    EventLog::initialise(LogLevel::Error);
    options.faultInjectionTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    options.maxFaultPause = std::chrono::milliseconds(maxFaultPauseMs);
    const std::string directory = options.logDirectory;
    uint64_t failed = 0;
    for (const uint64_t end = options.seed + seedCount; options.seed < end; ++options.seed) {
        options.logDirectory = directory + "/seed-" + std::to_string(options.seed);
        const bool hasPassed = runSeed(options);
        failed += hasPassed ? 0 : 1;
        if (hasPassed && !keepsLogs) {
            std::filesystem::remove_all(options.logDirectory);
        } else {
            std::cout << "  logs: " << options.logDirectory << std::endl;
        }
    }
    std::cout << seedCount - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
