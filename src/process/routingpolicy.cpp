#include <carobjunction/process/routingpolicy.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

static_assert(RoutingPolicy<RandomPolicy> && RoutingPolicy<RoundRobinPolicy> && RoutingPolicy<LeastReportedPolicy> && RoutingPolicy<TwoChoicesPolicy>);
static_assert(RoutingPolicy<LatencyWeightedPolicy> && RoutingPolicy<ProbePoolPolicy> && RoutingPolicy<PredictedPolicy> && RoutingPolicy<LocalOnlyPolicy>);

constexpr size_t TwoCandidates = 2;

/** Round trip to another daemon in the same data centre, with the hop's own work. */
constexpr double HopMs = 0.5;

/** Round trip to another data centre of the region: 1 ms each way, and the hop. */
constexpr double DataCentreMs = 2.5;

/** Service time assumed before any call or report shows one. */
constexpr double UnknownServiceMs = 5;

/** A failing target must lose against any target that merely waits: a queue of 18 over 9 slots makes a call 3 times as long. */
constexpr double FailureFactor = 50;

/** Scores that differ by less than this share count as equal, so that entries with equal views spread. */
constexpr double TieShare = 0.05;

/** Floor for service times in divisions. */
constexpr double LeastServiceMs = 0.1;

/** Differences of service time within this factor are noise. 2 and 2.5 did equally well in the comparison, 1.5 and 3 worse. */
constexpr double NoiseFactor = 2;

/** Cost of load below the limit, in service times at full use. It grows with the square of the use. */
constexpr double UseCost = 2;

/** Time in service times over which a report of others' calls loses its value. */
constexpr double FadeServiceTimes = 3;

/** Share of the most loaded candidates that the probe pool avoids while others are left. */
constexpr double HotShare = 0.75;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double reportedUse(const Candidate &candidate)
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
    return candidate.typicalLatency > Duration::zero() ? toMs(candidate.typicalLatency) : UnknownServiceMs;
}

double networkMs(const Candidate &candidate)
{
    if (candidate.own) {
        return 0;
    }
    return candidate.sameDataCentre ? HopMs : DataCentreMs;
}

/**
 * Reported service times scatter by a quarter on equal targets with exponential service times. Taken as they are, they
 * send calls to the target that was lucky last, so differences within NoiseFactor count as none.
 */
double withoutNoise(double service, double typical)
{
    if (typical <= 0) {
        return service;
    }
    if (service > typical * NoiseFactor) {
        return service / NoiseFactor;
    }
    return service < typical / NoiseFactor ? service * NoiseFactor : typical;
}

/**
 * @return factor by which calls seem to take longer than usual, judged from calls without an answer yet; 1 if there is no sign.
 * The time without an answer, summed over the calls in flight, is on average the latency of one call.
 */
double stallFactor(const Candidate &candidate)
{
    constexpr double DeviationFactor = 4; // as in the retransmission timeout of TCP
    constexpr double LeastFactor = 3;
    constexpr double OldCallFactor = 2; // bounded, because one slow request does not make a slow target
    const double usual = std::max(latencyMs(candidate), LeastServiceMs);
    double factor = std::max(1.0, (usual + toMs(candidate.unansweredTime)) / (2 * usual) / NoiseFactor);
    if (toMs(candidate.oldestInFlight) > std::max(usual + DeviationFactor * toMs(candidate.latencyDeviation), LeastFactor * usual)) {
        factor = std::max(factor, OldCallFactor);
    }
    return factor;
}

template<typename Predicate>
std::vector<size_t> indicesOf(std::span<const Candidate> candidates, Predicate predicate)
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (predicate(candidates[i])) {
            indices.push_back(i);
        }
    }
    return indices;
}

std::vector<size_t> allOf(std::span<const Candidate> candidates)
{
    return indicesOf(candidates, [](const Candidate &) { return true; });
}

} // namespace

std::optional<size_t> PolicyBase::best(Rng &rng) const
{
    if (m_weighed.empty()) {
        return std::nullopt;
    }
    const auto least = std::min_element(m_weighed.begin(), m_weighed.end(), [](const auto &a, const auto &b) { return a.score < b.score; });
    const double limit = least->score + TieShare * std::abs(least->score);
    size_t ties = 0;
    size_t chosen = least->index;
    for (const WeighedIndex &weighed : m_weighed) {
        if (weighed.score <= limit && std::uniform_int_distribution<size_t>(0, ties++)(rng) == 0) {
            chosen = weighed.index;
        }
    }
    return chosen;
}

std::optional<size_t> RandomPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    sample(candidates, allOf(candidates), 1, rng, [](const Candidate &) { return 0.0; });
    return best(rng);
}

std::optional<size_t> RoundRobinPolicy::choose(std::span<const Candidate> candidates, Rng &)
{
    m_weighed.clear();
    std::optional<size_t> next;
    std::optional<size_t> first;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!first || candidates[i].daemon < candidates[*first].daemon) {
            first = i;
        }
        if (candidates[i].daemon > m_last && (!next || candidates[i].daemon < candidates[*next].daemon)) {
            next = i;
        }
    }
    const std::optional<size_t> chosen = next ? next : first;
    if (chosen) {
        m_last = candidates[*chosen].daemon;
        m_weighed.push_back({ *chosen, 0 });
    }
    return chosen;
}

std::optional<size_t> LeastReportedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    sample(candidates, allOf(candidates), candidates.size(), rng, reportedUse);
    return best(rng);
}

std::optional<size_t> TwoChoicesPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    sample(candidates, allOf(candidates), TwoCandidates, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
    return best(rng);
}

std::optional<size_t> LatencyWeightedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    constexpr double LeastMs = 0.01; // keeps the weight finite
    m_weighed.clear();
    std::vector<double> weights;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const double score = std::max(LeastMs, latencyMs(candidates[i]) + (candidates[i].sameRegion ? 0 : toMs(m_rules.regionCost)))
            * (1 + FailureFactor * candidates[i].failureShare);
        m_weighed.push_back({ i, score });
        weights.push_back(1 / score);
    }
    if (weights.empty()) {
        return std::nullopt;
    }
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(rng);
}

std::optional<size_t> ProbePoolPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    std::vector<double> uses;
    for (const Candidate &candidate : candidates) {
        if (candidate.load && candidate.reportAge <= m_rules.staleAfter) {
            uses.push_back(reportedUse(candidate));
        }
    }
    if (uses.size() < TwoCandidates) {
        sample(candidates, allOf(candidates), TwoCandidates, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
        return best(rng);
    }
    const auto hot = uses.begin() + static_cast<std::ptrdiff_t>(HotShare * static_cast<double>(uses.size() - 1));
    std::nth_element(uses.begin(), hot, uses.end());
    for (size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        if (candidate.load && candidate.reportAge <= m_rules.staleAfter && reportedUse(candidate) <= *hot) {
            m_weighed.push_back({ i, latencyMs(candidate) * (1 + FailureFactor * candidate.failureShare) });
        }
    }
    return best(rng);
}

double PredictedPolicy::predictedMs(const Candidate &candidate) const
{
    const bool fresh = candidate.load && candidate.reportAge <= m_rules.staleAfter;
    const double typical = toMs(candidate.typicalLatency);
    double measured = fresh && candidate.load->serviceTime.count() > 0 ? toMs(candidate.load->serviceTime) : latencyMs(candidate);
    if (measured < typical) {
        // A target that fails fast reports short service times. Only answers without an error show that it is faster than others.
        measured = std::clamp(latencyMs(candidate), measured, typical);
    }
    const double service = withoutNoise(measured, typical) * stallFactor(candidate);
    double wait = service * candidate.localInFlight;
    if (fresh) {
        // The calls of other entry daemons finish and others follow them, so the estimate goes from the reported to the usual
        // number. The own calls are known exactly.
        const double limit = std::max(1U, candidate.load->limit);
        const double fade = std::exp(-toMs(candidate.reportAge) / (FadeServiceTimes * std::max(measured, LeastServiceMs)));
        const double others = candidate.othersMean + (candidate.othersAtReport - candidate.othersMean) * fade;
        const double use = (others + candidate.localInFlight) / limit;
        const double queued = std::max(service * (use + 1 / limit - 1), fade * toMs(candidate.load->predictedWait));
        wait = std::max(0.0, queued) + service * UseCost * use * use;
    }
    return networkMs(candidate) + (service + wait) * (1 + FailureFactor * candidate.failureShare);
}

std::optional<size_t> PredictedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    const double regionMs = toMs(m_rules.regionCost);
    const auto score = [&](const Candidate &candidate) {
        return predictedMs(candidate) + (candidate.sameRegion ? 0 : regionMs);
    };
    // The own target is always compared, because a call to it saves the hop. Other entry daemons prefer other targets.
    sample(candidates, indicesOf(candidates, [](const Candidate &candidate) { return candidate.own; }), 1, rng, score);
    const std::vector<size_t> near = indicesOf(candidates, [](const Candidate &candidate) { return candidate.sameRegion && !candidate.own; });
    sample(candidates, near, m_rules.choices, rng, score);
    const auto isNearEnough = [&](const WeighedIndex &weighed) {
        return weighed.score <= regionMs;
    };
    if (std::none_of(m_weighed.begin(), m_weighed.end(), isNearEnough)) {
        const std::vector<size_t> far = indicesOf(candidates, [](const Candidate &candidate) { return !candidate.sameRegion && !candidate.own; });
        sample(candidates, far, m_rules.choices, rng, score);
    }
    return best(rng);
}

std::optional<size_t> LocalOnlyPolicy::choose(std::span<const Candidate> candidates, Rng &)
{
    m_weighed.clear();
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].own) {
            m_weighed.push_back({ i, 0 });
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
