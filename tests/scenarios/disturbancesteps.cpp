#include "experimentparser.h"
#include "process/storeclient.h"
#include "scenarioerror.h"
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

// Longer than the default drain limit of 30 s.
constexpr auto ExitTimeout = milliseconds(35000);
constexpr auto StartTimeout = milliseconds(20000);

int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** @return the scalar as JSON: a Boolean or number if it is unquoted and can be read as one, otherwise a string */
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

std::vector<std::size_t> parseTargets(const YAML::Node &node)
{
    return node.IsSequence() ? node.as<std::vector<std::size_t>>() : std::vector<std::size_t> { node.as<std::size_t>() };
}

} // namespace

/** Sends the fields other than `target` to the control endpoint of the stand-in backend servers. */
void ScenarioRunner::controlBackend(const YAML::Node &node)
{
    nlohmann::json fields = nlohmann::json::object();
    for (const auto &entry : node) {
        if (entry.first.as<std::string>() != "target") {
            fields[entry.first.as<std::string>()] = toJson(entry.second);
        }
    }
    for (const std::size_t target : parseTargets(node["target"])) {
        if (!m_cluster->sendBackendControl(target, fields.dump())) {
            throw ScenarioError("backend server " + std::to_string(target) + " did not accept control request " + fields.dump());
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
        throw ScenarioError("store did not accept control request " + fields.dump());
    }
}

void ScenarioRunner::pauseProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = findProcess(node);
    ::kill(process.pid(), SIGSTOP);
    m_pausedProcesses.insert(&process);
}

void ScenarioRunner::resumeProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = findProcess(node);
    ::kill(process.pid(), SIGCONT);
    m_pausedProcesses.erase(&process);
}

void ScenarioRunner::killProcess(const YAML::Node &node)
{
    bench::ChildProcess &process = findProcess(node);
    process.kill();
    m_pausedProcesses.erase(&process);
}

void ScenarioRunner::startProcess(const YAML::Node &node)
{
    requireKnownKeys(node, { "daemon", "backend", "settings", "cold-ms", "cold-factor" });
    if (node["backend"]) {
        if (!m_cluster->startBackend(node["backend"].as<std::size_t>(), node["cold-ms"].as<double>(0), node["cold-factor"].as<double>(1))) {
            throw ScenarioError("backend server of the start step failed to start");
        }
        return;
    }
    const auto target = node["daemon"].as<std::size_t>();
    if (node["settings"]) {
        m_cluster->setDaemonSettings(target, YAML::Dump(node["settings"]));
    }
    m_versionMonitor->resetDaemon(target);
    if (!m_cluster->startDaemon(target)) {
        throw ScenarioError("daemon of the start step failed to start");
    }
    waitFor([&] { return m_cluster->isDaemonUp(target); }, StartTimeout, "the operator port of daemon " + std::to_string(target));
}

void ScenarioRunner::terminate(const YAML::Node &node)
{
    bench::ChildProcess &process = findProcess(node);
    process.terminate();
    if (!process.waitForExit(ExitTimeout) || process.status() != 0) {
        throw ScenarioError("daemon or backend server did not exit with status 0 within 35 s of the request to terminate");
    }
}

void ScenarioRunner::announceLeave(const YAML::Node &node)
{
    for (const std::size_t target : parseTargets(node)) {
        if (!m_cluster->sendBackendControl(target, R"({"leave":true})")) {
            throw ScenarioError("backend server " + std::to_string(target) + " failed to announce its leave");
        }
        m_leaveRecords.push_back({ target, wallClockMs() });
    }
}

/** Publishes one configuration, or several concurrently if @p node is a list. The outcomes have to match the `expect` values in any order. */
void ScenarioRunner::publish(const YAML::Node &node)
{
    std::vector<std::future<std::string>> publications;
    std::vector<std::string> expected;
    const std::vector<YAML::Node> nodes = node.IsSequence() ? std::vector<YAML::Node>(node.begin(), node.end()) : std::vector<YAML::Node> { node };
    for (const YAML::Node &publishNode : nodes) {
        requireKnownKeys(publishNode, { "service", "changes", "publisher", "expect" });
        expected.push_back(publishNode["expect"].as<std::string>("published"));
        // Copies of a YAML::Node share memory, so each thread receives a clone.
        publications.push_back(std::async(std::launch::async, [this, copy = YAML::Clone(publishNode)] { return publishConfiguration(copy); }));
    }
    std::vector<std::string> outcomes;
    std::string text;
    for (std::future<std::string> &publication : publications) {
        outcomes.push_back(publication.get());
        text += " " + outcomes.back();
    }
    std::sort(outcomes.begin(), outcomes.end());
    std::sort(expected.begin(), expected.end());
    if (outcomes != expected) {
        throw ScenarioError("outcomes:" + text);
    }
}

std::string ScenarioRunner::publishConfiguration(const YAML::Node &node)
{
    StoreClientOptions options;
    options.address = m_cluster->storeAddress();
    const auto client = StoreClient::create(options);
    if (!client) {
        throw ScenarioError("cannot create a store client");
    }
    PublishRequest request;
    const auto name = node["service"].as<std::string>();
    request.text = bench::ExperimentParser::merge(findService(name).config, node["changes"] ? YAML::Dump(node["changes"]) : std::string()) + "\n";
    request.file = name + ".yaml";
    request.publisher = node["publisher"].as<std::string>("scenario");
    request.publishedAtMs = static_cast<uint64_t>(wallClockMs());
    request.token = PublishId::randomToken();
    const PublishResult result = Publisher<StoreClient>(*client).publish(request);
    std::string outcome(nameOf(result.outcome));
    for (const ConfigError &configError : result.errors) {
        outcome += " " + configError.field + ": " + configError.reason;
    }
    return outcome;
}

} // namespace carobjunction::scenarios
