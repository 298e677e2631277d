#include "experimentrunner.h"

#include "arrivalschedule.h"
#include "cluster.h"
#include "faultinjector.h"
#include "faultschedule.h"
#include "loadgenerator.h"

#include <carobjunction/process/lasterror.h>

#include "version/valuetext.h"

#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

namespace carobjunction::bench
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(2);
constexpr auto MaxOverrun = std::chrono::seconds(10);

std::size_t targetCount(const ClusterSpec &spec)
{
    std::size_t count = 0;
    for (const ServiceSpec &service : spec.services) {
        count += service.targets;
    }
    return count;
}

Duration parseRegionDelay(const ClusterSpec &spec)
{
    const YAML::Node settings = YAML::Load(spec.daemonSettings);
    const YAML::Node delay = settings.IsMap() ? settings["region-delay"] : YAML::Node();
    return delay ? ValueText::parseDuration(delay.as<std::string>()).value_or(Duration::zero()) : Duration::zero();
}

/** Randomly selects the daemons and backend servers that calls are sent to. */
class EntrySelector
{
public:
    explicit EntrySelector(const ClusterSpec &spec)
    {
        for (const ServiceSpec &service : spec.services) {
            m_serviceByTarget.insert(m_serviceByTarget.end(), service.targets, service.name);
        }
    }

    std::size_t select(const std::string &service, CallPath path, std::mt19937_64 &rng) const
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_serviceByTarget.size(); ++i) {
            const bool servesCalledService = m_serviceByTarget[i] == service;
            if (path == CallPath::Routed || servesCalledService != (path == CallPath::TwoHops)) {
                candidates.push_back(i);
            }
        }
        return candidates.empty() ? 0 : candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(rng)];
    }

private:
    std::vector<std::string> m_serviceByTarget;
};

/** @return share of the calls that were answered by a target outside the region of their entry; calls of the oracle use their planned entry */
double crossRegionShare(const std::vector<Sample> &samples, const Endpoints &endpoints, Duration warmUp)
{
    double count = 0;
    double crossRegionCount = 0;
    for (const Sample &sample : samples) {
        if (sample.plan.at >= warmUp && sample.target >= 0) {
            ++count;
            crossRegionCount += endpoints.regions[sample.plan.entry] == endpoints.regions[static_cast<std::size_t>(sample.target)] ? 0 : 1;
        }
    }
    return count > 0 ? crossRegionCount / count : 0;
}

DaemonSnapshot takeSnapshot(const Cluster &cluster)
{
    DaemonSnapshot result;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        result.metrics.push_back(cluster.metrics(i));
    }
    result.at = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        result.usage.push_back(cluster.usage(i));
    }
    return result;
}

} // namespace

ExperimentRunner::ExperimentRunner(const Experiment &experiment, std::string buildDirectory, std::string directory, std::function<bool()> isStopRequested)
    : m_experiment(experiment), m_buildDirectory(std::move(buildDirectory)), m_directory(std::move(directory)), m_isStopRequested(std::move(isStopRequested))
{
}

std::optional<ExperimentRunResult> ExperimentRunner::run(const ExperimentRun &experimentRun)
{
    const ClusterSpec spec = makeClusterSpec(experimentRun);
    // The seed doesn't depend on the variant, so that all variants of a round get the same calls and faults.
    const uint64_t seed = m_experiment.seed * 1000003 + experimentRun.round * 101;
    const Duration end = m_experiment.warmUp + m_experiment.length;
    std::vector<FaultAction> actions = faultSchedule(experimentRun.scenario->faults, targetCount(spec), m_experiment.length, seed);
    for (FaultAction &action : actions) {
        action.at += m_experiment.warmUp;
    }
    const auto cluster = Cluster::start(spec, makeClusterOptions(experimentRun, actions));
    if (!cluster) {
        return std::nullopt;
    }
    TargetOracle oracle(cluster->targetDescriptions());
    LoadGenerator generator(m_experiment, cluster->endpoints(), oracle, parseRegionDelay(spec), std::to_string(::getpid()) + "-" + std::to_string(m_runCount));
    generator.start(experimentRun.scenario->idle ? std::vector<PlannedCall>() : planCalls(experimentRun, spec, seed + 1));
    FaultInjector injector(*cluster, oracle, actions, generator.startedAt());
    DaemonSnapshot before;
    const TimePoint runDeadline = generator.startedAt() + end + (m_experiment.resends + 1) * m_experiment.deadline + MaxOverrun;
    const auto isRunOver = [&] {
        return m_isStopRequested() || std::chrono::steady_clock::now() >= runDeadline;
    };
    while (!isRunOver() && (!generator.hasFinished() || std::chrono::steady_clock::now() < generator.startedAt() + end)) {
        injector.runDue(isRunOver);
        if (before.usage.empty() && std::chrono::steady_clock::now() >= generator.startedAt() + m_experiment.warmUp) {
            before = takeSnapshot(*cluster);
        }
        std::this_thread::sleep_for(PollInterval);
    }
    generator.stop();
    if (m_isStopRequested()) {
        return LastError<ClusterError>::fail({ "stopped" });
    }
    const DaemonSnapshot after = takeSnapshot(*cluster);
    const std::vector<Sample> samples = generator.waitForSamples();
    const FigureCalculator calculator(m_experiment);
    Figures clusterFigures = calculator.outcomeFigures(samples, cluster->readRunLogs());
    if (!before.usage.empty()) {
        clusterFigures.merge(FigureCalculator::daemonFigures(before, after));
    }
    clusterFigures["failed-stops"] = static_cast<double>(injector.failedStops());
    clusterFigures["failed-actions"] = static_cast<double>(injector.failedActions());
    clusterFigures["replaced"] = static_cast<double>(injector.replacedNodes());
    ExperimentRunResult result;
    for (const std::size_t variant : experimentRun.variants) {
        std::vector<Sample> &variantSamples = result.samples[variant];
        std::copy_if(
            samples.begin(), samples.end(), std::back_inserter(variantSamples), [variant](const Sample &sample) { return sample.plan.variant == variant; });
        result.figures[variant] = calculator.callFigures(variantSamples);
        result.figures[variant].merge(Figures(clusterFigures));
        result.figures[variant]["cross-region-share"] = crossRegionShare(variantSamples, cluster->endpoints(), m_experiment.warmUp);
    }
    return result;
}

ClusterSpec ExperimentRunner::makeClusterSpec(const ExperimentRun &experimentRun) const
{
    ClusterSpec spec = m_experiment.cluster;
    const std::size_t targets = m_experiment.variants[experimentRun.variants.front()].targets;
    for (ServiceSpec &service : spec.services) {
        service.targets = targets > 0 ? targets : service.targets;
    }
    return spec;
}

ClusterOptions ExperimentRunner::makeClusterOptions(const ExperimentRun &experimentRun, const std::vector<FaultAction> &actions)
{
    const Variant &first = m_experiment.variants[experimentRun.variants.front()];
    ClusterOptions options;
    options.buildDirectory = m_buildDirectory;
    options.directory = m_directory + "/run-" + std::to_string(++m_runCount);
    std::filesystem::create_directories(options.directory);
    options.policy = first.policy == "oracle" ? "local-only" : first.policy;
    options.config = first.config;
    options.startsDaemons = false;
    for (const std::size_t variant : experimentRun.variants) {
        const CallPath path = m_experiment.variants[variant].path;
        options.startsDaemons = options.startsDaemons || (path != CallPath::Direct && path != CallPath::Bare);
        options.startsBarePaths = options.startsBarePaths || path == CallPath::Bare;
    }
    for (const FaultAction &action : actions) {
        if (action.kind == FaultKind::ColdStart) {
            options.absentTargets.insert(action.target);
        }
    }
    return options;
}

std::vector<PlannedCall> ExperimentRunner::planCalls(const ExperimentRun &experimentRun, const ClusterSpec &spec, uint64_t seed) const
{
    const std::vector<Duration> times = arrivalSchedule(callsPerSecond(*experimentRun.load, spec), m_experiment.warmUp + m_experiment.length, seed);
    std::vector<double> shares;
    for (const CallKind &kind : m_experiment.calls) {
        shares.push_back(kind.share);
    }
    std::mt19937_64 rng(seed + 1);
    std::discrete_distribution<std::size_t> kinds(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> variants(0, experimentRun.variants.size() - 1);
    const EntrySelector entrySelector(spec);
    std::vector<PlannedCall> plan;
    plan.reserve(times.size());
    for (const Duration at : times) {
        PlannedCall call { at, kinds(rng), experimentRun.variants[variants(rng)], 0 };
        call.entry = entrySelector.select(m_experiment.calls[call.kind].service, m_experiment.variants[call.variant].path, rng);
        plan.push_back(call);
    }
    return plan;
}

/**
 * Computes the total call rate of a load. A capacity share refers to the highest rate at which no service exceeds its capacity, given the proportions of
 * the calls.
 */
double ExperimentRunner::callsPerSecond(const LoadLevel &load, const ClusterSpec &spec) const
{
    if (load.perTarget > 0) {
        return load.perTarget * static_cast<double>(targetCount(spec));
    }
    if (load.capacityShare <= 0) {
        return load.callsPerSecond;
    }
    double total = 0;
    std::map<std::string, double> shares;
    for (const CallKind &kind : m_experiment.calls) {
        total += kind.share;
        shares[kind.service] += kind.share;
    }
    double maxCallsPerSecond = 0;
    for (const ServiceSpec &service : spec.services) {
        const double capacity = static_cast<double>(service.targets) * service.slots / (service.serviceTimeMs / 1000);
        const double share = shares[service.name] / total;
        if (share > 0 && (maxCallsPerSecond == 0 || capacity / share < maxCallsPerSecond)) {
            maxCallsPerSecond = capacity / share;
        }
    }
    return load.capacityShare * maxCallsPerSecond;
}

} // namespace carobjunction::bench
