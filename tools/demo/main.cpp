// Runs the two regions of one example user on this machine and prints what became of its calls.

#include "arrivalschedule.h"
#include "cluster.h"
#include "loadgenerator.h"
#include "quantiles.h"

#include <carobjunction/process/lastreason.h>

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

constexpr Duration LoadLength = std::chrono::seconds(6);
constexpr Duration LeaveAt = std::chrono::seconds(2);
constexpr double CallsPerSecond = 240;
constexpr uint64_t Seed = 20261204;
constexpr std::chrono::seconds ExitLimit(10);
constexpr std::size_t LeavingTarget = 0;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ServiceSpec serviceSpec(const std::string &name, std::size_t targets, const std::filesystem::path &examples)
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

CallKind callKind(double share, const std::string &service, const std::string &method, const std::string &path)
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

// Nullagine Pumice Supply with the sizes of docs/design.md; the delay between regions is added by the daemons.
Experiment nullagine(const std::filesystem::path &examples)
{
    Experiment experiment;
    experiment.name = "demo";
    experiment.seed = Seed;
    experiment.senders = 64;
    experiment.resends = 2;
    experiment.cluster.dataCentres = { { "pil-a", "pilbara" }, { "sw-a", "pilbara" }, { "mid-a", "midwest" }, { "pil-b", "midwest" } };
    experiment.cluster.services = { serviceSpec("ordering", 5, examples), serviceSpec("dispatch", 7, examples) };
    experiment.cluster.daemonSettings = "region-delay: 30ms\n";
    experiment.cluster.backendWorkers = 64;
    experiment.calls = { callKind(5, "ordering", "GET", "/stock"),
                         callKind(1, "ordering", "POST", "/orders"),
                         callKind(5, "dispatch", "GET", "/consignments"),
                         callKind(1, "dispatch", "POST", "/confirmations") };
    experiment.variants = { Variant { "product" } };
    return experiment;
}

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
    for (const Duration at : arrivalSchedule(CallsPerSecond, LoadLength, Seed)) {
        plan.push_back({ at, kind(random), 0, entry(random) });
    }
    return plan;
}

void printCalls(const Experiment &experiment, const std::vector<Sample> &samples)
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

// The backend servers' own log is the independent record of what ran.
std::size_t countDoubled(const Cluster &cluster)
{
    std::map<std::string, int> runsOfKey;
    std::size_t doubled = 0;
    for (const auto &[target, run] : cluster.runs()) {
        if (!run.key.empty() && ++runsOfKey[run.key] == 2) {
            ++doubled;
        }
    }
    return doubled;
}

void printInForce(const std::string &operatorAddress)
{
    httplib::Client client("http://" + operatorAddress);
    const auto answer = client.Get("/v1/in-force?members=1");
    const nlohmann::json json = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    std::cout << "\nin force at every daemon: " << (json.is_object() && json["unconfirmed"].empty() ? "yes" : "no") << '\n';
    for (const nlohmann::json &config : json.value("configs", nlohmann::json::array())) {
        std::cout << "  " << config["service"].get<std::string>() << " version " << config["version"] << ", published by "
                  << config["publisher"].get<std::string>() << ", sha256 " << config["hash"].get<std::string>().substr(0, 12) << '\n';
    }
}

int run(const std::filesystem::path &binaries, const std::filesystem::path &examples, const std::filesystem::path &directory)
{
    const Experiment experiment = nullagine(examples);
    ClusterOptions options;
    options.binaries = binaries;
    options.directory = directory;
    std::cout << "starting 12 daemons and backend servers in pilbara and midwest, and the store\n" << std::flush;
    const auto cluster = Cluster::start(experiment.cluster, options);
    if (!cluster) {
        std::cerr << "the cluster did not start: " << LastReason<ClusterFault>::get().message << '\n';
        return 1;
    }
    std::cout << "published ordering and dispatch; sending " << CallsPerSecond << " calls/s to all daemons for 6 s\n" << std::flush;
    TargetView view(cluster->places());
    LoadGenerator generator(experiment, cluster->endpoints(), view, std::chrono::milliseconds(30), "demo");
    generator.start(planCalls(experiment, cluster->size()));
    std::this_thread::sleep_until(generator.startedAt() + LeaveAt);
    std::cout << cluster->daemonId(LeavingTarget) << " leaves under load\n" << std::flush;
    httplib::Client("http://" + cluster->operatorAddress(LeavingTarget)).Post("/v1/target/leave");
    const bool exited = cluster->daemon(LeavingTarget)->waitForExit(ExitLimit);
    const bool drained = exited && cluster->daemon(LeavingTarget)->status() == 0;
    std::cout << cluster->daemonId(LeavingTarget) << (drained ? " finished its requests and ended\n" : " did not drain\n");
    const std::vector<Sample> samples = generator.finish();
    printCalls(experiment, samples);
    const std::size_t doubled = countDoubled(*cluster);
    std::cout << "\nnon-idempotent calls that ran twice, by the backend servers' log: " << doubled << '\n';
    printInForce(cluster->operatorAddress(LeavingTarget + 1));
    return drained && doubled == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs the two regions of an example user on this machine and prints what became of its calls.");
    std::string binaries = "build";
    std::string examples = "examples/nullagine";
    app.add_option("--binaries", binaries, "root of the build tree")->capture_default_str();
    app.add_option("--examples", examples, "folder of the service configurations")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::string directory = std::filesystem::temp_directory_path() / "carobjunction-demo-XXXXXX";
    if (!mkdtemp(directory.data())) {
        std::cerr << "no temporary folder\n";
        return 1;
    }
    const int status = run(std::filesystem::absolute(binaries), examples, directory);
    std::filesystem::remove_all(directory);
    return status;
}
