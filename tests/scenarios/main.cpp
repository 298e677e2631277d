#include "scenariorunner.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>

namespace
{

using namespace carobjunction;

/**
 * Runs one scenario file in a new temporary directory and prints the result.
 * @return whether the scenario passed
 */
bool runScenario(const std::string &path, const std::string &buildDirectory, bool keepsLogs, bool keepsFailedLogs)
{
    std::string directory = (std::filesystem::temp_directory_path() / "carobjunction-scenario-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) {
        std::cerr << "cannot create a temporary directory for the scenario\n";
        return false;
    }
    const auto startedAt = std::chrono::steady_clock::now();
    std::vector<std::string> failures;
    std::string name = path;
    try {
        const YAML::Node scenario = YAML::LoadFile(path);
        name = scenario["name"].as<std::string>();
        scenarios::ScenarioRunner runner(scenario, buildDirectory, directory);
        failures = runner.run();
    } catch (const YAML::Exception &error) {
        failures.push_back(error.what());
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << (failures.empty() ? "passed " : "FAILED ") << name << " (" << seconds << " s)" << std::endl;
    constexpr std::size_t MaxPrintedFailures = 20;
    for (std::size_t i = 0; i < failures.size() && i < MaxPrintedFailures; ++i) {
        std::cout << "  " << failures[i] << '\n';
    }
    if (failures.size() > MaxPrintedFailures) {
        std::cout << "  and another " << failures.size() - MaxPrintedFailures << " failures\n";
    }
    if (keepsLogs || (keepsFailedLogs && !failures.empty())) {
        std::cout << "  log files: " << directory << std::endl;
    } else {
        std::filesystem::remove_all(directory);
    }
    return failures.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs failure scenarios with real processes on loopback.\nExit codes: 0 all passed, 1 a scenario failed.");
    std::vector<std::string> files;
    std::string buildDirectory = CAROBJUNCTION_BINARY_DIR;
    bool keepsLogs = false;
    bool keepsFailedLogs = false;
    app.add_option("files", files, "scenario files")->required();
    app.add_option("--binaries", buildDirectory, "root of the build tree")->capture_default_str();
    app.add_flag("--keep", keepsLogs, "keep the log files of all processes");
    app.add_flag("--keep-failed", keepsFailedLogs, "keep the log files of all processes of failed scenarios");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    bool passed = true;
    for (const std::string &file : files) {
        passed = runScenario(file, buildDirectory, keepsLogs, keepsFailedLogs) && passed;
    }
    return passed ? 0 : 1;
}
