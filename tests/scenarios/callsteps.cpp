#include "range.h"
#include "scenarioerror.h"
#include "scenariorunner.h"

#include <algorithm>
#include <thread>

namespace carobjunction::scenarios
{

namespace
{

constexpr auto RepeatTimeout = std::chrono::milliseconds(20000);
constexpr auto RepeatInterval = std::chrono::milliseconds(50);

/** @return whether @p value equals the scalar @p expected or an element of the list @p expected */
bool matchesAny(const YAML::Node &expected, const std::string &value)
{
    if (!expected.IsSequence()) {
        return expected.as<std::string>() == value;
    }
    return std::any_of(expected.begin(), expected.end(), [&](const YAML::Node &item) { return item.as<std::string>() == value; });
}

void expectField(const YAML::Node &expected, const std::string &field, const std::string &value, const CallRecord &record)
{
    if (expected[field] && !matchesAny(expected[field], value)) {
        throw ScenarioError("expected " + field + " " + YAML::Dump(expected[field]) + ", got '" + value + "' (outcome " + record.outcome + ", status "
                            + std::to_string(record.status) + ", reason " + record.reason + ", target " + record.target + ")");
    }
}

void expectCount(const YAML::Node &expected, const std::string &description, std::size_t count)
{
    const auto range = Range::parse(expected.as<std::string>());
    if (!range) {
        throw ScenarioError("malformed count " + expected.as<std::string>());
    }
    if (!range->contains(count)) {
        throw ScenarioError("expected " + expected.as<std::string>() + " of " + description + ", got " + std::to_string(count));
    }
}

} // namespace

void ScenarioRunner::call(const YAML::Node &node)
{
    requireKnownKeys(node,
                     { "name",
                       "via",
                       "service",
                       "method",
                       "path",
                       "key",
                       "body",
                       "body-bytes",
                       "headers",
                       "deadline-ms",
                       "bytes",
                       "times",
                       "until",
                       "background",
                       "expect" });
    const CallSpec spec = parseCall(node);
    if (node["background"].as<bool>(false)) {
        m_backgroundCalls[spec.group] = std::async(std::launch::async, [this, spec] { return m_callSender->send(spec); });
        return;
    }
    const bool isRepeated = node["until"].as<bool>(false);
    const auto end = std::chrono::steady_clock::now() + RepeatTimeout;
    for (int i = 0; i < node["times"].as<int>(1); ++i) {
        while (true) {
            const CallRecord record = m_callSender->send(spec);
            try {
                expectCall(node["expect"], record);
                break;
            } catch (const ScenarioError &) {
                if (!isRepeated || std::chrono::steady_clock::now() >= end) {
                    throw;
                }
            }
            std::this_thread::sleep_for(RepeatInterval);
        }
    }
}

CallSpec ScenarioRunner::parseCall(const YAML::Node &node) const
{
    CallSpec spec;
    spec.group = node["name"].as<std::string>("call");
    spec.service = node["service"].as<std::string>(m_plan.spec.services.front().name);
    spec.method = node["method"].as<std::string>("GET");
    spec.path = node["path"].as<std::string>(spec.method == "GET" ? "/stock" : "/orders");
    spec.key = node["key"].as<std::string>("");
    spec.body = node["body"].as<std::string>(spec.method == "GET" ? "" : "order " + spec.key);
    if (node["body-bytes"]) {
        spec.body = std::string(node["body-bytes"].as<std::size_t>(), 'x');
    }
    spec.deadlineMs = node["deadline-ms"].as<uint64_t>(0);
    spec.answerBytes = node["bytes"].as<uint64_t>(64);
    for (const auto &header : node["headers"]) {
        spec.headers[header.first.as<std::string>()] = header.second.as<std::string>();
    }
    spec.entryDaemon = parseEntryDaemons(node["via"]).front();
    return spec;
}

std::vector<std::size_t> ScenarioRunner::parseEntryDaemons(const YAML::Node &node) const
{
    std::vector<std::size_t> entryDaemons;
    if (node && node.IsSequence()) {
        entryDaemons = node.as<std::vector<std::size_t>>();
    } else if (node) {
        entryDaemons = { node.as<std::size_t>() };
    } else {
        for (std::size_t i = 0; i < m_cluster->size(); ++i) {
            entryDaemons.push_back(i);
        }
    }
    if (entryDaemons.empty() || *std::max_element(entryDaemons.begin(), entryDaemons.end()) >= m_cluster->size()) {
        throw ScenarioError("via: daemon index out of range");
    }
    return entryDaemons;
}

void ScenarioRunner::load(const YAML::Node &node)
{
    requireKnownKeys(node, { "name", "via", "service", "method", "path", "headers", "deadline-ms", "bytes", "count", "rate", "senders", "keyed", "resends" });
    LoadSpec spec;
    spec.call = parseCall(node);
    spec.entryDaemons = parseEntryDaemons(node["via"]);
    spec.count = node["count"].as<std::size_t>(100);
    spec.callsPerSecond = node["rate"].as<double>(0);
    spec.senderCount = node["senders"].as<std::size_t>(8);
    spec.hasIdempotencyKeys = node["keyed"].as<bool>(false);
    spec.maxResends = node["resends"].as<std::size_t>(0);
    if (spec.maxResends > 0 && !spec.hasIdempotencyKeys && !spec.call.isIdempotent()) {
        throw ScenarioError("resends of non-idempotent calls require idempotency keys");
    }
    m_backgroundLoads[spec.call.group] = std::make_unique<BackgroundLoad>(*m_callSender, spec);
}

void ScenarioRunner::await(const YAML::Node &node)
{
    requireKnownKeys(node, { "call", "load", "stop", "expect" });
    if (node["call"]) {
        const auto call = m_backgroundCalls.find(node["call"].as<std::string>());
        if (call == m_backgroundCalls.end()) {
            throw ScenarioError("no background call of this name is in progress");
        }
        const CallRecord record = call->second.get();
        m_backgroundCalls.erase(call);
        expectCall(node["expect"], record);
        return;
    }
    const auto name = node["load"].as<std::string>();
    const auto load = m_backgroundLoads.find(name);
    if (load == m_backgroundLoads.end()) {
        throw ScenarioError("no load named " + name);
    }
    if (node["stop"].as<bool>(false)) {
        load->second->stop();
    }
    load->second->join();
    expectGroupOutcomes(node["expect"], name);
}

void ScenarioRunner::expectCall(const YAML::Node &expected, const CallRecord &record) const
{
    if (!expected) {
        return;
    }
    requireKnownKeys(expected, { "outcome", "status", "reason", "target", "body-bytes", "not-target" });
    expectField(expected, "outcome", record.outcome, record);
    expectField(expected, "status", std::to_string(record.status), record);
    expectField(expected, "reason", record.reason, record);
    expectField(expected, "target", record.target, record);
    expectField(expected, "body-bytes", std::to_string(record.body.size()), record);
    if (expected["not-target"] && matchesAny(expected["not-target"], record.target)) {
        throw ScenarioError("unexpected response from excluded target " + record.target);
    }
}

/** Counts calls by the outcome of their last attempt. A load stops resending a call after the outcome `ran`. */
void ScenarioRunner::expectGroupOutcomes(const YAML::Node &expected, const std::string &group) const
{
    std::map<std::string, std::string> outcomes;
    std::map<std::string, std::size_t> reasons;
    std::map<std::string, std::size_t> statuses;
    for (const CallRecord &record : m_callSender->recordsForGroup(group)) {
        outcomes[record.spec.path + record.spec.body] = record.outcome;
        ++reasons[record.reason];
        ++statuses[std::to_string(record.status)];
    }
    std::map<std::string, std::size_t> counts;
    std::string context = "(" + group + ", reasons";
    for (const auto &[call, outcome] : outcomes) {
        ++counts[outcome];
    }
    for (const auto &[reason, count] : reasons) {
        context.append(" ").append(reason).append(":").append(std::to_string(count));
    }
    context += ")";
    for (const auto &entry : expected) {
        const auto name = entry.first.as<std::string>();
        if (name == "reasons" || name == "statuses") {
            for (const auto &item : entry.second) {
                const auto value = item.first.as<std::string>();
                expectCount(
                    item.second, std::string(name).append(" ").append(value).append(" ").append(context), (name == "reasons" ? reasons : statuses)[value]);
            }
        } else if (name == "calls") {
            expectCount(entry.second, "calls " + context, outcomes.size());
        } else {
            requireKnownKeys(expected, { "ran", "not-run", "unknown", "no-answer", "reasons", "statuses", "calls" });
            expectCount(entry.second, std::string("outcome ").append(name).append(" ").append(context), counts[name]);
        }
    }
}

} // namespace carobjunction::scenarios
