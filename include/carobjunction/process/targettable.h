#pragma once

#include <carobjunction/process/attemptreport.h>
#include <carobjunction/process/clock.h>
#include <carobjunction/process/lasterror.h>
#include <carobjunction/process/routechoice.h>
#include <carobjunction/process/routingpolicy.h>
#include <carobjunction/process/targethealth.h>
#include <carobjunction/process/targetinfo.h>
#include <carobjunction/process/targetload.h>
#include <carobjunction/version/serviceconfig.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace carobjunction
{

/** State of one target, as shown to operators. */
struct TargetSnapshot {
    TargetInfo target;
    bool own = false;
    TargetPhase phase = TargetPhase::Normal;
    uint32_t localInFlight = 0;
    std::optional<LoadReport> load;
    std::optional<Duration> reportAge;
    std::optional<Duration> latency; /**< Smoothed latency, without the latency of the link between regions. */
    double failureShare = 0; /**< Smoothed share of failed and refused calls, 0 to 1. */
    double weight = 1; /**< Share of calls relative to a target in the normal phase; 0 while ejected or on trial. */
    std::optional<Duration> timeToTrial; /**< Time until the next trial; empty if the target is not ejected. */
};

/** Ejection or return of a target, for the event log. */
struct TargetChange {
    std::string service;
    std::string daemon;
    bool ejected = false; /**< Whether the target was ejected; otherwise it receives calls again. */
    std::string cause; /**< Cause of the change, such as "slow" or "trial". */
};

namespace detail
{

/** State of one incarnation of a target. */
struct TargetState {
    TargetState(TargetInfo targetInfo, TimePoint now) : info(std::move(targetInfo)), health(now)
    {
    }

    TargetInfo info;
    TargetLoad load;
    TargetHealth health;
};

/** Classification of a finished attempt with regard to the health of its target. */
enum class AttemptClass {
    Success, /**< The target ran the request without a server error. */
    Failure, /**< The target failed or did not answer. */
    Unreachable, /**< No connection to the target or its daemon was possible. */
    Refusal, /**< The target's daemon refused the request for lack of capacity, or because the target's service or incarnation is another. */
    Neutral, /**< The attempt has no bearing on the target's health. */
};

/** @return the classification of a finished attempt */
AttemptClass classifyAttempt(const AttemptReport &report);

/** @return the lower median of @p values, zero if there are none */
template<typename Value>
Value lowerMedian(std::vector<Value> values)
{
    if (values.empty()) {
        return Value {};
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace detail

/**
 * Tracks load and health of the targets of all services as observed by one entry daemon, and chooses the target of each call. Thread-safe.
 * Performs no I/O and no logging; drainChanges() returns what the caller should log.
 */
template<MonotonicClock Clock>
class TargetTable
{
public:
    /**
     * @param clock  must outlive the table
     * @param ownDaemon  id of this daemon
     * @param ownRegion  region of this daemon
     * @param ownDataCentre  data centre of this daemon
     * @param seed  seed for random choices; must differ between daemons, so that they don't choose the same targets
     */
    TargetTable(const Clock &clock, std::string ownDaemon, std::string ownRegion, std::string ownDataCentre, uint64_t seed)
        : m_clock(clock), m_ownDaemon(std::move(ownDaemon)), m_ownRegion(std::move(ownRegion)), m_ownDataCentre(std::move(ownDataCentre)), m_rng(seed)
    {
    }

    /**
     * Replaces the targets of a service. Targets with an unchanged incarnation keep their state; a new incarnation starts without measurements
     * and with a cold start. A target that is leaving remains so until it returns with a new incarnation.
     */
    void setTargets(const std::string &service, std::vector<TargetInfo> targets);

    /**
     * Chooses a target and counts the call as in flight on it until finished() is called.
     * @param config  configuration of the service
     * @param excluded  ids of the daemons to which earlier attempts of the request were sent
     * @return the choice, or empty with the error in LastError<RouteError>
     */
    std::optional<RouteChoice> choose(const ServiceConfig &config, std::span<const std::string> excluded);

    /** Records the end of a call counted by choose(). Ignored if the incarnation of the target has changed since. */
    void finished(const std::string &service, const std::string &daemon, uint64_t incarnation, const AttemptReport &report);

    /**
     * Applies a load report from a probe or from gossip.
     * @param age  age of the report, zero if it was just created
     * @return false if the report was ignored, because the target is unknown, has another incarnation or has a newer report
     */
    bool observeLoad(const std::string &service, const std::string &daemon, const LoadReport &report, Duration age = Duration::zero());

    /** Marks a target as leaving, so that it receives no new calls. Ignored if the target has a newer incarnation. */
    void markLeaving(const std::string &service, const std::string &daemon, uint64_t incarnation);

    /** Ejects a target whose daemon does not answer, unless this would exceed the limit on ejected targets. */
    void reportUnreachable(const std::string &service, const std::string &daemon);

    /** @return the state of each target of the service, ordered by daemon id */
    std::vector<TargetSnapshot> snapshot(const std::string &service) const;

    /** @return targets of other daemons that are not leaving and whose last load report is older than @p maxAge, oldest report first */
    std::vector<TargetInfo> staleTargets(const std::string &service, Duration maxAge) const;

    /** Returns and clears the ejections and returns of targets since the last call, for the event log. */
    std::vector<TargetChange> drainChanges();

private:
    using State = detail::TargetState;

    struct Service {
        std::map<std::string, State> targets;
        RoutingRules rules;
        Duration coldRamp = TargetRules {}.coldRamp;
        AnyPolicy policy = makePolicy(RoutingRules {});
    };

    /** Medians of the measurements of all targets of a service. */
    struct Medians {
        Duration latency;
        double failureShare;
    };

    bool isOwn(const State &state) const
    {
        return state.info.daemon == m_ownDaemon;
    }

    bool isSameRegion(const State &state) const
    {
        return state.info.region == m_ownRegion;
    }

    static void applyRules(Service &service, const ServiceConfig &config);
    Candidate toCandidate(const State &state, TimePoint now, const Medians &typical, Duration ramp) const;
    static double typicalFailureShare(const Service &service, TimePoint now);
    Duration typicalLatency(const Service &service, TimePoint now, const State *except) const;
    static size_t ejectionLimit(const Service &service);
    void enforceEjectionLimit(const std::string &name, Service &service, TimePoint now);
    void tryEject(const std::string &name, Service &service, State &state, TimePoint now, std::string_view ejectionReason);
    void recordChange(std::string service, std::string daemon, bool ejected, std::string_view changeCause);
    State *find(const std::string &service, const std::string &daemon);
    double jitter();
    Duration latencyWithoutLink(const Service &service, const State &state, const AttemptReport &report) const;
    RouteChoice startCall(State &state, TimePoint now, std::string selectionReason);
    State *findDueTrial(Service &service, TimePoint now);
    std::optional<RouteChoice> chooseFrom(Service &service, const std::vector<State *> &eligible, TimePoint now);

    const Clock &m_clock;
    const std::string m_ownDaemon;
    const std::string m_ownRegion;
    const std::string m_ownDataCentre;
    mutable std::mutex m_mutex;
    Rng m_rng;
    std::map<std::string, Service> m_services;
    std::vector<TargetChange> m_pendingChanges;
};

template<MonotonicClock Clock>
void TargetTable<Clock>::setTargets(const std::string &service, std::vector<TargetInfo> targets)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    Service &entry = m_services[service];
    std::map<std::string, State> next;
    for (TargetInfo &info : targets) {
        const auto old = entry.targets.find(info.daemon);
        if (old != entry.targets.end() && old->second.info.incarnation == info.incarnation) {
            info.leaving = info.leaving || old->second.info.leaving;
            old->second.info = info;
            next.insert_or_assign(info.daemon, std::move(old->second));
        } else {
            const std::string daemon = info.daemon;
            next.insert_or_assign(daemon, State(std::move(info), now));
        }
    }
    entry.targets = std::move(next);
}

template<MonotonicClock Clock>
std::optional<RouteChoice> TargetTable<Clock>::choose(const ServiceConfig &config, std::span<const std::string> excluded)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto found = m_services.find(config.service);
    if (found == m_services.end() || found->second.targets.empty()) {
        return LastError<RouteError>::fail(RouteError::UnknownService);
    }
    Service &service = found->second;
    applyRules(service, config);
    enforceEjectionLimit(config.service, service, now);
    // Only first attempts are used as trials, because a request that was already refused should not be delayed further.
    if (State *trial = excluded.empty() ? findDueTrial(service, now) : nullptr) {
        recordChange(config.service, trial->info.daemon, false, "trial");
        return startCall(*trial, now, "trial");
    }
    std::vector<State *> eligible;
    bool isAnyAccepting = false;
    for (auto &[daemon, state] : service.targets) {
        const TargetPhase phase = state.health.phase(now, service.coldRamp);
        if (state.info.leaving || phase == TargetPhase::Ejected || phase == TargetPhase::Trial) {
            continue;
        }
        isAnyAccepting = true;
        if (std::find(excluded.begin(), excluded.end(), daemon) == excluded.end()) {
            eligible.push_back(&state);
        }
    }
    if (eligible.empty()) {
        return LastError<RouteError>::fail(isAnyAccepting ? RouteError::AllExcluded : RouteError::AllLeaving);
    }
    return chooseFrom(service, eligible, now);
}

template<MonotonicClock Clock>
std::optional<RouteChoice> TargetTable<Clock>::chooseFrom(Service &service, const std::vector<State *> &eligible, TimePoint now)
{
    const Medians typical { typicalLatency(service, now, nullptr), typicalFailureShare(service, now) };
    std::vector<Candidate> candidates;
    std::vector<State *> admitted;
    // Weights are relative to the highest one: if all targets are ramping up, as after the start of this daemon, no target is held back.
    double maxWeight = 0;
    for (const State *state : eligible) {
        maxWeight = std::max(maxWeight, state->health.weight(now, service.coldRamp));
    }
    std::uniform_real_distribution<double> uniform(0, maxWeight);
    for (State *state : eligible) {
        const Candidate candidate = toCandidate(*state, now, typical, service.coldRamp);
        if (candidate.weight >= maxWeight || uniform(m_rng) < candidate.weight) {
            candidates.push_back(candidate);
            admitted.push_back(state);
        }
    }
    return std::visit(
        [&](auto &policy) -> std::optional<RouteChoice> {
            const std::optional<size_t> index = policy.choose(candidates, m_rng);
            if (!index) {
                return LastError<RouteError>::fail(RouteError::PolicyRefused);
            }
            const bool isSpill = !candidates[*index].isInSameRegion
                && std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.isInSameRegion; });
            const char *selectionReason = isSpill ? "spill" : eligible.size() == 1 ? "only" : "best";
            RouteChoice choice = startCall(*admitted[*index], now, selectionReason);
            for (const ScoredIndex &scored : policy.scored()) {
                choice.scored.push_back({ std::string(candidates[scored.index].daemon), scored.score });
            }
            return choice;
        },
        service.policy);
}

template<MonotonicClock Clock>
void TargetTable<Clock>::finished(const std::string &service, const std::string &daemon, uint64_t incarnation, const AttemptReport &report)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    State *state = find(service, daemon);
    if (state == nullptr || state->info.incarnation != incarnation) {
        return;
    }
    Service &entry = m_services.at(service);
    const bool trial = state->health.phase(now, entry.coldRamp) == TargetPhase::Trial;
    const Duration latency = latencyWithoutLink(entry, *state, report);
    state->load.finished(now, report.latency);
    const detail::AttemptClass attemptClass = detail::classifyAttempt(report);
    if (report.load && report.load->incarnation == incarnation) {
        const bool isFailing = attemptClass == detail::AttemptClass::Failure || attemptClass == detail::AttemptClass::Unreachable;
        state->load.observe(*report.load, now, isFailing);
        state->info.leaving = state->info.leaving || report.load->leaving;
    }
    if (report.reason == Reason::Leaving) {
        state->info.leaving = true;
    }
    switch (attemptClass) {
    case detail::AttemptClass::Success:
        state->health.succeeded(now, latency);
        break;
    case detail::AttemptClass::Failure:
        state->health.failed(now, latency);
        break;
    case detail::AttemptClass::Unreachable:
        state->health.unreachable(now);
        tryEject(service, entry, *state, now, nameOf(report.reason));
        return;
    case detail::AttemptClass::Refusal:
        state->health.refused(now);
        break;
    case detail::AttemptClass::Neutral:
        if (report.cancelled) {
            state->health.cancelled(now, latency);
        }
        break;
    }
    const std::string_view ejectionReason = state->health.ejectionReason(now, typicalLatency(entry, now, state));
    if (!ejectionReason.empty()) {
        tryEject(service, entry, *state, now, ejectionReason);
    } else if (trial && attemptClass != detail::AttemptClass::Success) {
        state->health.postponeTrial(now, jitter());
    }
}

template<MonotonicClock Clock>
bool TargetTable<Clock>::observeLoad(const std::string &service, const std::string &daemon, const LoadReport &report, Duration age)
{
    const std::lock_guard lock(m_mutex);
    State *state = find(service, daemon);
    if (state == nullptr || state->info.incarnation != report.incarnation) {
        return false;
    }
    state->info.leaving = state->info.leaving || report.leaving;
    return state->load.observe(report, m_clock.now() - age, false);
}

template<MonotonicClock Clock>
void TargetTable<Clock>::markLeaving(const std::string &service, const std::string &daemon, uint64_t incarnation)
{
    const std::lock_guard lock(m_mutex);
    State *state = find(service, daemon);
    if (state != nullptr && state->info.incarnation <= incarnation) {
        state->info.leaving = true;
    }
}

template<MonotonicClock Clock>
void TargetTable<Clock>::reportUnreachable(const std::string &service, const std::string &daemon)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    if (State *state = find(service, daemon)) {
        state->health.unreachable(now);
        tryEject(service, m_services.at(service), *state, now, "unreachable");
    }
}

template<MonotonicClock Clock>
std::vector<TargetSnapshot> TargetTable<Clock>::snapshot(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<TargetSnapshot> result;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return result;
    }
    const Duration typical = typicalLatency(found->second, now, nullptr);
    const Duration ramp = found->second.coldRamp;
    for (const auto &[daemon, state] : found->second.targets) {
        TargetSnapshot targetSnapshot;
        targetSnapshot.target = state.info;
        targetSnapshot.own = isOwn(state);
        targetSnapshot.phase = state.health.phase(now, ramp);
        targetSnapshot.localInFlight = state.load.inFlight();
        targetSnapshot.load = state.load.report();
        if (targetSnapshot.load) {
            targetSnapshot.reportAge = state.load.reportAge(now);
        }
        targetSnapshot.latency = state.health.latency(now, typical);
        targetSnapshot.failureShare = state.health.failureShare(now);
        const bool isStopped = targetSnapshot.phase == TargetPhase::Ejected || targetSnapshot.phase == TargetPhase::Trial;
        targetSnapshot.weight = isStopped ? 0 : state.health.weight(now, ramp);
        if (targetSnapshot.phase == TargetPhase::Ejected) {
            targetSnapshot.timeToTrial = state.health.ejectedUntil() - now;
        }
        result.push_back(std::move(targetSnapshot));
    }
    return result;
}

template<MonotonicClock Clock>
std::vector<TargetInfo> TargetTable<Clock>::staleTargets(const std::string &service, Duration maxAge) const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<std::pair<Duration, const TargetInfo *>> stale;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        for (const auto &[daemon, state] : found->second.targets) {
            const Duration age = state.load.reportAge(now);
            if (age > maxAge && !isOwn(state) && !state.info.leaving) {
                stale.emplace_back(age, &state.info);
            }
        }
    }
    std::stable_sort(stale.begin(), stale.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<TargetInfo> result;
    for (const auto &[age, info] : stale) {
        result.push_back(*info);
    }
    return result;
}

template<MonotonicClock Clock>
std::vector<TargetChange> TargetTable<Clock>::drainChanges()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_pendingChanges, {});
}

template<MonotonicClock Clock>
void TargetTable<Clock>::applyRules(Service &service, const ServiceConfig &config)
{
    const RoutingRules &a = service.rules;
    const RoutingRules &b = config.routing;
    if (a.policy != b.policy || a.choices != b.choices || a.staleAfter != b.staleAfter || a.regionCost != b.regionCost) {
        service.policy = makePolicy(b);
    }
    service.rules = b;
    service.coldRamp = config.targets.coldRamp;
}

template<MonotonicClock Clock>
Candidate TargetTable<Clock>::toCandidate(const State &state, TimePoint now, const Medians &typical, Duration ramp) const
{
    Candidate candidate;
    candidate.daemon = state.info.daemon;
    candidate.localInFlight = state.load.inFlight();
    candidate.load = state.load.report();
    candidate.reportAge = state.load.reportAge(now);
    candidate.otherDaemonsInFlight = state.load.otherDaemonsInFlight();
    candidate.otherDaemonsInFlightMean = state.load.otherDaemonsInFlightMean();
    candidate.latency = state.health.latency(now, typical.latency);
    candidate.latencyDeviation = state.health.deviation();
    candidate.typicalLatency = typical.latency;
    candidate.oldestInFlight = state.load.oldestInFlightAge(now);
    candidate.unansweredTime = state.load.totalUnansweredTime(now);
    candidate.failureShare = std::max(0.0, state.health.failureShare(now) - typical.failureShare);
    candidate.own = isOwn(state);
    candidate.isInSameRegion = isSameRegion(state);
    candidate.isInSameDataCentre = state.info.dataCentre == m_ownDataCentre;
    candidate.weight = state.health.weight(now, ramp);
    candidate.slots = std::max(1U, state.info.slots);
    return candidate;
}

template<MonotonicClock Clock>
Duration TargetTable<Clock>::typicalLatency(const Service &service, TimePoint now, const State *except) const
{
    // The last latency of a target without calls may be the reason why it receives none, so old latencies are used only if no target has a current one.
    std::vector<Duration> current;
    std::vector<Duration> old;
    for (const auto &[daemon, state] : service.targets) {
        const std::optional<Duration> latency = state.health.latency(now, Duration::zero());
        if (&state != except && latency) {
            (state.health.isLatencyCurrent(now) ? current : old).push_back(*latency);
        }
    }
    return detail::lowerMedian(std::move(current.empty() ? old : current));
}

template<MonotonicClock Clock>
double TargetTable<Clock>::typicalFailureShare(const Service &service, TimePoint now)
{
    std::vector<double> failureShares;
    for (const auto &[daemon, state] : service.targets) {
        failureShares.push_back(state.health.failureShare(now));
    }
    return detail::lowerMedian(std::move(failureShares));
}

template<MonotonicClock Clock>
size_t TargetTable<Clock>::ejectionLimit(const Service &service)
{
    const auto accepting
        = static_cast<size_t>(std::count_if(service.targets.begin(), service.targets.end(), [](const auto &entry) { return !entry.second.info.leaving; }));
    const auto share = static_cast<size_t>(service.rules.maxEjectedShare * static_cast<double>(service.targets.size()));
    return std::min(share, accepting > 0 ? accepting - 1 : 0);
}

template<MonotonicClock Clock>
void TargetTable<Clock>::enforceEjectionLimit(const std::string &name, Service &service, TimePoint now)
{
    std::vector<State *> ejected;
    for (auto &[daemon, state] : service.targets) {
        const TargetPhase phase = state.health.phase(now, service.coldRamp);
        if (!state.info.leaving && (phase == TargetPhase::Ejected || phase == TargetPhase::Trial)) {
            ejected.push_back(&state);
        }
    }
    const size_t limit = ejectionLimit(service);
    if (ejected.size() <= limit) {
        return;
    }
    // The limit drops if targets leave or the configuration changes. The targets with the earliest trial are released first.
    std::sort(ejected.begin(), ejected.end(), [](const State *a, const State *b) { return a->health.ejectedUntil() < b->health.ejectedUntil(); });
    for (size_t i = 0; i < ejected.size() - limit; ++i) {
        ejected[i]->health.release(now);
        recordChange(name, ejected[i]->info.daemon, false, "ejection-limit");
    }
}

template<MonotonicClock Clock>
void TargetTable<Clock>::tryEject(const std::string &name, Service &service, State &state, TimePoint now, std::string_view ejectionReason)
{
    const TargetPhase phase = state.health.phase(now, service.coldRamp);
    if (phase == TargetPhase::Ejected || state.info.leaving) {
        return;
    }
    if (phase != TargetPhase::Trial) {
        size_t ejected = 0;
        for (const auto &[daemon, other] : service.targets) {
            const TargetPhase otherPhase = other.health.phase(now, service.coldRamp);
            ejected += !other.info.leaving && (otherPhase == TargetPhase::Ejected || otherPhase == TargetPhase::Trial) ? 1 : 0;
        }
        if (ejected + 1 > ejectionLimit(service)) {
            return;
        }
    }
    state.health.eject(now, jitter());
    recordChange(name, state.info.daemon, true, ejectionReason);
}

template<MonotonicClock Clock>
double TargetTable<Clock>::jitter()
{
    constexpr double Jitter = 0.25; // prevents simultaneous trials by several entry daemons
    return std::uniform_real_distribution<double>(1 - Jitter, 1 + Jitter)(m_rng);
}

template<MonotonicClock Clock>
Duration TargetTable<Clock>::latencyWithoutLink(const Service &service, const State &state, const AttemptReport &report) const
{
    if (isSameRegion(state)) {
        return report.latency;
    }
    // The configured cost may exceed the actual latency of the link, so the result is at least the service time of the call.
    constexpr int MaxServiceTimeDivisor = 4;
    const Duration minLatency = report.load ? Duration(report.load->serviceTime) : report.latency / MaxServiceTimeDivisor;
    return std::max(report.latency - service.rules.regionCost, std::min(minLatency, report.latency));
}

template<MonotonicClock Clock>
void TargetTable<Clock>::recordChange(std::string service, std::string daemon, bool ejected, std::string_view changeCause)
{
    constexpr size_t MaxPendingChanges = 1000; // limits memory if drainChanges() is not called
    if (m_pendingChanges.size() < MaxPendingChanges) {
        m_pendingChanges.push_back({ std::move(service), std::move(daemon), ejected, std::string(changeCause) });
    }
}

template<MonotonicClock Clock>
typename TargetTable<Clock>::State *TargetTable<Clock>::find(const std::string &service, const std::string &daemon)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return nullptr;
    }
    const auto target = found->second.targets.find(daemon);
    return target == found->second.targets.end() ? nullptr : &target->second;
}

template<MonotonicClock Clock>
RouteChoice TargetTable<Clock>::startCall(State &state, TimePoint now, std::string selectionReason)
{
    state.load.started(now);
    RouteChoice choice;
    choice.target = state.info;
    choice.own = isOwn(state);
    choice.selectionReason = std::move(selectionReason);
    return choice;
}

template<MonotonicClock Clock>
typename TargetTable<Clock>::State *TargetTable<Clock>::findDueTrial(Service &service, TimePoint now)
{
    if (service.rules.policy == PolicyKind::LocalOnly) {
        return nullptr;
    }
    for (auto &[daemon, state] : service.targets) {
        if (!state.info.leaving && state.load.inFlight() == 0 && state.health.phase(now, service.coldRamp) == TargetPhase::Trial) {
            return &state;
        }
    }
    return nullptr;
}

} // namespace carobjunction
