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
constexpr double TieShare = 0.02;

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

/** @return the longest time that a call usually takes, as in TCP's retransmission timeout, but at least three times the mean */
double usualMaxMs(const Candidate &candidate, double usual)
{
    constexpr double DeviationFactor = 4;
    constexpr double LeastFactor = 3;
    return std::max(usual + DeviationFactor * toMs(candidate.latencyDeviation), LeastFactor * usual);
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
    sample(candidates, 1, rng, [](const Candidate &) { return 0.0; });
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
    sample(candidates, candidates.size(), rng, reportedUse);
    return best(rng);
}

std::optional<size_t> TwoChoicesPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    sample(candidates, TwoCandidates, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
    return best(rng);
}

std::optional<size_t> LatencyWeightedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    constexpr double LeastMs = 0.01; // keeps the weight finite
    m_weighed.clear();
    std::vector<double> weights;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const double score = std::max(LeastMs, latencyMs(candidates[i])) * (1 + FailureFactor * candidates[i].failureShare);
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
        sample(candidates, TwoCandidates, rng, [](const Candidate &candidate) { return static_cast<double>(candidate.localInFlight); });
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
    const double network = networkMs(candidate);
    double service = latencyMs(candidate);
    double wait = 0;
    if (candidate.load && candidate.reportAge <= m_rules.staleAfter) {
        if (candidate.load->serviceTime.count() > 0) {
            service = toMs(candidate.load->serviceTime);
        }
        const double limit = std::max(1U, candidate.load->limit);
        // Requests of other entries that the report showed finish, and others take their place:
        // the estimate goes from the reported to the usual number within about one service time.
        const double fade = std::exp(-toMs(candidate.reportAge) / std::max(service, 0.1));
        const double others = candidate.othersMean + (candidate.othersAtReport - candidate.othersMean) * fade;
        const double outstanding = others + candidate.localInFlight;
        wait = std::max(0.0, outstanding + 1 - limit) * service / limit + 0.1 * service * outstanding / limit;
    } else {
        wait = service * candidate.localInFlight / std::max(1U, candidate.slots);
    }
    const double oldest = toMs(candidate.oldestInFlight);
    if (oldest > usualMaxMs(candidate, latencyMs(candidate))) {
        service = std::max(service, oldest);
    }
    return (network + wait + service) * (1 + FailureFactor * candidate.failureShare);
}

std::optional<size_t> PredictedPolicy::choose(std::span<const Candidate> candidates, Rng &rng)
{
    m_weighed.clear();
    const auto score = [this](const Candidate &candidate) {
        return predictedMs(candidate) + (candidate.sameRegion ? 0 : toMs(m_rules.regionCost));
    };
    sample(candidates, m_rules.choices, rng, score);
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
