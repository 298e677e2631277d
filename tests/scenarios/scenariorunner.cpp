#include "scenariorunner.h"

#include "range.h"
#include "scenariofault.h"

#include <carobjunction/process/lasterror.h>
#include <carobjunction/process/retrybudget.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sys/wait.h>

#include <csignal>
#include <thread>

namespace carobjunction::scenarios
{

namespace
{

using std::chrono::milliseconds;

// Limits of waits for things that must happen. Generous, so that the verdict does not depend on a busy machine.
constexpr auto WaitLimit = milliseconds(20000);
constexpr auto WaitInterval = milliseconds(10);
constexpr auto RestTime = milliseconds(150);
constexpr double DefaultBudgetShare = 0.1;

} // namespace

ScenarioRunner::ScenarioRunner(const YAML::Node &scenario, std::string buildDirectory, std::string directory)
    : m_scenario(scenario), m_binaries(std::move(buildDirectory)), m_directory(std::move(directory))
{
}

ScenarioRunner::~ScenarioRunner() = default;

std::vector<std::string> ScenarioRunner::run()
{
    std::size_t step = 0;
    try {
        requireKnownKeys(m_scenario, { "name", "about", "cluster", "steps", "checks" });
        startCluster();
        for (const auto &node : m_scenario["steps"]) {
            ++step;
            runStep(node);
        }
        comeToRest();
        for (const auto &node : m_scenario["checks"]) {
            ++step;
            runStep(node);
        }
    } catch (const ScenarioFault &fault) {
        m_faults.push_back("step " + std::to_string(step) + ": " + fault.what());
    } catch (const YAML::Exception &fault) {
        m_faults.push_back("step " + std::to_string(step) + ": " + fault.what());
    }
    if (m_cluster) {
        try {
            comeToRest();
            checkInvariants();
        } catch (const ScenarioFault &fault) {
            m_faults.push_back(std::string("at the end: ") + fault.what());
        }
    }
    return m_faults;
}

void ScenarioRunner::startCluster()
{
    m_plan = ClusterPlan::parse(m_scenario["cluster"]);
    bench::ClusterOptions options;
    options.buildDirectory = m_binaries;
    options.directory = m_directory;
    options.absentTargets = m_plan.absentTargets;
    options.settings = m_plan.settings;
    options.publish = false;
    m_cluster = bench::Cluster::start(m_plan.spec, options);
    if (!m_cluster) {
        throw ScenarioFault("the cluster does not start: " + LastError<bench::ClusterError>::get().message);
    }
    m_startedAt = std::chrono::steady_clock::now();
    m_sender = std::make_unique<CallSender>(m_cluster->endpoints().daemons);
    m_runLogs = std::make_unique<RunLogs>(m_directory, m_cluster->size());
    std::vector<std::string> operators;
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        operators.push_back(m_cluster->operatorAddress(i));
    }
    m_versions = std::make_unique<VersionMonitor>(operators);
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        waitFor([this, i] { return m_cluster->isDaemonUp(i); }, WaitLimit, "the operator port of daemon " + std::to_string(i));
    }
    if (!m_plan.publish) {
        return;
    }
    for (const bench::ServiceSpec &spec : m_plan.spec.services) {
        YAML::Node node;
        node["service"] = spec.name;
        node["expect"] = "published";
        publish(node);
    }
    waitUntilReady();
}

void ScenarioRunner::waitUntilReady()
{
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        waitFor([this, i] { return isReady(i); }, WaitLimit, "daemon " + std::to_string(i) + " to know all configurations and targets");
    }
}

/** @return whether the daemon has every configuration in force and knows every target that was started */
bool ScenarioRunner::isReady(std::size_t daemon) const
{
    if (VersionMonitor::read(m_cluster->operatorAddress(daemon)).size() < m_plan.spec.services.size()) {
        return false;
    }
    YAML::Node node;
    node["via"] = daemon;
    node["state"] = "up";
    node["count"] = std::to_string(m_cluster->size() - m_plan.absentTargets.size());
    return targetCondition(node)();
}

void ScenarioRunner::runStep(const YAML::Node &step)
{
    using Handler = void (ScenarioRunner::*)(const YAML::Node &);
    static const std::map<std::string, Handler> handlers {
        { "call", &ScenarioRunner::call },          { "load", &ScenarioRunner::load },
        { "await", &ScenarioRunner::await },        { "backend", &ScenarioRunner::controlBackend },
        { "store", &ScenarioRunner::controlStore }, { "kill", &ScenarioRunner::killProcess },
        { "start", &ScenarioRunner::startProcess }, { "terminate", &ScenarioRunner::terminate },
        { "stop", &ScenarioRunner::stopProcess },   { "continue", &ScenarioRunner::continueProcess },
        { "leave", &ScenarioRunner::leave },        { "publish", &ScenarioRunner::publish },
        { "wait", &ScenarioRunner::wait },          { "runs", &ScenarioRunner::expectRuns },
        { "share", &ScenarioRunner::expectShare },  { "metric", &ScenarioRunner::expectMetric },
        { "pause-ms", &ScenarioRunner::pause },
    };
    for (const auto &entry : step) {
        const auto name = entry.first.as<std::string>();
        const auto handler = handlers.find(name);
        if (handler == handlers.end()) {
            throw ScenarioFault("unknown step " + name);
        }
        try {
            (this->*handler->second)(entry.second);
        } catch (const ScenarioFault &fault) {
            throw ScenarioFault(name + " (line " + std::to_string(entry.first.Mark().line + 1) + "): " + fault.what());
        }
    }
}

/** Continues paused processes and waits until no call and no request is in progress. */
void ScenarioRunner::comeToRest()
{
    for (const bench::ChildProcess *process : std::exchange(m_paused, {})) {
        ::kill(process->pid(), SIGCONT);
    }
    for (auto &[name, load] : m_loads) {
        load->join();
    }
    for (auto &[name, call] : m_calls) {
        call.wait();
    }
    const auto isIdle = [this](std::size_t target) {
        httplib::Client client("http://" + m_cluster->endpoints().backends[target]);
        client.set_connection_timeout(milliseconds(500));
        client.set_read_timeout(milliseconds(500));
        const auto result = client.Get("/control/log");
        if (!result) {
            return m_cluster->backend(target) == nullptr || m_cluster->backend(target)->waitForExit(milliseconds(0));
        }
        const auto runs = nlohmann::json::parse(result->body, nullptr, false);
        return std::all_of(runs.begin(), runs.end(), [](const nlohmann::json &run) { return run.value("finished_ms", int64_t { 0 }) != 0; });
    };
    for (std::size_t target = 0; target < m_cluster->size(); ++target) {
        waitFor([&] { return isIdle(target); }, WaitLimit, "backend server " + std::to_string(target) + " to finish its requests");
    }
    // A request that is on its way to a backend server would be missing in the record.
    std::this_thread::sleep_for(RestTime);
}

void ScenarioRunner::checkInvariants()
{
    const std::vector<CallRecord> calls = m_sender->records();
    const std::vector<Run> runs = m_runLogs->read();
    const std::vector<std::string> violations = Invariants(calls, runs, m_leaves).check();
    m_faults.insert(m_faults.end(), violations.begin(), violations.end());
    const std::vector<std::string> stepsBack = m_versions->finish();
    m_faults.insert(m_faults.end(), stepsBack.begin(), stepsBack.end());
    checkRetryBudget();
    checkProcesses();
}

/** Guards against a daemon that crashes while the others make up for it. */
void ScenarioRunner::checkProcesses()
{
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        bench::ChildProcess *daemon = m_cluster->daemon(i);
        // The scenario itself uses SIGKILL only.
        if (daemon != nullptr && daemon->waitForExit(milliseconds(0)) && WIFSIGNALED(daemon->status()) && WTERMSIG(daemon->status()) != SIGKILL) {
            m_faults.push_back("daemon " + std::to_string(i) + " ended by signal " + std::to_string(WTERMSIG(daemon->status())));
        }
    }
}

void ScenarioRunner::checkRetryBudget()
{
    double share = DefaultBudgetShare;
    for (const bench::ServiceSpec &spec : m_plan.spec.services) {
        share = std::max(share, YAML::Load(spec.config)["retries"]["budget-share"].as<double>(DefaultBudgetShare));
    }
    using Budget = RetryBudget<SteadyClock>;
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - m_startedAt).count();
    for (const std::size_t daemon : liveDaemons()) {
        auto values = m_cluster->metrics(daemon);
        const double calls
            = values["carobjunction_calls_ran_total"] + values["carobjunction_calls_not_run_total"] + values["carobjunction_calls_unknown_total"];
        const double extra = values["carobjunction_retries_total"] + values["carobjunction_hedges_total"];
        const double allowed = share * calls + (Budget::ReservePerSecond * seconds + Budget::Burst) * static_cast<double>(m_plan.spec.services.size());
        if (extra > allowed) {
            m_faults.push_back("daemon " + std::to_string(daemon) + " made " + std::to_string(extra) + " retries and hedges, " + std::to_string(allowed)
                               + " are allowed");
        }
    }
}

/** For cases that have no condition to wait for, such as an answer that must stay lost for a while. No check depends on its length. */
void ScenarioRunner::pause(const YAML::Node &node)
{
    std::this_thread::sleep_for(milliseconds(node.as<int>()));
}

void ScenarioRunner::wait(const YAML::Node &node)
{
    milliseconds limit = WaitLimit;
    if (node["limit-ms"]) {
        limit = milliseconds(node["limit-ms"].as<int>());
    }
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        if (name != "limit-ms") {
            YAML::Node single;
            single[name] = entry.second;
            waitFor(condition(single), limit, YAML::Dump(single));
        }
    }
}

void ScenarioRunner::waitFor(const Condition &condition, milliseconds limit, const std::string &what) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            throw ScenarioFault("waited in vain for " + what);
        }
        std::this_thread::sleep_for(WaitInterval);
    }
}

std::vector<std::size_t> ScenarioRunner::liveDaemons() const
{
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        if (m_cluster->daemon(i) != nullptr && !m_cluster->daemon(i)->waitForExit(milliseconds(0))) {
            live.push_back(i);
        }
    }
    return live;
}

bench::ChildProcess &ScenarioRunner::processOf(const YAML::Node &node) const
{
    requireKnownKeys(node, { "daemon", "backend" });
    bench::ChildProcess *process = node["daemon"] ? m_cluster->daemon(node["daemon"].as<std::size_t>()) : m_cluster->backend(node["backend"].as<std::size_t>());
    if (process == nullptr) {
        throw ScenarioFault("no such process");
    }
    return *process;
}

const bench::ServiceSpec &ScenarioRunner::service(const std::string &name) const
{
    for (const bench::ServiceSpec &spec : m_plan.spec.services) {
        if (spec.name == name) {
            return spec;
        }
    }
    throw ScenarioFault("no service " + name);
}

} // namespace carobjunction::scenarios
