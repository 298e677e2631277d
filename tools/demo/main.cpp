// Runs the daemons and backend servers of an example user's two regions on this machine and prints the outcomes and latencies of its calls.

#include "arrivalschedule.h"
#include "cluster.h"
#include "loadgenerator.h"
#include "quantiles.h"

#include <carobjunction/process/lasterror.h>

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace carobjunction;
using namespace carobjunction::bench;

namespace
{

constexpr Duration LoadDuration = std::chrono::seconds(6);
constexpr Duration LeaveDelay = std::chrono::seconds(2);
constexpr double CallsPerSecond = 240;
constexpr uint64_t Seed = 20261204;
constexpr std::chrono::seconds ExitTimeout(10);
constexpr std::size_t LeavingTargetIndex = 0;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ServiceSpec makeServiceSpec(const std::string &name, std::size_t targets, const std::filesystem::path &examples)
{
    ServiceSpec service;
    service.name = name;
    service.targets = targets;
    service.serviceTimeMs = 10;
    service.distribution = "exponential";
    service.dataCentres = { "pil-a", "mid-a", "sw-a", "pil-b" };
    service.config = readFile(examples / (name + ".yaml"));
    return service;
}

CallKind makeCallKind(double share, const std::string &service, const std::string &method, const std::string &path)
{
    CallKind kind;
    kind.share = share;
    kind.service = service;
    kind.method = method;
    kind.path = path;
    kind.idempotent = method == "GET";
    kind.keyed = !kind.idempotent;
    kind.body = kind.idempotent ? "" : "{\"bags\": 12}";
    return kind;
}

/** Returns the experiment of Nullagine Pumice Supply with the sizes of docs/design.md. The daemons simulate the delay between regions. */
Experiment makeNullagineExperiment(const std::filesystem::path &examples)
{
    Experiment experiment;
    experiment.name = "demo";
    experiment.seed = Seed;
    experiment.senders = 64;
    experiment.resends = 2;
    experiment.cluster.dataCentres = { { "pil-a", "pilbara" }, { "sw-a", "pilbara" }, { "mid-a", "midwest" }, { "pil-b", "midwest" } };
    experiment.cluster.services = { makeServiceSpec("ordering", 5, examples), makeServiceSpec("dispatch", 7, examples) };
    experiment.cluster.daemonSettings = "region-delay: 30ms\n";
    experiment.cluster.backendWorkers = 64;
    experiment.calls = { makeCallKind(5, "ordering", "GET", "/stock"),
                         makeCallKind(1, "ordering", "POST", "/orders"),
                         makeCallKind(5, "dispatch", "GET", "/consignments"),
                         makeCallKind(1, "dispatch", "POST", "/confirmations") };
    experiment.variants = { Variant { "product" } };
    return experiment;
}

/** Plans calls with random kinds and entry daemons at the times of an arrival schedule. */
std::vector<PlannedCall> planCalls(const Experiment &experiment, std::size_t daemons)
{
    std::mt19937_64 random(Seed);
    std::vector<double> shares;
    for (const CallKind &kind : experiment.calls) {
        shares.push_back(kind.share);
    }
    std::discrete_distribution<std::size_t> kind(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> entry(0, daemons - 1);
    std::vector<PlannedCall> plan;
    for (const Duration at : arrivalSchedule(CallsPerSecond, LoadDuration, Seed)) {
        plan.push_back({ at, kind(random), 0, entry(random) });
    }
    return plan;
}

/** Prints the outcomes and latencies of each kind of call as a table. */
void printCallTable(const Experiment &experiment, const std::vector<Sample> &samples)
{
    std::printf("\n%-10s %-6s %-16s %7s %7s %9s %9s %10s %10s\n", "service", "method", "path", "calls", "ran", "not-run", "unknown", "p50 ms", "p99 ms");
    for (std::size_t kind = 0; kind < experiment.calls.size(); ++kind) {
        std::map<std::string, int> outcomes;
        std::vector<double> latencies;
        for (const Sample &sample : samples) {
            if (sample.plan.kind == kind) {
                ++outcomes[sample.outcome];
                latencies.push_back(sample.latencyMs());
            }
        }
        const CallKind &call = experiment.calls[kind];
        const Quantiles quantiles(latencies);
        std::printf("%-10s %-6s %-16s %7zu %7d %9d %9d %10.2f %10.2f\n",
                    call.service.c_str(),
                    call.method.c_str(),
                    call.path.c_str(),
                    latencies.size(),
                    outcomes["ran"],
                    outcomes["not-run"],
                    outcomes["unknown"] + outcomes[""],
                    quantiles.at(0.5),
                    quantiles.at(0.99));
    }
}

/**
 * Counts the idempotency keys whose request ran more than once, by the logs of the backend servers, which are independent of
 * the outcomes that the daemons reported.
 */
std::size_t countDuplicateRuns(const Cluster &cluster)
{
    std::map<std::string, int> runsOfKey;
    std::size_t duplicateRuns = 0;
    for (const auto &[target, run] : cluster.readRunLogs()) {
        if (!run.key.empty() && ++runsOfKey[run.key] == 2) {
            ++duplicateRuns;
        }
    }
    return duplicateRuns;
}

/** Prints the configurations in force at a daemon, and whether all members have confirmed them. */
void printConfigsInForce(const std::string &operatorAddress)
{
    httplib::Client client("http://" + operatorAddress);
    const auto response = client.Get("/v1/in-force?members=1");
    const nlohmann::json json = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
    std::cout << "\nconfirmed by all daemons: " << (json.is_object() && json["unconfirmed"].empty() ? "yes" : "no") << '\n';
    for (const nlohmann::json &config : json.value("configs", nlohmann::json::array())) {
        std::cout << "  " << config["service"].get<std::string>() << " version " << config["version"] << ", published by "
                  << config["publisher"].get<std::string>() << ", sha256 " << config["hash"].get<std::string>().substr(0, 12) << '\n';
    }
}

int run(const std::filesystem::path &buildDirectory, const std::filesystem::path &examples, const std::filesystem::path &directory)
{
    const Experiment experiment = makeNullagineExperiment(examples);
    ClusterOptions options;
    options.buildDirectory = buildDirectory;
    options.directory = directory;
    std::cout << "starting the store and 12 daemons, each with a backend server, in the regions pilbara and midwest\n" << std::flush;
    const auto cluster = Cluster::start(experiment.cluster, options);
    if (!cluster) {
        std::cerr << "failed to start the cluster: " << LastError<ClusterError>::get().message << '\n';
        return 1;
    }
    std::cout << "published the configurations of ordering and dispatch; sending " << CallsPerSecond << " calls/s, spread over all daemons, for 6 s\n"
              << std::flush;
    TargetOracle view(cluster->targetDescriptions());
    LoadGenerator generator(experiment, cluster->endpoints(), view, std::chrono::milliseconds(30), "demo");
    generator.start(planCalls(experiment, cluster->size()));
    std::this_thread::sleep_until(generator.startedAt() + LeaveDelay);
    std::cout << cluster->daemonId(LeavingTargetIndex) << " is leaving under load\n" << std::flush;
    httplib::Client("http://" + cluster->operatorAddress(LeavingTargetIndex)).Post("/v1/target/leave");
    const bool hasExited = cluster->daemon(LeavingTargetIndex)->waitForExit(ExitTimeout);
    const bool hasDrained = hasExited && cluster->daemon(LeavingTargetIndex)->status() == 0;
    std::cout << cluster->daemonId(LeavingTargetIndex) << (hasDrained ? " completed its requests and exited\n" : " failed to drain and exit within 10 s\n");
    const std::vector<Sample> samples = generator.waitForSamples();
    printCallTable(experiment, samples);
    const std::size_t duplicateRuns = countDuplicateRuns(*cluster);
    std::cout << "\nnon-idempotent calls that ran more than once, by the logs of the backend servers: " << duplicateRuns << '\n';
    printConfigsInForce(cluster->operatorAddress(LeavingTargetIndex + 1));
    return hasDrained && duplicateRuns == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs the daemons and backend servers of an example user's two regions on this machine and prints the outcomes of its calls.");
    std::string buildDirectory = "build";
    std::string examples = "examples/nullagine";
    app.add_option("--binaries", buildDirectory, "root directory of the build tree")->capture_default_str();
    app.add_option("--examples", examples, "directory of the example service configurations")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::string directory = std::filesystem::temp_directory_path() / "carobjunction-demo-XXXXXX";
    if (!mkdtemp(directory.data())) {
        std::cerr << "cannot create a temporary directory\n";
        return 1;
    }
    const int status = run(std::filesystem::absolute(buildDirectory), examples, directory);
    std::filesystem::remove_all(directory);
    return status;
}
