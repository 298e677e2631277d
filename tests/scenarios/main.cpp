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

/** @return whether the scenario passed */
bool runFile(const std::string &path, const std::string &binaries, bool keep, bool keepFailed)
{
    std::string directory = (std::filesystem::temp_directory_path() / "carobjunction-scenario-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) {
        std::cerr << "cannot create a directory for the run\n";
        return false;
    }
    const auto startedAt = std::chrono::steady_clock::now();
    std::vector<std::string> faults;
    std::string name = path;
    try {
        const YAML::Node scenario = YAML::LoadFile(path);
        name = scenario["name"].as<std::string>();
        scenarios::ScenarioRunner runner(scenario, binaries, directory);
        faults = runner.run();
    } catch (const YAML::Exception &fault) {
        faults.push_back(fault.what());
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << (faults.empty() ? "passed " : "FAILED ") << name << " (" << seconds << " s)" << std::endl;
    constexpr std::size_t MostFaults = 20;
    for (std::size_t i = 0; i < faults.size() && i < MostFaults; ++i) {
        std::cout << "  " << faults[i] << '\n';
    }
    if (faults.size() > MostFaults) {
        std::cout << "  and " << faults.size() - MostFaults << " more\n";
    }
    if (keep || (keepFailed && !faults.empty())) {
        std::cout << "  files are in " << directory << std::endl;
    } else {
        std::filesystem::remove_all(directory);
    }
    return faults.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs failure scenarios with real processes on loopback.\nExit codes: 0 all passed, 1 a scenario failed.");
    std::vector<std::string> files;
    std::string binaries = CAROBJUNCTION_BINARY_DIR;
    bool keep = false;
    bool keepFailed = false;
    app.add_option("files", files, "scenario files")->required();
    app.add_option("--binaries", binaries, "root of the build tree")->capture_default_str();
    app.add_flag("--keep", keep, "keep the logs of all processes");
    app.add_flag("--keep-failed", keepFailed, "keep the logs of all processes of scenarios that failed");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    bool passed = true;
    for (const std::string &file : files) {
        passed = runFile(file, binaries, keep, keepFailed) && passed;
    }
    return passed ? 0 : 1;
}
