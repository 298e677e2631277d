#include "experimentparser.h"
#include "process/storeclient.h"
#include "scenariofault.h"
#include "scenariorunner.h"
#include "version/publisher.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

namespace carobjunction::scenarios
{

namespace
{

using std::chrono::milliseconds;

// As long as a drain may take.
constexpr auto ExitLimit = milliseconds(35000);
constexpr auto StartLimit = milliseconds(20000);

int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** @return the scalar as the JSON value that it looks like */
nlohmann::json toJson(const YAML::Node &node)
{
    const auto text = node.as<std::string>();
    bool flag = false;
    if (node.Tag() != "!" && YAML::convert<bool>::decode(node, flag)) {
        return flag;
    }
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return node.Tag() != "!" && !json.is_discarded() ? json : nlohmann::json(text);
}

std::vector<std::size_t> targetsIn(const YAML::Node &node)
{
    return node.IsSequence() ? node.as<std::vector<std::size_t>>() : std::vector<std::size_t> { node.as<std::size_t>() };
}

} // namespace

/** Fields other than `target` are those of the stand-in's control port. */
void ScenarioRunner::controlBackend(const YAML::Node &node)
{
    nlohmann::json fields = nlohmann::json::object();
    for (const auto &entry : node) {
        if (entry.first.as<std::string>() != "target") {
            fields[entry.first.as<std::string>()] = toJson(entry.second);
        }
    }
    for (const std::size_t target : targetsIn(node["target"])) {
        if (!m_cluster->sendBackendControl(target, fields.dump())) {
            throw ScenarioFault("backend server " + std::to_string(target) + " does not accept " + fields.dump());
        }
    }
}

void ScenarioRunner::controlStore(const YAML::Node &node)
{
    nlohmann::json fields = nlohmann::json::object();
    for (const auto &entry : node) {
        fields[entry.first.as<std::string>()] = toJson(entry.second);
    }
    if (!m_cluster->controlStore(fields.dump())) {
        throw ScenarioFault("the store does not accept " + fields.dump());
    }
}

void ScenarioRunner::stopProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = processOf(node);
    ::kill(process.pid(), SIGSTOP);
    m_paused.insert(&process);
}

void ScenarioRunner::continueProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = processOf(node);
    ::kill(process.pid(), SIGCONT);
    m_paused.erase(&process);
}

void ScenarioRunner::killProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = processOf(node);
    process.kill();
    m_paused.erase(&process);
}

void ScenarioRunner::startProcess(const YAML::Node &node)
{
    requireKnownKeys(node, { "daemon", "backend", "settings", "cold-ms", "cold-factor" });
    if (node["backend"]) {
        if (!m_cluster->startBackend(node["backend"].as<std::size_t>(), node["cold-ms"].as<double>(0), node["cold-factor"].as<double>(1))) {
            throw ScenarioFault("the backend server does not start");
        }
        return;
    }
    const auto target = node["daemon"].as<std::size_t>();
    if (node["settings"]) {
        m_cluster->setDaemonSettings(target, YAML::Dump(node["settings"]));
    }
    m_versions->forget(target);
    if (!m_cluster->startDaemon(target)) {
        throw ScenarioFault("the daemon does not start");
    }
    waitFor([&] { return m_cluster->isDaemonUp(target); }, StartLimit, "the operator port of daemon " + std::to_string(target));
}

void ScenarioRunner::terminate(const YAML::Node &node)
{
    bench::ChildProcess &process = processOf(node);
    process.terminate();
    if (!process.waitForExit(ExitLimit) || process.status() != 0) {
        throw ScenarioFault("the process did not end with status 0");
    }
}

void ScenarioRunner::leave(const YAML::Node &node)
{
    for (const std::size_t target : targetsIn(node)) {
        if (!m_cluster->sendBackendControl(target, R"({"leave":true})")) {
            throw ScenarioFault("backend server " + std::to_string(target) + " cannot leave");
        }
        m_leaves.push_back({ target, wallClockMs() });
    }
}

/** A list stands for publishings at the same moment; exactly `expect` of each outcome must come about, in any order. */
void ScenarioRunner::publish(const YAML::Node &node)
{
    std::vector<std::future<std::string>> publishings;
    std::vector<std::string> expected;
    const std::vector<YAML::Node> nodes = node.IsSequence() ? std::vector<YAML::Node>(node.begin(), node.end()) : std::vector<YAML::Node> { node };
    for (const YAML::Node &one : nodes) {
        requireKnownKeys(one, { "service", "changes", "publisher", "expect" });
        expected.push_back(one["expect"].as<std::string>("published"));
        // The nodes share memory, so each thread gets its own.
        publishings.push_back(std::async(std::launch::async, [this, copy = YAML::Clone(one)] { return publishOne(copy); }));
    }
    std::vector<std::string> outcomes;
    std::string text;
    for (std::future<std::string> &publishing : publishings) {
        outcomes.push_back(publishing.get());
        text += " " + outcomes.back();
    }
    std::sort(outcomes.begin(), outcomes.end());
    std::sort(expected.begin(), expected.end());
    if (outcomes != expected) {
        throw ScenarioFault("outcomes:" + text);
    }
}

std::string ScenarioRunner::publishOne(const YAML::Node &node)
{
    StoreClientOptions options;
    options.address = m_cluster->storeAddress();
    const auto client = StoreClient::create(options);
    if (!client) {
        throw ScenarioFault("there is no store");
    }
    PublishRequest request;
    const auto name = node["service"].as<std::string>();
    request.text = bench::ExperimentParser::merge(service(name).config, node["changes"] ? YAML::Dump(node["changes"]) : std::string()) + "\n";
    request.file = name + ".yaml";
    request.publisher = node["publisher"].as<std::string>("scenario");
    request.publishedAtMs = static_cast<uint64_t>(wallClockMs());
    request.token = PublishId::randomToken();
    const PublishResult result = Publisher<StoreClient>(*client).publish(request);
    std::string outcome(nameOf(result.outcome));
    for (const ConfigFault &fault : result.faults) {
        outcome += " " + fault.field + ": " + fault.reason;
    }
    return outcome;
}

} // namespace carobjunction::scenarios
