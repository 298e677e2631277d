#include "scenariorunner.h"

#include "range.h"
#include "scenarioerror.h"

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

// Timeout for events that must happen. It is long, so that a busy machine does not fail a scenario.
constexpr auto WaitTimeout = milliseconds(20000);
constexpr auto WaitInterval = milliseconds(10);
constexpr auto SettleTime = milliseconds(150);
constexpr double DefaultBudgetShare = 0.1;

} // namespace

ScenarioRunner::ScenarioRunner(const YAML::Node &scenario, std::string buildDirectory, std::string directory)
    : m_scenario(scenario), m_buildDirectory(std::move(buildDirectory)), m_directory(std::move(directory))
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
        waitUntilIdle();
        for (const auto &node : m_scenario["checks"]) {
            ++step;
            runStep(node);
        }
    } catch (const ScenarioError &error) {
        m_failures.push_back("step " + std::to_string(step) + ": " + error.what());
    } catch (const YAML::Exception &error) {
        m_failures.push_back("step " + std::to_string(step) + ": " + error.what());
    }
    if (m_cluster) {
        try {
            waitUntilIdle();
            checkInvariants();
        } catch (const ScenarioError &error) {
            m_failures.push_back(std::string("final checks: ") + error.what());
        }
    }
    return m_failures;
}

void ScenarioRunner::startCluster()
{
    m_plan = ClusterPlan::parse(m_scenario["cluster"]);
    bench::ClusterOptions options;
    options.buildDirectory = m_buildDirectory;
    options.directory = m_directory;
    options.absentTargets = m_plan.absentTargets;
    options.settings = m_plan.settingsByDaemon;
    options.publish = false;
    m_cluster = bench::Cluster::start(m_plan.spec, options);
    if (!m_cluster) {
        throw ScenarioError("cluster failed to start: " + LastError<bench::ClusterError>::get().message);
    }
    m_startedAt = std::chrono::steady_clock::now();
    m_callSender = std::make_unique<CallSender>(m_cluster->endpoints().daemons);
    m_runLogs = std::make_unique<RunLogReader>(m_directory, m_cluster->size());
    std::vector<std::string> operators;
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        operators.push_back(m_cluster->operatorAddress(i));
    }
    m_versionMonitor = std::make_unique<VersionMonitor>(operators);
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        waitFor([this, i] { return m_cluster->isDaemonUp(i); }, WaitTimeout, "the operator port of daemon " + std::to_string(i));
    }
    if (!m_plan.isPublishedAtStart) {
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
        waitFor([this, i] { return isReady(i); }, WaitTimeout, "daemon " + std::to_string(i) + " to have all configurations in force and all targets up");
    }
}

/** @return whether the daemon has every configuration in force and reports every started target as up */
bool ScenarioRunner::isReady(std::size_t daemon) const
{
    if (VersionMonitor::readVersions(m_cluster->operatorAddress(daemon)).size() < m_plan.spec.services.size()) {
        return false;
    }
    YAML::Node node;
    node["via"] = daemon;
    node["state"] = "up";
    node["count"] = std::to_string(m_cluster->size() - m_plan.absentTargets.size());
    return makeTargetCondition(node)();
}

void ScenarioRunner::runStep(const YAML::Node &step)
{
    using Handler = void (ScenarioRunner::*)(const YAML::Node &);
    static const std::map<std::string, Handler> handlers {
        { "call", &ScenarioRunner::call },
        { "load", &ScenarioRunner::load },
        { "await", &ScenarioRunner::await },
        { "backend", &ScenarioRunner::controlBackend },
        { "store", &ScenarioRunner::controlStore },
        { "kill", &ScenarioRunner::killProcess },
        { "start", &ScenarioRunner::startProcess },
        { "terminate", &ScenarioRunner::terminate },
        { "stop", &ScenarioRunner::pauseProcess },
        { "continue", &ScenarioRunner::resumeProcess },
        { "leave", &ScenarioRunner::announceLeave },
        { "publish", &ScenarioRunner::publish },
        { "wait", &ScenarioRunner::wait },
        { "runs", &ScenarioRunner::expectRunCount },
        { "share", &ScenarioRunner::expectTargetShare },
        { "metric", &ScenarioRunner::expectMetricSum },
        { "pause-ms", &ScenarioRunner::delay },
    };
    for (const auto &entry : step) {
        const auto name = entry.first.as<std::string>();
        const auto handler = handlers.find(name);
        if (handler == handlers.end()) {
            throw ScenarioError("unknown step " + name);
        }
        try {
            (this->*handler->second)(entry.second);
        } catch (const ScenarioError &error) {
            throw ScenarioError(name + " (line " + std::to_string(entry.first.Mark().line + 1) + "): " + error.what());
        }
    }
}

/** Resumes paused processes and waits until no call and no request is in progress. */
void ScenarioRunner::waitUntilIdle()
{
    for (const bench::ChildProcess *process : std::exchange(m_pausedProcesses, {})) {
        ::kill(process->pid(), SIGCONT);
    }
    for (auto &[name, load] : m_backgroundLoads) {
        load->join();
    }
    for (auto &[name, call] : m_backgroundCalls) {
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
        waitFor([&] { return isIdle(target); }, WaitTimeout, "backend server " + std::to_string(target) + " to finish its requests");
    }
    // A request in transit to a backend server would be missing from the run logs.
    std::this_thread::sleep_for(SettleTime);
}

void ScenarioRunner::checkInvariants()
{
    const std::vector<CallRecord> calls = m_callSender->records();
    const std::vector<RunRecord> runs = m_runLogs->read();
    const std::vector<std::string> violations = InvariantChecker(calls, runs, m_leaveRecords).check();
    m_failures.insert(m_failures.end(), violations.begin(), violations.end());
    const std::vector<std::string> reversions = m_versionMonitor->stop();
    m_failures.insert(m_failures.end(), reversions.begin(), reversions.end());
    checkRetryBudget();
    checkDaemonExits();
}

/** Detects daemon crashes that callers do not notice because other daemons serve the calls. */
void ScenarioRunner::checkDaemonExits()
{
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        bench::ChildProcess *daemon = m_cluster->daemon(i);
        // Scenarios kill processes only by SIGKILL, so any other signal is a crash.
        if (daemon != nullptr && daemon->waitForExit(milliseconds(0)) && WIFSIGNALED(daemon->status()) && WTERMSIG(daemon->status()) != SIGKILL) {
            m_failures.push_back("daemon " + std::to_string(i) + " was terminated by signal " + std::to_string(WTERMSIG(daemon->status())));
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
    for (const std::size_t daemon : runningDaemons()) {
        auto values = m_cluster->metrics(daemon);
        const double calls
            = values["carobjunction_calls_ran_total"] + values["carobjunction_calls_not_run_total"] + values["carobjunction_calls_unknown_total"];
        const double additionalAttempts = values["carobjunction_retries_total"] + values["carobjunction_hedges_total"];
        const double allowed = share * calls + (Budget::ReservePerSecond * seconds + Budget::Burst) * static_cast<double>(m_plan.spec.services.size());
        if (additionalAttempts > allowed) {
            m_failures.push_back("daemon " + std::to_string(daemon) + " sent " + std::to_string(additionalAttempts)
                                 + " retries and hedges; the retry budget allows " + std::to_string(allowed) + " at most");
        }
    }
}

/** Sleeps in cases without an observable condition, such as keeping store answers lost for a while. No check depends on the exact duration. */
void ScenarioRunner::delay(const YAML::Node &node)
{
    std::this_thread::sleep_for(milliseconds(node.as<int>()));
}

void ScenarioRunner::wait(const YAML::Node &node)
{
    milliseconds timeout = WaitTimeout;
    if (node["limit-ms"]) {
        timeout = milliseconds(node["limit-ms"].as<int>());
    }
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        if (name != "limit-ms") {
            YAML::Node single;
            single[name] = entry.second;
            waitFor(makeCondition(single), timeout, YAML::Dump(single));
        }
    }
}

void ScenarioRunner::waitFor(const Condition &condition, milliseconds timeout, const std::string &description) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            throw ScenarioError("timed out waiting for " + description);
        }
        std::this_thread::sleep_for(WaitInterval);
    }
}

std::vector<std::size_t> ScenarioRunner::runningDaemons() const
{
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < m_cluster->size(); ++i) {
        if (m_cluster->daemon(i) != nullptr && !m_cluster->daemon(i)->waitForExit(milliseconds(0))) {
            running.push_back(i);
        }
    }
    return running;
}

bench::ChildProcess &ScenarioRunner::findProcess(const YAML::Node &node) const
{
    requireKnownKeys(node, { "daemon", "backend" });
    bench::ChildProcess *process = node["daemon"] ? m_cluster->daemon(node["daemon"].as<std::size_t>()) : m_cluster->backend(node["backend"].as<std::size_t>());
    if (process == nullptr) {
        throw ScenarioError("the daemon or backend server of this step has not been started");
    }
    return *process;
}

const bench::ServiceSpec &ScenarioRunner::findService(const std::string &name) const
{
    for (const bench::ServiceSpec &spec : m_plan.spec.services) {
        if (spec.name == name) {
            return spec;
        }
    }
    throw ScenarioError("cluster has no service " + name);
}

} // namespace carobjunction::scenarios
