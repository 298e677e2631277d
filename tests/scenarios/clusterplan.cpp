#include "clusterplan.h"

#include "experimentparser.h"
#include "scenarioerror.h"

namespace carobjunction::scenarios
{

namespace
{

// Shorter intervals than in production, so that daemons detect failures within a scenario of a few seconds.
constexpr char DaemonSettings[] = "{ gossip-interval: 200ms, suspicion-timeout: 1s, config-poll-interval: 200ms, caller-threads: 64 }";
// The cold ramp is disabled, so that every target receives calls from the start of a scenario.
constexpr char ServiceConfiguration[] = R"(
targets: { cold-ramp: 0s }
routes:
  - { method: GET, path: /stock, idempotent: yes, deadline: 5s, retries: 2 }
  - { method: POST, path: /orders, idempotent: no, deadline: 5s }
)";
constexpr uint32_t BackendWorkers = 64;

bench::ServiceSpec parseService(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "targets", "slots", "service-time-ms", "distribution", "data-centres", "config" });
    bench::ServiceSpec service;
    service.name = node["name"].as<std::string>();
    service.targets = node["targets"].as<std::size_t>(1);
    service.slots = node["slots"].as<uint32_t>(9);
    service.serviceTimeMs = node["service-time-ms"].as<double>(5);
    service.distribution = node["distribution"].as<std::string>("constant");
    service.dataCentres = node["data-centres"].as<std::vector<std::string>>(std::vector<std::string> { "pil-a" });
    service.config = bench::ExperimentParser::merge(ServiceConfiguration, node["config"] ? YAML::Dump(node["config"]) : std::string());
    service.config = bench::ExperimentParser::merge(service.config, "service: " + service.name);
    return service;
}

} // namespace

ClusterPlan ClusterPlan::parse(const YAML::Node &node)
{
    requireKnownKeys(node, { "store", "data-centres", "services", "settings", "daemons", "absent-backends", "publish" });
    ClusterPlan plan;
    plan.spec.store = node["store"].as<bool>(true);
    plan.isPublishedAtStart = node["publish"].as<bool>(plan.spec.store);
    plan.spec.backendWorkers = BackendWorkers;
    plan.spec.dataCentres = { { "pil-a", "pilbara" }, { "sw-a", "pilbara" }, { "mid-a", "midwest" } };
    if (node["data-centres"]) {
        plan.spec.dataCentres.clear();
        for (const auto &entry : node["data-centres"]) {
            plan.spec.dataCentres.emplace_back(entry.first.as<std::string>(), entry.second.as<std::string>());
        }
    }
    plan.spec.daemonSettings = bench::ExperimentParser::merge(DaemonSettings, node["settings"] ? YAML::Dump(node["settings"]) : std::string());
    for (const auto &service : node["services"]) {
        plan.spec.services.push_back(parseService(service));
    }
    for (const auto &entry : node["daemons"]) {
        plan.settingsByDaemon[entry.first.as<std::size_t>()] = YAML::Dump(entry.second);
    }
    for (const auto &target : node["absent-backends"]) {
        plan.absentTargets.insert(target.as<std::size_t>());
    }
    if (plan.spec.services.empty()) {
        throw ScenarioError("cluster: at least one service is required");
    }
    return plan;
}

} // namespace carobjunction::scenarios
