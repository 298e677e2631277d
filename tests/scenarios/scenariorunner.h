#pragma once

#include "backgroundload.h"
#include "callsender.h"
#include "cluster.h"
#include "clusterplan.h"
#include "invariants.h"
#include "runlogs.h"
#include "versionmonitor.h"

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstddef>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction::scenarios
{

/** Runs one scenario with real processes on loopback. */
class ScenarioRunner
{
public:
    /**
     * @param scenario  content of the scenario file
     * @param binaries  root of the build tree
     * @param directory  existing empty directory for files of this run
     */
    ScenarioRunner(const YAML::Node &scenario, std::string binaries, std::string directory);
    ~ScenarioRunner();

    /** @return what went wrong; empty if the scenario passed */
    std::vector<std::string> run();

private:
    using Condition = std::function<bool()>;

    void startCluster();
    void waitUntilReady();
    bool isReady(std::size_t daemon) const;
    void runStep(const YAML::Node &step);
    void comeToRest();
    void checkInvariants();
    void checkRetryBudget();
    void checkProcesses();

    // Calls
    void call(const YAML::Node &node);
    void load(const YAML::Node &node);
    void await(const YAML::Node &node);
    CallSpec parseCall(const YAML::Node &node) const;
    std::vector<std::size_t> parseVias(const YAML::Node &node) const;
    void expectCall(const YAML::Node &expected, const CallRecord &record) const;
    void expectGroup(const YAML::Node &expected, const std::string &group) const;

    // Disturbances
    void controlBackend(const YAML::Node &node);
    void controlStore(const YAML::Node &node);
    void stopProcess(const YAML::Node &node);
    void continueProcess(const YAML::Node &node);
    void killProcess(const YAML::Node &node);
    void startProcess(const YAML::Node &node);
    void terminate(const YAML::Node &node);
    void leave(const YAML::Node &node);
    void publish(const YAML::Node &node);
    std::string publishOne(const YAML::Node &node);

    // Waits and checks
    void wait(const YAML::Node &node);
    void pause(const YAML::Node &node);
    void waitFor(const Condition &condition, std::chrono::milliseconds limit, const std::string &what) const;
    Condition condition(const YAML::Node &node);
    Condition runCondition(const YAML::Node &node) const;
    Condition targetCondition(const YAML::Node &node) const;
    void expectRuns(const YAML::Node &node);
    void expectShare(const YAML::Node &node);
    void expectMetric(const YAML::Node &node);
    std::size_t countRuns(const YAML::Node &node) const;
    uint64_t sumMetric(const YAML::Node &node) const;
    std::size_t countLogLines(std::size_t daemon, const std::string &text) const;
    std::vector<std::size_t> liveDaemons() const;
    bench::ChildProcess &processOf(const YAML::Node &node) const;
    const bench::ServiceSpec &service(const std::string &name) const;

    const YAML::Node m_scenario;
    const std::string m_binaries;
    const std::string m_directory;
    ClusterPlan m_plan;
    std::unique_ptr<bench::Cluster> m_cluster;
    std::unique_ptr<CallSender> m_sender;
    std::unique_ptr<RunLogs> m_runLogs;
    std::unique_ptr<VersionMonitor> m_versions;
    std::map<std::string, std::unique_ptr<BackgroundLoad>> m_loads;
    std::map<std::string, std::future<CallRecord>> m_calls;
    std::vector<LeaveRecord> m_leaves;
    std::set<bench::ChildProcess *> m_paused; /**< Stopped by SIGSTOP. */
    std::chrono::steady_clock::time_point m_startedAt;
    std::vector<std::string> m_faults;
};

} // namespace carobjunction::scenarios
