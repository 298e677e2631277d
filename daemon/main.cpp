#include "process/daemon.h"
#include "process/eventlog.h"
#include "process/settingsparser.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace carobjunction;

namespace
{

constexpr int ExitOk = 0;
constexpr int ExitDrainLimitReached = 1;
constexpr int ExitInvalidSettings = 2;
constexpr int ExitPortUnavailable = 3;
constexpr long LeavePollIntervalNs = 20'000'000;
constexpr std::chrono::milliseconds LeaveAnnouncementTime(1000);

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::optional<Settings> loadSettings(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    SettingsResult result = SettingsParser::parse(*text, path);
    for (const ConfigError &configError : result.errors) {
        std::cerr << configError.file << ':' << configError.line << ':' << configError.column << ": " << configError.field << ": " << configError.reason
                  << '\n';
    }
    return std::move(result.settings);
}

/** Blocks SIGTERM and SIGINT in this thread and all threads that it starts, so that only waitForStopCause() receives them. Ignores SIGPIPE. */
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/**
 * Waits until the process receives a termination signal or the backend server announces that it is leaving.
 * @return the cause, as logged
 */
std::string waitForStopCause(const sigset_t &signals, const Daemon &daemon)
{
    const timespec interval { 0, LeavePollIntervalNs };
    while (!daemon.isLeaving()) {
        if (sigtimedwait(&signals, nullptr, &interval) > 0) {
            return "signal";
        }
    }
    return "backend-server-leaving";
}

int run(Settings settings)
{
    const sigset_t signals = blockTerminationSignals();
    EventLog::initialise(settings.logLevel);
    Daemon daemon(std::move(settings));
    if (!daemon.start()) {
        return ExitPortUnavailable;
    }
    const std::string cause = waitForStopCause(signals, daemon);
    EventLog::write(LogLevel::Info, Event::DaemonStopping, { { "cause", cause } });
    const DrainResult result = daemon.drain(LeaveAnnouncementTime);
    daemon.stop();
    EventLog::write(LogLevel::Info, Event::DaemonStopped, { { "cause", result == DrainResult::Drained ? "drained" : "drain-limit" } });
    return result == DrainResult::Drained ? ExitOk : ExitDrainLimitReached;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Daemon of the carobjunction load balancer. One daemon runs beside each backend server.\n"
                 "Exit codes: 0 drained, 1 drain limit reached, 2 invalid settings or arguments, 3 port unavailable.");
    std::string settingsPath;
    app.add_option("--settings", settingsPath, "YAML file with the settings of this daemon")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? ExitOk : ExitInvalidSettings;
    }
    std::optional<Settings> settings = loadSettings(settingsPath);
    return settings ? run(std::move(*settings)) : ExitInvalidSettings;
}
