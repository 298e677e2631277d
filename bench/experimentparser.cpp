#include "experimentparser.h"

#include <carobjunction/process/lasterror.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <initializer_list>
#include <stdexcept>
#include <string_view>

namespace carobjunction::bench
{

namespace
{

void requireKnownKeys(const YAML::Node &node, std::initializer_list<std::string_view> allowedKeys)
{
    if (!node.IsMap()) {
        throw std::runtime_error("expected a mapping at line " + std::to_string(node.Mark().line + 1));
    }
    for (const auto &entry : node) {
        const auto key = entry.first.as<std::string>();
        if (std::find(allowedKeys.begin(), allowedKeys.end(), key) == allowedKeys.end()) {
            throw std::runtime_error("unknown field '" + key + "' at line " + std::to_string(entry.first.Mark().line + 1));
        }
    }
}

template<typename T>
void readField(const YAML::Node &node, const char *key, T &value)
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

void readDuration(const YAML::Node &node, const char *key, Duration &value)
{
    if (node[key]) {
        value = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(node[key].as<double>()));
    }
}

template<typename Enum>
void readEnum(const YAML::Node &node, const char *key, Enum &value)
{
    if (!node[key]) {
        return;
    }
    const auto parsed = fromName<Enum>(node[key].as<std::string>());
    if (!parsed) {
        throw std::runtime_error("'" + node[key].as<std::string>() + "' is not a valid value of '" + key + "'");
    }
    value = *parsed;
}

/** Reads a subtree as text. YAML::Node copies share their data, so storing nodes would let one variant modify another. */
void readSubtree(const YAML::Node &node, const char *key, std::string &text)
{
    if (node[key]) {
        text = YAML::Dump(node[key]);
    }
}

CallKind parseCall(const YAML::Node &node)
{
    requireKnownKeys(node, { "share", "service", "method", "path", "body", "keyed", "idempotent", "answer-bytes" });
    CallKind call;
    readField(node, "share", call.share);
    readField(node, "service", call.service);
    readField(node, "method", call.method);
    readField(node, "path", call.path);
    readField(node, "body", call.body);
    readField(node, "keyed", call.keyed);
    call.idempotent = call.method == "GET";
    readField(node, "idempotent", call.idempotent);
    readField(node, "answer-bytes", call.answerBytes);
    return call;
}

ServiceSpec parseService(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "targets", "slots", "service-time-ms", "distribution", "data-centres", "config" });
    ServiceSpec service;
    readField(node, "name", service.name);
    readField(node, "targets", service.targets);
    readField(node, "slots", service.slots);
    readField(node, "service-time-ms", service.serviceTimeMs);
    readField(node, "distribution", service.distribution);
    readField(node, "data-centres", service.dataCentres);
    readSubtree(node, "config", service.config);
    if (service.targets == 0 || service.name.empty() || service.dataCentres.empty()) {
        throw std::runtime_error("each service must have a name, at least one target and at least one data centre");
    }
    return service;
}

ClusterSpec parseCluster(const YAML::Node &node)
{
    requireKnownKeys(node, { "store", "data-centres", "services", "daemon-settings", "backend-workers" });
    ClusterSpec cluster;
    readField(node, "store", cluster.store);
    for (const auto &entry : node["data-centres"]) {
        cluster.dataCentres.emplace_back(entry.first.as<std::string>(), entry.second.as<std::string>());
    }
    for (const auto &entry : node["services"]) {
        cluster.services.push_back(parseService(entry));
    }
    readSubtree(node, "daemon-settings", cluster.daemonSettings);
    readField(node, "backend-workers", cluster.backendWorkers);
    if (cluster.services.empty()) {
        throw std::runtime_error("the cluster must define at least one service");
    }
    return cluster;
}

Variant parseVariant(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "policy", "path", "config", "targets" });
    Variant variant;
    readField(node, "name", variant.name);
    readField(node, "policy", variant.policy);
    readEnum(node, "path", variant.path);
    readSubtree(node, "config", variant.config);
    readField(node, "targets", variant.targets);
    return variant;
}

FaultSpec parseFault(const YAML::Node &node)
{
    requireKnownKeys(node, { "kind", "target", "share", "at-ms", "for-ms", "shortest-ms", "longest-ms", "mean-gap-ms", "factor", "status" });
    FaultSpec fault;
    readEnum(node, "kind", fault.kind);
    if (node["target"]) {
        fault.target = node["target"].as<std::size_t>();
    }
    readField(node, "share", fault.share);
    readDuration(node, "at-ms", fault.at);
    readDuration(node, "for-ms", fault.length);
    readDuration(node, "shortest-ms", fault.shortest);
    readDuration(node, "longest-ms", fault.longest);
    readDuration(node, "mean-gap-ms", fault.meanGap);
    readField(node, "factor", fault.factor);
    readField(node, "status", fault.status);
    if (!(fault.factor > 0) || fault.meanGap <= Duration::zero() || fault.share > 1) {
        throw std::runtime_error("a fault is out of range: factor and mean-gap-ms must be positive, and share at most 1");
    }
    return fault;
}

Scenario parseScenario(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "idle", "faults" });
    Scenario scenario;
    readField(node, "name", scenario.name);
    readField(node, "idle", scenario.idle);
    for (const auto &entry : node["faults"]) {
        scenario.faults.push_back(parseFault(entry));
    }
    return scenario;
}

LoadLevel parseLoad(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "calls-per-second", "per-target", "capacity-share" });
    LoadLevel load;
    readField(node, "name", load.name);
    readField(node, "calls-per-second", load.callsPerSecond);
    readField(node, "per-target", load.perTarget);
    readField(node, "capacity-share", load.capacityShare);
    return load;
}

Check parseCheck(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "measure", "relation", "variant", "baseline", "scenarios", "loads", "at-most" });
    Check check;
    readField(node, "name", check.name);
    readField(node, "measure", check.measure);
    readEnum(node, "relation", check.relation);
    readField(node, "variant", check.variant);
    readField(node, "baseline", check.baseline);
    readField(node, "scenarios", check.scenarios);
    readField(node, "loads", check.loads);
    check.atMost = node["at-most"].as<double>();
    return check;
}

template<typename T, typename Parse>
void readList(const YAML::Node &node, const char *key, std::vector<T> &list, Parse parse)
{
    for (const auto &entry : node[key]) {
        list.push_back(parse(entry));
    }
}

std::size_t targetCount(const Experiment &experiment)
{
    std::size_t count = 0;
    for (const ServiceSpec &service : experiment.cluster.services) {
        count += service.targets;
    }
    return count;
}

void validate(const Experiment &experiment)
{
    if (experiment.variants.empty() || experiment.loads.empty() || experiment.calls.empty() || experiment.rounds == 0) {
        throw std::runtime_error("the experiment must define at least one variant, one load, one call and one round");
    }
    for (const CallKind &call : experiment.calls) {
        const auto &services = experiment.cluster.services;
        if (std::none_of(services.begin(), services.end(), [&](const ServiceSpec &service) { return service.name == call.service; })) {
            throw std::runtime_error("a call refers to the unknown service '" + call.service + "'");
        }
    }
    for (const Scenario &scenario : experiment.scenarios) {
        for (const FaultSpec &fault : scenario.faults) {
            if (fault.target.value_or(0) >= targetCount(experiment)) {
                throw std::runtime_error("scenario '" + scenario.name + "' has a fault whose target index is not below the number of targets");
            }
        }
    }
}

Experiment parseExperiment(const YAML::Node &node)
{
    requireKnownKeys(node,
                     { "name",
                       "description",
                       "seed",
                       "rounds",
                       "warm-up-ms",
                       "length-ms",
                       "senders",
                       "deadline-ms",
                       "resends",
                       "cluster",
                       "calls",
                       "variants",
                       "scenarios",
                       "loads",
                       "targets" });
    Experiment experiment;
    readField(node, "name", experiment.name);
    readField(node, "description", experiment.description);
    readField(node, "seed", experiment.seed);
    readField(node, "rounds", experiment.rounds);
    readDuration(node, "warm-up-ms", experiment.warmUp);
    readDuration(node, "length-ms", experiment.length);
    readField(node, "senders", experiment.senders);
    readDuration(node, "deadline-ms", experiment.deadline);
    readField(node, "resends", experiment.resends);
    experiment.cluster = parseCluster(node["cluster"]);
    readList(node, "calls", experiment.calls, parseCall);
    readList(node, "variants", experiment.variants, parseVariant);
    readList(node, "scenarios", experiment.scenarios, parseScenario);
    readList(node, "loads", experiment.loads, parseLoad);
    readList(node, "targets", experiment.checks, parseCheck);
    if (experiment.scenarios.empty()) {
        experiment.scenarios.emplace_back();
    }
    validate(experiment);
    return experiment;
}

void mergeInto(YAML::Node base, const YAML::Node &changes)
{
    for (const auto &entry : changes) {
        const auto key = entry.first.as<std::string>();
        if (entry.second.IsMap() && base[key] && base[key].IsMap()) {
            mergeInto(base[key], entry.second);
        } else {
            base[key] = entry.second;
        }
    }
}

} // namespace

std::optional<Experiment> ExperimentParser::parse(const std::string &text)
{
    try {
        return parseExperiment(YAML::Load(text));
    } catch (const std::exception &error) {
        return LastError<ExperimentError>::fail({ error.what() });
    }
}

std::string ExperimentParser::merge(const std::string &base, const std::string &changes)
{
    YAML::Node merged = base.empty() ? YAML::Node(YAML::NodeType::Map) : YAML::Load(base);
    if (!changes.empty()) {
        mergeInto(merged, YAML::Load(changes));
    }
    return YAML::Dump(merged);
}

} // namespace carobjunction::bench
