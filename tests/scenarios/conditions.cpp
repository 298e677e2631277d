#include "range.h"
#include "scenarioerror.h"
#include "scenariorunner.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace carobjunction::scenarios
{

namespace
{

Range parseRange(const YAML::Node &node)
{
    const auto range = Range::parse(node.as<std::string>());
    if (!range) {
        throw ScenarioError("malformed count " + node.as<std::string>());
    }
    return *range;
}

nlohmann::json getJson(const std::string &address, const std::string &path)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::milliseconds(1000));
    const auto result = client.Get(path);
    auto json = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    return json.is_object() ? json : nlohmann::json::object();
}

} // namespace

ScenarioRunner::Condition ScenarioRunner::makeCondition(const YAML::Node &node)
{
    const auto name = node.begin()->first.as<std::string>();
    const YAML::Node value = node.begin()->second;
    if (name == "run") {
        return makeRunCondition(value);
    }
    if (name == "targets") {
        return makeTargetCondition(value);
    }
    if (name == "configured") {
        requireKnownKeys(value, { "service", "version", "daemons" });
        const auto daemons = value["daemons"] ? value["daemons"].as<std::vector<std::size_t>>() : runningDaemons();
        return [this, daemons, service = value["service"].as<std::string>(), version = value["version"].as<uint64_t>()] {
            return std::all_of(daemons.begin(), daemons.end(), [&](std::size_t daemon) {
                return VersionMonitor::readVersions(m_cluster->operatorAddress(daemon))[service] >= version;
            });
        };
    }
    if (name == "progress") {
        requireKnownKeys(value, { "load", "calls" });
        return [load = m_backgroundLoads.at(value["load"].as<std::string>()).get(), calls = value["calls"].as<std::size_t>()] {
            return load->finishedCallCount() >= calls;
        };
    }
    if (name == "log") {
        requireKnownKeys(value, { "daemon", "text", "count" });
        return [this, daemon = value["daemon"].as<std::size_t>(), text = value["text"].as<std::string>(), count = value["count"].as<std::size_t>(1)] {
            return countLogLines(daemon, text) >= count;
        };
    }
    if (name == "metric") {
        return [this, value] {
            return parseRange(value["count"]).contains(sumMetric(value));
        };
    }
    if (name == "exited") {
        bench::ChildProcess &process = findProcess(value);
        return [&process] {
            return process.waitForExit(std::chrono::milliseconds(0));
        };
    }
    if (name == "suspects") {
        requireKnownKeys(value, { "via", "state", "count" });
        return [this, queriedDaemon = value["via"].as<std::size_t>(), state = value["state"].as<std::string>(), count = parseRange(value["count"])] {
            const auto json = getJson(m_cluster->operatorAddress(queriedDaemon), "/v1/suspects");
            std::size_t found = 0;
            for (const nlohmann::json &suspect : json.value("suspects", nlohmann::json::array())) {
                found += suspect.value("state", std::string()) == state ? 1 : 0;
            }
            return count.contains(found);
        };
    }
    throw ScenarioError("unknown condition " + name);
}

ScenarioRunner::Condition ScenarioRunner::makeRunCondition(const YAML::Node &node) const
{
    return [this, node] {
        return countRuns(node) >= 1;
    };
}

/** Counts the targets that one daemon reports. A target without a backend server has no address and does not count as up. */
ScenarioRunner::Condition ScenarioRunner::makeTargetCondition(const YAML::Node &node) const
{
    requireKnownKeys(node, { "via", "service", "target", "state", "phase", "count" });
    const std::string path = "/v1/targets" + (node["service"] ? "?service=" + node["service"].as<std::string>() : std::string());
    const std::string id = node["target"] ? m_cluster->daemonId(node["target"].as<std::size_t>()) : std::string();
    return [this,
            path,
            id,
            queriedDaemon = node["via"].as<std::size_t>(),
            state = node["state"].as<std::string>(""),
            phase = node["phase"].as<std::string>(""),
            count = parseRange(node["count"] ? node["count"] : YAML::Node("1"))] {
        std::size_t found = 0;
        const auto json = getJson(m_cluster->operatorAddress(queriedDaemon), path);
        for (const nlohmann::json &target : json.value("targets", nlohmann::json::array())) {
            const bool isRequestedTarget = id.empty() || target.value("daemon", std::string()) == id;
            const bool hasState
                = state.empty() || (target.value("state", std::string()) == state && (state != "up" || !target.value("address", std::string()).empty()));
            const bool hasPhase = phase.empty() || target.value("phase", std::string()) == phase;
            found += isRequestedTarget && hasState && hasPhase ? 1 : 0;
        }
        return count.contains(found);
    };
}

void ScenarioRunner::expectRunCount(const YAML::Node &node)
{
    const std::size_t count = countRuns(node);
    if (!parseRange(node["count"]).contains(count)) {
        throw ScenarioError("expected " + node["count"].as<std::string>() + " runs, got " + std::to_string(count));
    }
}

std::size_t ScenarioRunner::countRuns(const YAML::Node &node) const
{
    requireKnownKeys(node, { "target", "key", "text", "method", "count" });
    const auto runs = m_runLogs->read();
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const RunRecord &run) {
        return (!node["target"] || node["target"].as<std::size_t>() == run.target) && (!node["key"] || node["key"].as<std::string>() == run.key)
            && (!node["method"] || node["method"].as<std::string>() == run.method)
            && (!node["text"] || run.path.find(node["text"].as<std::string>()) != std::string::npos);
    }));
}

/** Checks the share of the calls of a load whose response names the target. */
void ScenarioRunner::expectTargetShare(const YAML::Node &node)
{
    requireKnownKeys(node, { "target", "load", "at-most", "at-least" });
    const auto records = m_callSender->recordsForGroup(node["load"].as<std::string>());
    const std::string &id = m_cluster->daemonId(node["target"].as<std::size_t>());
    const auto answered = std::count_if(records.begin(), records.end(), [&](const CallRecord &record) { return record.target == id; });
    const double share = records.empty() ? 0 : static_cast<double>(answered) / static_cast<double>(records.size());
    if (share > node["at-most"].as<double>(1) || share < node["at-least"].as<double>(0)) {
        throw ScenarioError("target " + id + " served an unexpected share of the calls: " + std::to_string(share));
    }
}

void ScenarioRunner::expectMetricSum(const YAML::Node &node)
{
    const uint64_t sum = sumMetric(node);
    if (!parseRange(node["count"]).contains(sum)) {
        throw ScenarioError("expected " + node["count"].as<std::string>() + " of " + node["name"].as<std::string>() + ", got " + std::to_string(sum));
    }
}

uint64_t ScenarioRunner::sumMetric(const YAML::Node &node) const
{
    requireKnownKeys(node, { "daemon", "name", "count" });
    const auto daemons = node["daemon"] ? std::vector<std::size_t> { node["daemon"].as<std::size_t>() } : runningDaemons();
    double sum = 0;
    for (const std::size_t daemon : daemons) {
        sum += m_cluster->metrics(daemon)["carobjunction_" + node["name"].as<std::string>() + "_total"];
    }
    return static_cast<uint64_t>(sum);
}

std::size_t ScenarioRunner::countLogLines(std::size_t daemon, const std::string &text) const
{
    std::ifstream file(m_directory + "/" + m_cluster->daemonId(daemon) + ".log");
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);) {
        count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

} // namespace carobjunction::scenarios
