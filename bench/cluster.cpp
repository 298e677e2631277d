#include "cluster.h"

#include "experimentparser.h"

#include <carobjunction/process/lasterror.h>

#include "process/storeclient.h"
#include "version/publisher.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>
#include <thread>

namespace carobjunction::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr auto StartTimeout = milliseconds(10000);
constexpr auto ReadyTimeout = milliseconds(60000);
constexpr auto PublishTimeout = milliseconds(5000);
constexpr auto ReadyPollInterval = milliseconds(50);
constexpr std::size_t SeedCount = 3;

bool fail(const std::string &message)
{
    LastError<ClusterError>::fail({ message });
    return false;
}

httplib::Client makeHttpClient(const std::string &address)
{
    httplib::Client client("http://" + address);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(1);
    client.set_read_timeout(2);
    return client;
}

bool postControlRequest(const std::string &address, const std::string &json)
{
    const auto result = makeHttpClient(address).Post("/control", json, "application/json");
    return result && result->status == 200;
}

std::string readFileTail(const std::string &path)
{
    constexpr std::size_t MaxBytes = 600;
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const std::string content = text.str();
    return content.size() <= MaxBytes ? content : content.substr(content.size() - MaxBytes);
}

std::size_t countOccurrences(const std::string &text, const std::string &substring)
{
    std::size_t count = 0;
    for (std::size_t position = text.find(substring); position != std::string::npos; position = text.find(substring, position + substring.size())) {
        ++count;
    }
    return count;
}

std::size_t parseCallIndex(const std::string &path)
{
    const std::string field = "call=";
    const std::size_t position = path.find(field);
    std::size_t call = 0;
    for (std::size_t i = position == std::string::npos ? path.size() : position + field.size();
         i < path.size() && std::isdigit(static_cast<unsigned char>(path[i]));
         ++i) {
        call = call * 10 + static_cast<std::size_t>(path[i] - '0');
    }
    return call;
}

} // namespace

Cluster::Cluster(const ClusterSpec &spec, const ClusterOptions &options) : m_spec(spec), m_options(options)
{
}

std::unique_ptr<Cluster> Cluster::start(const ClusterSpec &spec, const ClusterOptions &options)
{
    std::unique_ptr<Cluster> cluster(new Cluster(spec, options));
    if (!cluster->startAll()) {
        return nullptr;
    }
    return cluster;
}

bool Cluster::startAll()
{
    createNodes();
    if (m_options.startsDaemons && m_spec.store && !startStore()) {
        return false;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_options.startsDaemons && !startDaemon(i)) {
            return fail("daemon " + m_nodes[i].daemonId + " failed to start");
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_options.absentTargets.count(i) == 0 && !startBackend(i)) {
            return fail("backend server " + std::to_string(i) + " failed to start");
        }
        if (m_options.startsBarePaths && !startBarePath(i)) {
            return fail("bare path " + std::to_string(i) + " failed to start");
        }
    }
    if (!m_options.startsDaemons || !m_options.publish) {
        return true;
    }
    for (const ServiceSpec &service : m_spec.services) {
        if (!publish(service)) {
            return false;
        }
    }
    return waitUntilReady();
}

void Cluster::createNodes()
{
    for (const ServiceSpec &service : m_spec.services) {
        for (std::size_t i = 0; i < service.targets; ++i) {
            Node node;
            node.service = &service;
            node.dataCentre = service.dataCentres[i % service.dataCentres.size()];
            for (const auto &[dataCentre, region] : m_spec.dataCentres) {
                node.region = dataCentre == node.dataCentre ? region : node.region;
            }
            node.daemonId = service.name + "-" + std::to_string(i);
            node.callerAddress = allocateAddress();
            node.peerAddress = allocateAddress();
            node.operatorAddress = allocateAddress();
            node.backendAddress = allocateAddress();
            m_endpoints.targetByDaemonId[node.daemonId] = static_cast<int>(m_nodes.size());
            m_endpoints.daemons.push_back(node.callerAddress);
            m_endpoints.backends.push_back(node.backendAddress);
            m_endpoints.regions.push_back(node.region);
            m_nodes.push_back(std::move(node));
        }
    }
}

std::vector<TargetDescription> Cluster::targetDescriptions() const
{
    std::vector<TargetDescription> targetDescriptions;
    for (const Node &node : m_nodes) {
        targetDescriptions.push_back({ node.service->name, node.region, node.service->slots, node.service->serviceTimeMs });
    }
    return targetDescriptions;
}

bool Cluster::startStore()
{
    m_store = ChildProcess::start({ programPath("tools/standin-store/carobjunction-standin-store"), "--listen", "127.0.0.1:0" }, filePath("store.log"));
    m_storeAddress = m_store ? m_store->waitForListeningAddress(StartTimeout) : std::string();
    return !m_storeAddress.empty() || fail("the stand-in store failed to start: " + readFileTail(filePath("store.log")));
}

bool Cluster::startDaemon(std::size_t target)
{
    Node &node = m_nodes[target];
    const std::string settings = filePath(node.daemonId + ".yaml");
    std::ofstream(settings) << makeDaemonSettings(target);
    node.daemon = ChildProcess::start({ programPath("daemon/carobjunctiond"), "--settings", settings }, filePath(node.daemonId + ".log"));
    return node.daemon != nullptr;
}

bool Cluster::startBackend(std::size_t target, double coldStartMs, double coldStartFactor)
{
    Node &node = m_nodes[target];
    const ServiceSpec &service = *node.service;
    std::vector<std::string> arguments {
        programPath("tools/standin-backend/carobjunction-standin-backend"),
        "--listen",
        node.backendAddress,
        "--service",
        service.name,
        "--slots",
        std::to_string(service.slots),
        "--service-time-ms",
        std::to_string(service.serviceTimeMs),
        "--distribution",
        service.distribution,
        "--seed",
        std::to_string(target + 1),
        "--workers",
        std::to_string(m_spec.backendWorkers),
        "--log-file",
        filePath("runs-" + std::to_string(target)),
    };
    if (m_options.startsDaemons) {
        arguments.insert(arguments.end(), { "--operator", node.operatorAddress });
    }
    if (coldStartMs > 0) {
        arguments.insert(arguments.end(), { "--cold-start-ms", std::to_string(coldStartMs), "--cold-factor", std::to_string(coldStartFactor) });
    }
    node.backend = ChildProcess::start(arguments, filePath("backend-" + std::to_string(target) + ".log"));
    return node.backend && !node.backend->waitForListeningAddress(StartTimeout).empty();
}

bool Cluster::startBarePath(std::size_t target)
{
    Node &node = m_nodes[target];
    const std::string log = filePath("bare-" + std::to_string(target) + ".log");
    const std::string benchProgram = programPath("bench/carobjunction-bench");
    node.bareOwner = ChildProcess::start({ benchProgram, "bare-owner", "--to", node.backendAddress }, log);
    const std::string owner = node.bareOwner ? node.bareOwner->waitForListeningAddress(StartTimeout) : std::string();
    if (owner.empty()) {
        return false;
    }
    node.bareEntry = ChildProcess::start({ benchProgram, "bare-entry", "--to", owner }, log);
    const std::string entry = node.bareEntry ? node.bareEntry->waitForListeningAddress(StartTimeout) : std::string();
    m_endpoints.bareAddresses.push_back(entry);
    return !entry.empty();
}

bool Cluster::publish(const ServiceSpec &service) const
{
    std::string config = ExperimentParser::merge(service.config, m_options.config);
    config = ExperimentParser::merge(config, "service: " + service.name);
    if (!m_options.policy.empty()) {
        config = ExperimentParser::merge(config, "routing: { policy: " + m_options.policy + " }");
    }
    StoreClientOptions options;
    options.address = m_storeAddress;
    options.timeout = PublishTimeout;
    const auto store = StoreClient::create(options);
    if (!store) {
        return fail("no store client could be created to publish the configuration of " + service.name + " in the store");
    }
    PublishRequest request;
    request.text = config + "\n";
    request.file = service.name;
    request.publisher = "bench";
    request.token = PublishId::randomToken();
    const PublishResult result = Publisher<StoreClient>(*store).publish(request);
    if (result.outcome != PublishOutcome::Published) {
        const std::string reason = result.errors.empty() ? std::string(nameOf(result.outcome)) : result.errors.front().toString();
        return fail("publishing the configuration of " + service.name + " failed: " + reason);
    }
    return true;
}

bool Cluster::waitUntilReady() const
{
    const auto end = std::chrono::steady_clock::now() + ReadyTimeout;
    for (const Node &node : m_nodes) {
        for (const ServiceSpec &service : m_spec.services) {
            while (!isServiceReady(node, service)) {
                if (std::chrono::steady_clock::now() >= end) {
                    return fail("daemon " + node.daemonId + " has not received the configuration and all targets of " + service.name + ": "
                                + readFileTail(filePath(node.daemonId + ".log")));
                }
                std::this_thread::sleep_for(ReadyPollInterval);
            }
        }
    }
    return true;
}

/** Checks whether a daemon has received the configuration of a service and lists every target of it that was started. */
bool Cluster::isServiceReady(const Node &node, const ServiceSpec &service) const
{
    std::size_t expectedTargets = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        expectedTargets += m_nodes[i].service == &service && m_options.absentTargets.count(i) == 0 ? 1 : 0;
    }
    httplib::Client client = makeHttpClient(node.operatorAddress);
    const auto inForce = client.Get("/v1/in-force?service=" + service.name);
    const auto targets = client.Get("/v1/targets?service=" + service.name);
    return inForce && inForce->body.find("\"hash\"") != std::string::npos && targets
        && countOccurrences(targets->body, "\"target_incarnation\":") - countOccurrences(targets->body, "\"target_incarnation\":0") >= expectedTargets;
}

bool Cluster::sendBackendControl(std::size_t target, const std::string &json) const
{
    return postControlRequest(m_nodes[target].backendAddress, json);
}

bool Cluster::controlStore(const std::string &json) const
{
    return postControlRequest(m_storeAddress, json);
}

void Cluster::killBackend(std::size_t target)
{
    m_nodes[target].backend.reset();
}

void Cluster::killDaemon(std::size_t target)
{
    m_nodes[target].daemon.reset();
}

bool Cluster::stopDaemon(std::size_t target, milliseconds exitTimeout)
{
    const std::unique_ptr<ChildProcess> &daemon = m_nodes[target].daemon;
    if (!daemon) {
        return false;
    }
    daemon->terminate();
    return daemon->waitForExit(exitTimeout) && daemon->status() == 0;
}

bool Cluster::isDaemonUp(std::size_t target) const
{
    return !metrics(target).empty();
}

std::map<std::string, double> Cluster::metrics(std::size_t target) const
{
    std::map<std::string, double> values;
    const auto result = makeHttpClient(m_nodes[target].operatorAddress).Get("/metrics");
    if (!result || result->status != 200) {
        return values;
    }
    std::istringstream text(result->body);
    for (std::string line; std::getline(text, line);) {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos) {
            continue;
        }
        values[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
    }
    return values;
}

ProcessUsage Cluster::usage(std::size_t target) const
{
    ProcessUsage usage;
    const std::unique_ptr<ChildProcess> &daemon = m_nodes[target].daemon;
    if (!daemon) {
        return usage;
    }
    const std::string directory = "/proc/" + std::to_string(daemon->pid());
    std::string stat;
    std::getline(std::ifstream(directory + "/stat"), stat);
    // Field 2 is the program name in parentheses and may contain spaces, so parsing starts after it. Fields 14 and 15 are the user and system times
    // in clock ticks.
    std::istringstream fields(stat.substr(std::min(stat.size(), stat.rfind(')') + 1)));
    std::string skipped;
    for (int i = 3; i < 14; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    double pages = 0;
    std::ifstream(directory + "/statm") >> skipped >> pages;
    usage.residentMib = pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1U << 20U);
    return usage;
}

std::vector<std::pair<std::size_t, RunRecord>> Cluster::readRunLogs() const
{
    std::vector<std::pair<std::size_t, RunRecord>> records;
    for (std::size_t target = 0; target < m_nodes.size(); ++target) {
        std::ifstream log(filePath("runs-" + std::to_string(target)));
        for (std::string text; std::getline(log, text);) {
            const auto json = nlohmann::json::parse(text, nullptr, false);
            const auto path = json.is_object() ? json.value("path", std::string()) : std::string();
            if (path.find("call=") != std::string::npos) {
                records.emplace_back(target, RunRecord { json.value("request_id", std::string()), json.value("key", std::string()), parseCallIndex(path) });
            }
        }
    }
    return records;
}

std::string Cluster::allocateAddress()
{
    return "127.0.0.1:" + std::to_string(m_ports.allocatePort());
}

std::string Cluster::programPath(const std::string &relative) const
{
    return m_options.buildDirectory + "/" + relative;
}

std::string Cluster::filePath(const std::string &name) const
{
    return m_options.directory + "/" + name;
}

std::string Cluster::makeDaemonSettings(std::size_t target) const
{
    const Node &node = m_nodes[target];
    YAML::Node settings = m_spec.daemonSettings.empty() ? YAML::Node(YAML::NodeType::Map) : YAML::Load(m_spec.daemonSettings);
    settings["daemon"] = node.daemonId;
    settings["region"] = node.region;
    settings["data-centre"] = node.dataCentre;
    settings["service"] = node.service->name;
    settings["caller-address"] = node.callerAddress;
    settings["peer-address"] = node.peerAddress;
    settings["operator-address"] = node.operatorAddress;
    settings["peer-security"] = "plaintext";
    if (!m_storeAddress.empty()) {
        settings["store-address"] = m_storeAddress;
    }
    for (std::size_t i = 0; i < std::min(SeedCount, m_nodes.size()); ++i) {
        if (m_nodes[i].peerAddress != node.peerAddress) {
            settings["seeds"].push_back(m_nodes[i].peerAddress);
        }
    }
    const auto overrides = m_options.settings.find(target);
    return overrides == m_options.settings.end() ? YAML::Dump(settings) + "\n" : ExperimentParser::merge(YAML::Dump(settings), overrides->second) + "\n";
}

} // namespace carobjunction::bench
