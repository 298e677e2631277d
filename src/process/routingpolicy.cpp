#include <carobjunction/process/routingpolicy.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

static_assert(RoutingPolicy<RandomPolicy> && RoutingPolicy<RoundRobinPolicy> && RoutingPolicy<LeastReportedPolicy> && RoutingPolicy<TwoChoicesPolicy>);
static_assert(RoutingPolicy<LatencyWeightedPolicy> && RoutingPolicy<ProbePoolPolicy> && RoutingPolicy<PredictedPolicy> && RoutingPolicy<LocalOnlyPolicy>);

constexpr size_t SampleOfTwo = 2;

/** Round trip to another daemon in the same data centre, including the processing time of the hop. */
constexpr double SameDataCentreRoundTripMs = 0.5;

/** Round trip to a daemon in another data centre of the region: 1 ms each way plus SameDataCentreRoundTripMs. */
constexpr double SameRegionRoundTripMs = 2.5;

/** Service time assumed until a call or load report provides one. */
constexpr double DefaultServiceTimeMs = 5;

/**
 * Weight of the failure share in a score. A failing target must score worse than any target that only queues: a queue of 18 on 9 slots
 * triples the latency.
 */
constexpr double FailurePenalty = 50;

/** Relative difference up to which scores count as equal, so that entry daemons with the same load reports spread their calls. */
constexpr double TieTolerance = 0.05;

/** Lower bound of service times that are used as divisors. */
constexpr double MinServiceTimeMs = 0.1;

/**
 * Factor up to which differences between service times are treated as noise. In the policy comparison, 2 and 2.5 performed equally well,
 * 1.5 and 3 worse.
 */
constexpr double NoiseFactor = 2;

/** Cost of utilisation, in service times at full utilisation. It grows with the square of the utilisation and so also counts below the limit. */
constexpr double UtilisationCost = 2;

/** Time constant, in service times, with which the reported number of calls of other entry daemons decays to its mean. */
constexpr double LoadDecayServiceTimes = 3;

/** Quantile of the reported utilisation above which ProbePoolPolicy skips a candidate. */
constexpr double HotQuantile = 0.75;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double reportedUtilisation(const Candidate &candidate)
{
    if (!candidate.load) {
        return 0;
    }
    return static_cast<double>(candidate.load->inFlight + candidate.load->queued) / std::max(1U, candidate.load->limit);
}

double latencyMs(const Candidate &candidate)
{
    if (candidate.latency) {
        return toMs(*candidate.latency);
    }
    return candidate.typicalLatency > Duration::zero() ? toMs(candidate.typicalLatency) : DefaultServiceTimeMs;
}

double roundTripMs(const Candidate &candidate)
{
    if (candidate.own) {
        return 0;
    }
    return candidate.isInSameDataCentre ? SameDataCentreRoundTripMs : SameRegionRoundTripMs;
}

/**
 * Removes differences within NoiseFactor from a service time. With exponentially distributed service times, the reports of equal targets
 * scatter by a quarter; uncorrected, this noise would direct most calls to the target with the lowest recent sample.
 * @param serviceMs  measured service time in milliseconds
 * @param typicalMs  typical service time of the service's targets in milliseconds, 0 if unknown
 */
double denoisedServiceMs(double serviceMs, double typicalMs)
{
    if (typicalMs <= 0) {
        return serviceMs;
    }
    if (serviceMs > typicalMs * NoiseFactor) {
        return serviceMs / NoiseFactor;
    }
    return serviceMs < typicalMs / NoiseFactor ? serviceMs * NoiseFactor : typicalMs;
}

/**
 * Estimates the slowdown of a target from its calls in flight. In normal operation, the time since the last answer, summed over the calls
 * in flight, is on average the latency of one call.
 * @return factor by which calls currently take longer than usual; 1 if there is no evidence of a slowdown
 */
double slowdownFactor(const Candidate &candidate)
{
    constexpr double DeviationFactor = 4; // as in the retransmission timeout of TCP (RFC 6298)
    constexpr double MinSlowFactor = 3;
    constexpr double OldestCallFactor = 2; // limited, because a single slow request is no evidence of a slow target
    const double usualMs = std::max(latencyMs(candidate), MinServiceTimeMs);
    double factor = std::max(1.0, (usualMs + toMs(candidate.unansweredTime)) / (2 * usualMs) / NoiseFactor);
    if (toMs(candidate.oldestInFlight) > std::max(usualMs + DeviationFactor * toMs(candidate.latencyDeviation), MinSlowFactor * usualMs)) {
        factor = std::max(factor, OldestCallFactor);
    }
    return factor;
}

template<typename Predicate>
std::vector<size_t> indicesWhere(std::span<const Candidate> candidates, Predicate predicate)
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (predicate(candidates[i])) {
            indices.push_back(i);
        }
    }
    return indices;
}

std::vector<size_t> allIndices(std::span<const Candidate> candidates)
{
    return indicesWhere(candidates, [](const Candidate &) { return true; });
}

} // namespace

std::optional<size_t> PolicyBase::chooseLowestScore(Rng &rng) const
{
    if (m_scored.empty()) {
        return std::nullopt;
    }
    const auto lowest = std::min_element(m_scored.begin(), m_scored.end(), [](const auto &a, const auto &b) { return a.score < b.score; });
    const double limit = lowest->score + TieTolerance * std::abs(lowest->score);
    size_t ties = 0;
    size_t chosen = lowest->index;
    for (const ScoredIndex &scored : m_scored) {
        if (scored.score <= limit && std::uniform_int_distribution<size_t>(0, ties++)(rng) == 0) {
            chosen = scored.index;
        }
    }
    return chosen;
}

std::optional<size_t> RandomPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_scored.clear();
    scoreSample(candidates, allIndices(candidates), 1, rng, [](const Candidate &) { return 0.0; });
    return chooseLowestScore(rng);
}

std::optional<size_t> RoundRobinPolicy::choose(std::span<const Candidate> candidates, Rng &)
{
    m_scored.clear();
    std::optional<size_t> next;
    std::optional<size_t> first;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!first || candidates[i].daemon < candidates[*first].daemon) {
            first = i;
        }
        if (candidates[i].daemon > m_lastDaemon && (!next || candidates[i].daemon < candidates[*next].daemon)) {
            next = i;
        }
    }
    const std::optional<size_t> chosen = next ? next : first;
    if (chosen) {
        m_lastDaemon = candidates[*chosen].daemon;
        m_scored.push_back({ *chosen, 0 });
    }
    return chosen;
}

std::optional<size_t> LeastReportedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_scored.clear();
    scoreSample(candidates, allIndices(candidates), candidates.size(), rng, reportedUtilisation);
    return chooseLowestScore(rng);
}

std::optional<size_t> TwoChoicesPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_scored.clear();
    scoreSample(candidates, allIndices(candidates), SampleOfTwo, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
    return chooseLowestScore(rng);
}

std::optional<size_t> LatencyWeightedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    constexpr double MinScoreMs = 0.01; // keeps the weight 1 / score finite
    m_scored.clear();
    std::vector<double> weights;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const double score = std::max(MinScoreMs, latencyMs(candidates[i]) + (candidates[i].isInSameRegion ? 0 : toMs(m_rules.regionCost)))
            * (1 + FailurePenalty * candidates[i].failureShare);
        m_scored.push_back({ i, score });
        weights.push_back(1 / score);
    }
    if (weights.empty()) {
        return std::nullopt;
    }
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(rng);
}

std::optional<size_t> ProbePoolPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_scored.clear();
    std::vector<double> utilisations;
    for (const Candidate &candidate : candidates) {
        if (candidate.load && candidate.reportAge <= m_rules.staleAfter) {
            utilisations.push_back(reportedUtilisation(candidate));
        }
    }
    if (utilisations.size() < SampleOfTwo) {
        scoreSample(
            candidates, allIndices(candidates), SampleOfTwo, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
        return chooseLowestScore(rng);
    }
    const auto hotThreshold = utilisations.begin() + static_cast<std::ptrdiff_t>(HotQuantile * static_cast<double>(utilisations.size() - 1));
    std::nth_element(utilisations.begin(), hotThreshold, utilisations.end());
    for (size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (candidate.load && candidate.reportAge <= m_rules.staleAfter && reportedUtilisation(candidate) <= *hotThreshold) {
            m_scored.push_back({ i, latencyMs(candidate) * (1 + FailurePenalty * candidate.failureShare) });
        }
    }
    return chooseLowestScore(rng);
}

double PredictedPolicy::predictedMs(const Candidate &candidate) const
{
    const bool isFresh = candidate.load && candidate.reportAge <= m_rules.staleAfter;
    const double typicalMs = toMs(candidate.typicalLatency);
    double measuredMs = isFresh && candidate.load->serviceTime.count() > 0 ? toMs(candidate.load->serviceTime) : latencyMs(candidate);
    if (measuredMs < typicalMs) {
        // A target that fails fast reports short service times, so a service time below the typical one is accepted only as far as the
        // latency of successful calls confirms it.
        measuredMs = std::clamp(latencyMs(candidate), measuredMs, typicalMs);
    }
    const double serviceMs = denoisedServiceMs(measuredMs, typicalMs) * slowdownFactor(candidate);
    double waitMs = serviceMs * candidate.localInFlight;
    if (isFresh) {
        // The reported calls of other entry daemons end and are replaced by new ones, so their estimated number decays from the reported
        // value to the mean. The number of own calls is exact.
        const double limit = std::max(1U, candidate.load->limit);
        const double decay = std::exp(-toMs(candidate.reportAge) / (LoadDecayServiceTimes * std::max(measuredMs, MinServiceTimeMs)));
        const double otherCalls = candidate.otherDaemonsInFlightMean + (candidate.otherDaemonsInFlight - candidate.otherDaemonsInFlightMean) * decay;
        const double utilisation = (otherCalls + candidate.localInFlight) / limit;
        const double queued = std::max(serviceMs * (utilisation + 1 / limit - 1), decay * toMs(candidate.load->predictedWait));
        waitMs = std::max(0.0, queued) + serviceMs * UtilisationCost * utilisation * utilisation;
    }
    return roundTripMs(candidate) + (serviceMs + waitMs) * (1 + FailurePenalty * candidate.failureShare);
}

std::optional<size_t> PredictedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_scored.clear();
    const double regionMs = toMs(m_rules.regionCost);
    const auto score = [&](const Candidate &candidate) {
        return predictedMs(candidate) + (candidate.isInSameRegion ? 0 : regionMs);
    };
    // The own target is always part of the comparison, because a call to it saves a hop. This does not concentrate load, since each
    // entry daemon prefers a different target.
    scoreSample(candidates, indicesWhere(candidates, [](const Candidate &candidate) { return candidate.own; }), 1, rng, score);
    const std::vector<size_t> sameRegionIndices
        = indicesWhere(candidates, [](const Candidate &candidate) { return candidate.isInSameRegion && !candidate.own; });
    scoreSample(candidates, sameRegionIndices, m_rules.choices, rng, score);
    const auto isWithinRegionCost = [&](const ScoredIndex &scored) {
        return scored.score <= regionMs;
    };
    if (std::none_of(m_scored.begin(), m_scored.end(), isWithinRegionCost)) {
        const std::vector<size_t> otherRegionIndices
            = indicesWhere(candidates, [](const Candidate &candidate) { return !candidate.isInSameRegion && !candidate.own; });
        scoreSample(candidates, otherRegionIndices, m_rules.choices, rng, score);
    }
    return chooseLowestScore(rng);
}

std::optional<size_t> LocalOnlyPolicy::choose(std::span<const Candidate> candidates, Rng &)
{
    m_scored.clear();
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].own) {
            m_scored.push_back({ i, 0 });
            return i;
        }
    }
    return std::nullopt;
}

AnyPolicy makePolicy(const RoutingRules &rules)
{
    switch (rules.policy) {
    case PolicyKind::Random:
        return RandomPolicy(rules);
    case PolicyKind::RoundRobin:
        return RoundRobinPolicy(rules);
    case PolicyKind::LeastReported:
        return LeastReportedPolicy(rules);
    case PolicyKind::TwoChoices:
        return TwoChoicesPolicy(rules);
    case PolicyKind::LatencyWeighted:
        return LatencyWeightedPolicy(rules);
    case PolicyKind::ProbePool:
        return ProbePoolPolicy(rules);
    case PolicyKind::LocalOnly:
        return LocalOnlyPolicy(rules);
    case PolicyKind::Predicted:
        break;
    }
    return PredictedPolicy(rules);
}

} // namespace carobjunction
