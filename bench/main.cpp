#include "barepath.h"
#include "experimentparser.h"
#include "experimentrunner.h"
#include "htmlreport.h"
#include "jsonreport.h"
#include "results.h"

#include <carobjunction/process/lasterror.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

using namespace carobjunction;
using namespace carobjunction::bench;

namespace
{

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

struct Arguments {
    std::string experimentFile;
    std::string outputPath = "bench-results";
    std::string remark;
    std::size_t rounds = 0;
    double seconds = 0;
    uint64_t seed = 0;
    bool keepsFiles = false;
    bool failsOnMissedTarget = false;
    std::vector<std::string> scenarios;
    std::vector<std::string> loads;
    std::vector<std::string> variants;
    std::string forwardAddress;
};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template<typename T>
void retainNamed(std::vector<T> &list, const std::vector<std::string> &names)
{
    list.erase(std::remove_if(
                   list.begin(), list.end(), [&](const T &item) { return !names.empty() && std::find(names.begin(), names.end(), item.name) == names.end(); }),
               list.end());
}

std::optional<Experiment> readExperiment(const Arguments &arguments)
{
    auto experiment = ExperimentParser::parse(readFile(arguments.experimentFile));
    if (!experiment) {
        std::cerr << arguments.experimentFile << ": " << LastError<ExperimentError>::get().message << '\n';
        return std::nullopt;
    }
    experiment->rounds = arguments.rounds > 0 ? arguments.rounds : experiment->rounds;
    experiment->seed = arguments.seed > 0 ? arguments.seed : experiment->seed;
    if (arguments.seconds > 0) {
        experiment->length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arguments.seconds));
    }
    retainNamed(experiment->scenarios, arguments.scenarios);
    retainNamed(experiment->loads, arguments.loads);
    retainNamed(experiment->variants, arguments.variants);
    if (experiment->scenarios.empty() || experiment->loads.empty() || experiment->variants.empty()) {
        std::cerr << "no scenario, load or variant of the experiment matches --scenario, --load and --variant\n";
        return std::nullopt;
    }
    return experiment;
}

std::string describeMachine()
{
    std::ifstream info("/proc/cpuinfo");
    std::string model = "unknown processor";
    for (std::string line; std::getline(info, line);) {
        if (line.rfind("model name", 0) == 0) {
            model = line.substr(line.find(':') + 2);
            break;
        }
    }
    std::string load;
    std::getline(std::ifstream("/proc/loadavg"), load);
    return model + ", " + std::to_string(std::thread::hardware_concurrency()) + " cores; load average at start " + load;
}

std::string currentUtcTime()
{
    const std::time_t now = std::time(nullptr);
    std::ostringstream text;
    text << std::put_time(std::gmtime(&now), "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

/** Groups variants that differ only in the call path, since these can share one run of one cluster. All other variants get separate runs. */
std::vector<std::vector<std::size_t>> groupVariants(const Experiment &experiment)
{
    std::vector<std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < experiment.variants.size(); ++i) {
        const Variant &variant = experiment.variants[i];
        const auto group = std::find_if(groups.begin(), groups.end(), [&](const std::vector<std::size_t> &members) {
            const Variant &first = experiment.variants[members.front()];
            return first.path != CallPath::Routed && variant.path != CallPath::Routed && first.policy == variant.policy && first.config == variant.config
                && first.targets == variant.targets;
        });
        if (group != groups.end()) {
            group->push_back(i);
        } else {
            groups.push_back({ i });
        }
    }
    return groups;
}

void executeRun(Results &results, ExperimentRunner &runner, const ExperimentRun &experimentRun)
{
    const Experiment &experiment = *results.experiment;
    std::string names;
    for (const std::size_t variant : experimentRun.variants) {
        names += ' ' + experiment.variants[variant].name;
    }
    const std::string title
        = "round " + std::to_string(experimentRun.round + 1) + ", " + experimentRun.scenario->name + ", load " + experimentRun.load->name + ":" + names;
    std::cerr << title << std::flush;
    auto result = runner.run(experimentRun);
    if (!result) {
        results.failures.push_back(title + ": " + LastError<ClusterError>::get().message);
        std::cerr << "  FAILED: " << LastError<ClusterError>::get().message << '\n';
        return;
    }
    for (const std::size_t variant : experimentRun.variants) {
        Cell &cell = results.cell(experimentRun.scenario->name, experimentRun.load->name, experiment.variants[variant].name);
        Figures &figures = result->figures[variant];
        std::cerr << std::setprecision(4) << "  | " << figures["calls"] << " calls, p50 " << figures["p50-ms"] << " ms, p99 " << figures["p99-ms"]
                  << " ms, failed " << figures["failed-share"];
        cell.rounds.push_back(std::move(result->samples[variant]));
        cell.roundFigures.push_back(std::move(figures));
    }
    std::cerr << '\n';
}

void executeAllRuns(Results &results, ExperimentRunner &runner)
{
    const Experiment &experiment = *results.experiment;
    const auto groups = groupVariants(experiment);
    for (std::size_t round = 0; round < experiment.rounds; ++round) {
        for (const Scenario &scenario : experiment.scenarios) {
            for (const LoadLevel &load : experiment.loads) {
                for (std::size_t i = 0; i < groups.size() && stopRequested == 0; ++i) {
                    // The first variant changes with each round, so that slow changes in the machine's performance don't favour one variant.
                    executeRun(results, runner, { &scenario, &load, groups[(i + round) % groups.size()], round });
                }
            }
        }
    }
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "cannot write " << path << '\n';
        return false;
    }
    std::cerr << "wrote " << path << '\n';
    return true;
}

void printCheckResults(const Results &results)
{
    for (const CheckResult &checkResult : results.checkResults) {
        std::cout << (checkResult.isMet()            ? "met     "
                          : checkResult.isMeasurable ? "MISSED  "
                                                     : "no data ")
                  << checkResult.name << " (" << checkResult.scenario << ", load " << checkResult.load << "): " << checkResult.measured << ", at most "
                  << checkResult.atMost << '\n';
    }
}

int runExperiment(const Arguments &arguments, const std::string &command)
{
    const auto experiment = readExperiment(arguments);
    if (!experiment) {
        return 2;
    }
    std::string directory = (std::filesystem::temp_directory_path() / "carobjunction-bench-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) {
        std::cerr << "cannot create a temporary directory for the files of the runs\n";
        return 1;
    }
    const std::string buildDirectory = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().string();
    Results results;
    results.experiment = &*experiment;
    results.command = command;
    results.machine = describeMachine();
    results.startedAt = currentUtcTime();
    results.remark = arguments.remark;
    ExperimentRunner runner(*experiment, buildDirectory, directory, [] { return stopRequested != 0; });
    executeAllRuns(results, runner);
    results.evaluate();
    printCheckResults(results);
    const bool isWritten
        = writeFile(arguments.outputPath + ".json", JsonReport::write(results)) && writeFile(arguments.outputPath + ".html", HtmlReport::write(results));
    if (arguments.keepsFiles) {
        std::cerr << "the settings and logs of the runs are in " << directory << '\n';
    } else {
        std::filesystem::remove_all(directory);
    }
    if (!isWritten || !results.failures.empty() || stopRequested != 0) {
        return 1;
    }
    const bool isMet
        = std::all_of(results.checkResults.begin(), results.checkResults.end(), [](const CheckResult &checkResult) { return checkResult.isMet(); });
    return arguments.failsOnMissedTarget && !isMet ? 3 : 0;
}

void addRunOptions(CLI::App &run, Arguments &arguments)
{
    run.add_option("experiment", arguments.experimentFile, "experiment file (YAML)")->required()->check(CLI::ExistingFile);
    run.add_option("--output", arguments.outputPath, "path of the result files, without the extensions .json and .html")->capture_default_str();
    run.add_option("--remark", arguments.remark, "remark on the circumstances of the run, copied to the results");
    run.add_option("--rounds", arguments.rounds, "number of rounds, instead of that of the experiment");
    run.add_option("--seconds", arguments.seconds, "duration of each measurement in seconds, without the warm-up");
    run.add_option("--seed", arguments.seed, "random seed, instead of that of the experiment");
    run.add_option("--scenario", arguments.scenarios, "run only these scenarios");
    run.add_option("--load", arguments.loads, "run only these loads");
    run.add_option("--variant", arguments.variants, "run only these variants");
    run.add_flag("--keep", arguments.keepsFiles, "keep the settings and logs of the runs");
    run.add_flag("--judge", arguments.failsOnMissedTarget, "exit with status 3 if a performance target is missed or not measured");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs experiments with real daemons and stand-in backend servers and store on this machine");
    app.require_subcommand(1);
    Arguments arguments;
    CLI::App *run = app.add_subcommand("run", "Run an experiment");
    addRunOptions(*run, arguments);
    CLI::App *entry = app.add_subcommand("bare-entry", "First process of the bare path (HTTP to gRPC); started by the bench itself");
    CLI::App *owner = app.add_subcommand("bare-owner", "Second process of the bare path (gRPC to HTTP); started by the bench itself");
    entry->add_option("--to", arguments.forwardAddress, "address of the second process of the bare path")->required();
    owner->add_option("--to", arguments.forwardAddress, "address of the backend server")->required();
    CLI11_PARSE(app, argc, argv);
    if (entry->parsed()) {
        return BarePath::runEntry(arguments.forwardAddress);
    }
    if (owner->parsed()) {
        return BarePath::runOwner(arguments.forwardAddress);
    }
    std::signal(SIGINT, requestStop);
    std::signal(SIGTERM, requestStop);
    std::string command = "carobjunction-bench";
    for (int i = 1; i < argc; ++i) {
        command += ' ' + std::string(argv[i]);
    }
    return runExperiment(arguments, command);
}
