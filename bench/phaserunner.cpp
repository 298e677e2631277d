#include "phaserunner.h"

#include "arrivalschedule.h"
#include "cluster.h"
#include "faultinjector.h"
#include "faultschedule.h"
#include "loadgenerator.h"

#include <carobjunction/process/lastreason.h>

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
constexpr auto EndMargin = std::chrono::seconds(10);

std::size_t targetCount(const ClusterSpec &spec)
{
    std::size_t count = 0;
    for (const ServiceSpec &service : spec.services) {
        count += service.targets;
    }
    return count;
}

Duration regionDelayOf(const ClusterSpec &spec)
{
    const YAML::Node settings = YAML::Load(spec.daemonSettings);
    const YAML::Node delay = settings.IsMap() ? settings["region-delay"] : YAML::Node();
    return delay ? ValueText::parseDuration(delay.as<std::string>()).value_or(Duration::zero()) : Duration::zero();
}

/** Draws the daemons and backend servers that calls are sent to. */
class EntryPicker
{
public:
    explicit EntryPicker(const ClusterSpec &spec)
    {
        for (const ServiceSpec &service : spec.services) {
            m_serviceOf.insert(m_serviceOf.end(), service.targets, service.name);
        }
    }

    std::size_t pick(const std::string &service, CallPath path, std::mt19937_64 &rng) const
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < m_serviceOf.size(); ++i) {
            const bool isOwn = m_serviceOf[i] == service;
            if (path == CallPath::Routed || isOwn != (path == CallPath::Other)) {
                candidates.push_back(i);
            }
        }
        return candidates.empty() ? 0 : candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(rng)];
    }

private:
    std::vector<std::string> m_serviceOf;
};

/** @return share of the calls that another region's target answered; the oracle's calls count from the region of their planned entry */
double crossRegionShare(const std::vector<Sample> &samples, const Endpoints &endpoints, Duration warmUp)
{
    double count = 0;
    double crossed = 0;
    for (const Sample &sample : samples) {
        if (sample.plan.at >= warmUp && sample.target >= 0) {
            ++count;
            crossed += endpoints.regions[sample.plan.entry] == endpoints.regions[static_cast<std::size_t>(sample.target)] ? 0 : 1;
        }
    }
    return count > 0 ? crossed / count : 0;
}

DaemonSnapshot snapshot(const Cluster &cluster)
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

PhaseRunner::PhaseRunner(const Experiment &experiment, std::string binaries, std::string directory, std::function<bool()> isStopped)
    : m_experiment(experiment), m_binaries(std::move(binaries)), m_directory(std::move(directory)), m_isStopped(std::move(isStopped))
{
}

std::optional<PhaseResult> PhaseRunner::run(const Phase &phase)
{
    const ClusterSpec spec = specOf(phase);
    // The seed doesn't depend on the variant: all variants of a round meet the same calls and the same faults.
    const uint64_t seed = m_experiment.seed * 1000003 + phase.round * 101;
    const Duration end = m_experiment.warmUp + m_experiment.length;
    std::vector<FaultAction> actions = faultSchedule(phase.scenario->faults, targetCount(spec), m_experiment.length, seed);
    for (FaultAction &action : actions) {
        action.at += m_experiment.warmUp;
    }
    const auto cluster = Cluster::start(spec, optionsOf(phase, actions));
    if (!cluster) {
        return std::nullopt;
    }
    TargetView view(cluster->places());
    LoadGenerator generator(m_experiment, cluster->endpoints(), view, regionDelayOf(spec), std::to_string(::getpid()) + "-" + std::to_string(m_runs));
    generator.start(phase.scenario->idle ? std::vector<PlannedCall>() : planCalls(phase, spec, seed + 1));
    FaultInjector injector(*cluster, view, actions, generator.startedAt());
    DaemonSnapshot from;
    const TimePoint limit = generator.startedAt() + end + (m_experiment.resends + 1) * m_experiment.deadline + EndMargin;
    const auto isOver = [&] {
        return m_isStopped() || std::chrono::steady_clock::now() >= limit;
    };
    while (!isOver() && (!generator.isDone() || std::chrono::steady_clock::now() < generator.startedAt() + end)) {
        injector.runDue(isOver);
        if (from.usage.empty() && std::chrono::steady_clock::now() >= generator.startedAt() + m_experiment.warmUp) {
            from = snapshot(*cluster);
        }
        std::this_thread::sleep_for(PollInterval);
    }
    generator.stop();
    if (m_isStopped()) {
        return LastReason<ClusterFault>::fail({ "stopped" });
    }
    const DaemonSnapshot to = snapshot(*cluster);
    const std::vector<Sample> samples = generator.finish();
    const FigureCalculator calculator(m_experiment);
    Figures shared = calculator.ofRuns(samples, cluster->runs());
    if (!from.usage.empty()) {
        shared.merge(FigureCalculator::ofDaemons(from, to));
    }
    shared["failed-stops"] = static_cast<double>(injector.failedStops());
    shared["failed-actions"] = static_cast<double>(injector.failedActions());
    shared["replaced"] = static_cast<double>(injector.replaced());
    PhaseResult result;
    for (const std::size_t variant : phase.variants) {
        std::vector<Sample> &own = result.samples[variant];
        std::copy_if(samples.begin(), samples.end(), std::back_inserter(own), [variant](const Sample &sample) { return sample.plan.variant == variant; });
        result.figures[variant] = calculator.ofSamples(own);
        result.figures[variant].merge(Figures(shared));
        result.figures[variant]["cross-region-share"] = crossRegionShare(own, cluster->endpoints(), m_experiment.warmUp);
    }
    return result;
}

ClusterSpec PhaseRunner::specOf(const Phase &phase) const
{
    ClusterSpec spec = m_experiment.cluster;
    const std::size_t targets = m_experiment.variants[phase.variants.front()].targets;
    for (ServiceSpec &service : spec.services) {
        service.targets = targets > 0 ? targets : service.targets;
    }
    return spec;
}

ClusterOptions PhaseRunner::optionsOf(const Phase &phase, const std::vector<FaultAction> &actions)
{
    const Variant &first = m_experiment.variants[phase.variants.front()];
    ClusterOptions options;
    options.binaries = m_binaries;
    options.directory = m_directory + "/run-" + std::to_string(++m_runs);
    std::filesystem::create_directories(options.directory);
    options.policy = first.policy == "oracle" ? "local-only" : first.policy;
    options.config = first.config;
    options.daemons = false;
    for (const std::size_t variant : phase.variants) {
        const CallPath path = m_experiment.variants[variant].path;
        options.daemons = options.daemons || (path != CallPath::Direct && path != CallPath::Bare);
        options.bare = options.bare || path == CallPath::Bare;
    }
    for (const FaultAction &action : actions) {
        if (action.kind == FaultKind::ColdStart) {
            options.absent.insert(action.target);
        }
    }
    return options;
}

std::vector<PlannedCall> PhaseRunner::planCalls(const Phase &phase, const ClusterSpec &spec, uint64_t seed) const
{
    const std::vector<Duration> times = arrivalSchedule(callsPerSecond(*phase.load, spec), m_experiment.warmUp + m_experiment.length, seed);
    std::vector<double> shares;
    for (const CallKind &kind : m_experiment.calls) {
        shares.push_back(kind.share);
    }
    std::mt19937_64 rng(seed + 1);
    std::discrete_distribution<std::size_t> kinds(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> variants(0, phase.variants.size() - 1);
    const EntryPicker picker(spec);
    std::vector<PlannedCall> plan;
    plan.reserve(times.size());
    for (const Duration at : times) {
        PlannedCall call { at, kinds(rng), phase.variants[variants(rng)], 0 };
        call.entry = picker.pick(m_experiment.calls[call.kind].service, m_experiment.variants[call.variant].path, rng);
        plan.push_back(call);
    }
    return plan;
}

/** A share of the capacity refers to the services in proportion to the calls they get: the service that fills up first sets the limit. */
double PhaseRunner::callsPerSecond(const LoadLevel &load, const ClusterSpec &spec) const
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
    double limit = 0;
    for (const ServiceSpec &service : spec.services) {
        const double capacity = static_cast<double>(service.targets) * service.slots / (service.serviceTimeMs / 1000);
        const double share = shares[service.name] / total;
        if (share > 0 && (limit == 0 || capacity / share < limit)) {
            limit = capacity / share;
        }
    }
    return load.capacityShare * limit;
}

} // namespace carobjunction::bench
