#pragma once

#include <carobjunction/process/candidate.h>
#include <carobjunction/version/serviceconfig.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace carobjunction
{

/** Random numbers for routing. */
using Rng = std::mt19937_64;

/** A candidate that a policy looked at in its last decision. */
struct WeighedIndex {
    size_t index = 0; /**< Position in the span given to choose(). */
    double score = 0; /**< Lower is better. */
};

/**
 * Chooses one of several targets. choose() returns a position in the span, or empty if no candidate will do;
 * weighed() returns the candidates that this decision compared, with their scores.
 */
template<typename Policy>
concept RoutingPolicy = requires(Policy policy, std::span<const Candidate> candidates, Rng &rng)
{
    {
        policy.choose(candidates, rng)
        } -> std::same_as<std::optional<size_t>>;
    {
        policy.weighed()
        } -> std::same_as<const std::vector<WeighedIndex> &>;
};

/** Common part of the policies: the rules, and the candidates weighed last. */
class PolicyBase
{
public:
    explicit PolicyBase(const RoutingRules &rules) : m_rules(rules)
    {
    }

    /** @return the candidates that the last choose() compared */
    const std::vector<WeighedIndex> &weighed() const
    {
        return m_weighed;
    }

protected:
    /** @return the position with the lowest score in m_weighed; ties are broken at random */
    std::optional<size_t> best(Rng &rng) const;

    /** Scores up to @p count candidates drawn at random without repetition from those at @p indices, all if there are no more. */
    template<typename Score>
    void sample(std::span<const Candidate> candidates, std::vector<size_t> indices, size_t count, Rng &rng, Score score)
    {
        for (size_t i = 0; i < std::min(count, indices.size()); ++i) {
            std::swap(indices[i], indices[std::uniform_int_distribution<size_t>(i, indices.size() - 1)(rng)]);
            m_weighed.push_back({ indices[i], score(candidates[indices[i]]) });
        }
    }

    RoutingRules m_rules;
    std::vector<WeighedIndex> m_weighed;
};

/** Any candidate with equal probability. */
class RandomPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Each candidate in turn, in the order of the daemon ids. */
class RoundRobinPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);

private:
    std::string m_last;
};

/** The candidate whose last report showed the fewest requests for its limit. */
class LeastReportedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** The one of two random candidates with fewer local calls in flight. */
class TwoChoicesPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** A random candidate, with a probability inverse to its latency. */
class LatencyWeightedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Of the candidates with a fresh report, the fastest one that is not among the most loaded; else two choices. */
class ProbePoolPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** The one of a few random candidates that will probably answer first. The default. */
class PredictedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);

    /** @return predicted time to answer in milliseconds, without the cost of the link between regions */
    double predictedMs(const Candidate &candidate) const;
};

/** Only the entry daemon's own target. */
class LocalOnlyPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Any of the policies. */
using AnyPolicy = std::
    variant<RandomPolicy, RoundRobinPolicy, LeastReportedPolicy, TwoChoicesPolicy, LatencyWeightedPolicy, ProbePoolPolicy, PredictedPolicy, LocalOnlyPolicy>;

/** @return the policy that @p rules select */
AnyPolicy makePolicy(const RoutingRules &rules);

} // namespace carobjunction
