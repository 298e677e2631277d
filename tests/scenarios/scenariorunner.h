#pragma once

#include "backgroundload.h"
#include "callsender.h"
#include "cluster.h"
#include "clusterplan.h"
#include "invariantchecker.h"
#include "runlogreader.h"
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

/** Runs a scenario on a cluster of real processes on the loopback interface. */
class ScenarioRunner
{
public:
    /**
     * @param scenario  content of the scenario file
     * @param buildDirectory  root of the build tree
     * @param directory  existing empty directory for the log files and settings of the cluster
     */
    ScenarioRunner(const YAML::Node &scenario, std::string buildDirectory, std::string directory);
    ~ScenarioRunner();

    /** @return descriptions of the failures; empty if the scenario passed */
    std::vector<std::string> run();

private:
    using Condition = std::function<bool()>;

    void startCluster();
    void waitUntilReady();
    bool isReady(std::size_t daemon) const;
    void runStep(const YAML::Node &step);
    void waitUntilIdle();
    void checkInvariants();
    void checkRetryBudget();
    void checkDaemonExits();

    // Steps that send calls
    void call(const YAML::Node &node);
    void load(const YAML::Node &node);
    void await(const YAML::Node &node);
    CallSpec parseCall(const YAML::Node &node) const;
    std::vector<std::size_t> parseEntryDaemons(const YAML::Node &node) const;
    void expectCall(const YAML::Node &expected, const CallRecord &record) const;
    void expectGroupOutcomes(const YAML::Node &expected, const std::string &group) const;

    // Steps that inject faults and control processes
    void controlBackend(const YAML::Node &node);
    void controlStore(const YAML::Node &node);
    void pauseProcess(const YAML::Node &node);
    void resumeProcess(const YAML::Node &node);
    void killProcess(const YAML::Node &node);
    void startProcess(const YAML::Node &node);
    void terminate(const YAML::Node &node);
    void announceLeave(const YAML::Node &node);
    void publish(const YAML::Node &node);
    std::string publishConfiguration(const YAML::Node &node);

    // Steps that wait or check
    void wait(const YAML::Node &node);
    void delay(const YAML::Node &node);
    void waitFor(const Condition &condition, std::chrono::milliseconds timeout, const std::string &description) const;
    Condition makeCondition(const YAML::Node &node);
    Condition makeRunCondition(const YAML::Node &node) const;
    Condition makeTargetCondition(const YAML::Node &node) const;
    void expectRunCount(const YAML::Node &node);
    void expectTargetShare(const YAML::Node &node);
    void expectMetricSum(const YAML::Node &node);
    std::size_t countRuns(const YAML::Node &node) const;
    uint64_t sumMetric(const YAML::Node &node) const;
    std::size_t countLogLines(std::size_t daemon, const std::string &text) const;
    std::vector<std::size_t> runningDaemons() const;
    bench::ChildProcess &findProcess(const YAML::Node &node) const;
    const bench::ServiceSpec &findService(const std::string &name) const;

    const YAML::Node m_scenario;
    const std::string m_buildDirectory;
    const std::string m_directory;
    ClusterPlan m_plan;
    std::unique_ptr<bench::Cluster> m_cluster;
    std::unique_ptr<CallSender> m_callSender;
    std::unique_ptr<RunLogReader> m_runLogs;
    std::unique_ptr<VersionMonitor> m_versionMonitor;
    std::map<std::string, std::unique_ptr<BackgroundLoad>> m_backgroundLoads;
    std::map<std::string, std::future<CallRecord>> m_backgroundCalls;
    std::vector<LeaveRecord> m_leaveRecords;
    std::set<bench::ChildProcess *> m_pausedProcesses; /**< Processes stopped by SIGSTOP. */
    std::chrono::steady_clock::time_point m_startedAt;
    std::vector<std::string> m_failures;
};

} // namespace carobjunction::scenarios
