#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace carobjunction::review
{

namespace
{

constexpr const char *DaemonProgram = "target/platform/carobjunction-platformd";
constexpr const char *SettingsTemplate = "platform/settings.yaml.template";
constexpr const char *SettingsVariable = "CAROBJUNCTION_NODE_FILE";
constexpr int FirstVersion = 3;
constexpr Milliseconds StartLimit { 8000 };
constexpr Milliseconds LeadTime { 6000 }; // the pages allow 8 s from the start of the machines to that of the traffic
constexpr Milliseconds ReadinessTimeout { 500 };
constexpr Milliseconds RequestDeadline { 3000 };
constexpr Milliseconds PollInterval { 20 };

std::string loopback(uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json configuration(int version, const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    nlohmann::json resources = nlohmann::json::array();
    for (const Route &route : routes) {
        resources.push_back({ { "type", "routes" },
                              { "metadata", { { "name", "route" + route.prefix } } },
                              { "spec",
                                { { "host", Deployment::Host },
                                  { "prefix", route.prefix },
                                  { "kind", route.kind },
                                  { "service", route.service },
                                  { "timeout_ms", 2000 },
                                  { "aim_ms", 800 },
                                  { "attempts", 2 },
                                  { "priority", 1 } } } });
    }
    for (const std::string &service : std::set<std::string>(services.begin(), services.end())) {
        resources.push_back(
            { { "type", "services" }, { "metadata", { { "name", service } } }, { "spec", { { "health_path", "/healthz" }, { "max_connections", 260 } } } });
    }
    resources.push_back(
        { { "type", "limits" },
          { "metadata", { { "name", "limits" } } },
          { "spec", { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 10000 } } } });
    return { { "version", version }, { "resources", resources } };
}

} // namespace

Deployment::Deployment(Record &record, const std::vector<std::string> &services, const std::vector<Route> &routes)
    : m_record(record), m_services(services), m_storePort(m_ports.allocatePort())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = pattern;
    m_store = std::make_unique<PlatformStore>(record, m_storePort);
    publish(FirstVersion, routes);
    for (const std::string &service : services) {
        Machine machine;
        machine.name = "vm-" + std::to_string(machines.size() + 1);
        machine.service = service;
        for (uint16_t *port : { &machine.targetPort, &machine.callerPort, &machine.peerPort, &machine.readyPort, &machine.operatorPort }) {
            *port = m_ports.allocatePort();
        }
        machine.settingsPath = m_folder + "/" + machine.name + ".yaml";
        machine.target = std::make_unique<Target>(record, "i-" + machine.name, service, machine.targetPort, machine.operatorPort);
        machines.push_back(std::move(machine));
    }
}

Deployment::~Deployment()
{
    for (Machine &machine : machines) {
        machine.target.reset();
        machine.daemon.reset();
    }
    m_store.reset();
    std::error_code ignored; // the folder is temporary
    if (std::getenv("REVIEW_KEEP_FOLDER") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string Deployment::renderSettings(const Machine &machine) const
{
    const std::vector<std::pair<std::string, std::string>> values { { "node_id", machine.name },
                                                                    { "region", "region-a" },
                                                                    { "zone", "zone-a" },
                                                                    { "service", machine.service },
                                                                    { "app_addr", loopback(machine.targetPort) },
                                                                    { "listen.outbound", loopback(machine.callerPort) },
                                                                    { "ip", "127.0.0.1" },
                                                                    { "port_range.0", std::to_string(machine.peerPort) },
                                                                    { "listen.ready", loopback(machine.readyPort) },
                                                                    { "listen.admin", loopback(machine.operatorPort) },
                                                                    { "platform.address", loopback(m_storePort) },
                                                                    { "heartbeat_ms", "1500" },
                                                                    { "bounds.grace_s", machine.graceSeconds },
                                                                    { "bounds.retry_budget_ratio", "0.2" },
                                                                    { "bounds.budget_slack", "64" },
                                                                    { "bounds.budget_window_s", "10" },
                                                                    { "limits.memory_mb", "260" },
                                                                    { "limits.max_fds", "4100" } };
    std::ostringstream text;
    text << std::ifstream(SettingsTemplate).rdbuf();
    std::string settings = text.str();
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (size_t at = settings.find(placeholder); at != std::string::npos; at = settings.find(placeholder, at + value.size())) {
            settings.replace(at, placeholder.size(), value);
        }
    }
    return settings;
}

void Deployment::publish(int version, const std::vector<Route> &routes)
{
    m_store->put("op", "config", configuration(version, routes, m_services).dump());
    m_record.write("operator: version " + std::to_string(version) + " is acknowledged");
}

void Deployment::startDaemon(Machine &machine)
{
    std::ofstream(machine.settingsPath) << renderSettings(machine);
    ::setenv(SettingsVariable, machine.settingsPath.c_str(), 1);
    machine.daemon = bench::ChildProcess::startWithLogFile({ DaemonProgram }, machine.settingsPath + ".log");
    m_record.write("daemon " + machine.name + (machine.daemon ? ": starts" : ": cannot be started"));
}

void Deployment::changeGrace(Machine &machine, const std::string &graceSeconds)
{
    machine.graceSeconds = graceSeconds;
    std::ofstream(machine.settingsPath) << renderSettings(machine);
    m_record.write("daemon " + machine.name + ": its settings file now has grace_s = " + graceSeconds + "; SIGHUP");
    ::kill(machine.daemon->pid(), SIGHUP);
}

void Deployment::killDaemon(Machine &machine)
{
    m_record.write("daemon " + machine.name + ": SIGKILL");
    machine.daemon->kill();
}

bool Deployment::stopDaemon(Machine &machine)
{
    m_record.write("daemon " + machine.name + ": SIGTERM");
    machine.daemon->terminate();
    const bool hasEnded = machine.daemon->waitForExit(GracePeriod);
    m_record.write("daemon " + machine.name + (hasEnded ? ": has ended" : ": still runs at the end of the grace period"));
    machine.daemon->kill();
    return hasEnded;
}

bool Deployment::isReady(const Machine &machine)
{
    Request check(http::verb::get, "/v1/readyz", 11);
    check.set(http::field::host, "ready");
    const auto response = exchange(machine.readyPort, check, ReadinessTimeout);
    return response && response->result() == http::status::ok;
}

bool Deployment::waitUntilReady(const Machine &machine, Milliseconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (isReady(machine)) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

bool Deployment::start()
{
    for (Machine &machine : machines) {
        startDaemon(machine);
        if (!machine.daemon) {
            return false;
        }
    }
    for (Machine &machine : machines) {
        if (!waitUntilReady(machine, StartLimit) || !machine.target->start(machine.target->id())) {
            return false;
        }
    }
    std::this_thread::sleep_for(LeadTime);
    return true;
}

unsigned Deployment::request(const Machine &machine, http::verb method, const std::string &path)
{
    const std::string id = "r" + std::to_string(++m_lastRequest);
    Request message(method, path, 11);
    message.set(http::field::host, Host);
    message.set("X-Attempt-Id", id);
    message.set("X-Deadline-Ms", std::to_string(RequestDeadline.count()));
    m_record.write("client at " + machine.name + ": sends " + id + " " + path);
    const auto response = exchange(machine.callerPort, message, RequestDeadline);
    const unsigned status = response ? response->result_int() : 0;
    m_record.write("client at " + machine.name + ": " + id + " gets " + (status == 0 ? "no answer" : std::to_string(status)));
    return status;
}

} // namespace carobjunction::review
