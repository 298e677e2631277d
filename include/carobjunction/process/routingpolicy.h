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

/** Random number generator for routing decisions. */
using Rng = std::mt19937_64;

/** Candidate that a policy scored in its last call of choose(). */
struct ScoredIndex {
    size_t index = 0; /**< Position in the span given to choose(). */
    double score = 0; /**< Lower is better. */
};

/**
 * Chooses one of several targets. choose() returns a position in the span, or empty if no candidate is suitable;
 * scored() returns the candidates that the last call of choose() compared, with their scores.
 */
template<typename Policy>
concept RoutingPolicy = requires(Policy policy, std::span<const Candidate> candidates, Rng &rng)
{
    {
        policy.choose(candidates, rng)
        } -> std::same_as<std::optional<size_t>>;
    {
        policy.scored()
        } -> std::same_as<const std::vector<ScoredIndex> &>;
};

/** Base class of the policies. Holds the routing rules and the candidates scored in the last decision. */
class PolicyBase
{
public:
    explicit PolicyBase(const RoutingRules &rules) : m_rules(rules)
    {
    }

    /** @return the candidates that the last choose() compared, with their scores */
    const std::vector<ScoredIndex> &scored() const
    {
        return m_scored;
    }

protected:
    /** @return the position of the candidate with the lowest score in m_scored; one of them at random if scores are nearly equal */
    std::optional<size_t> chooseLowestScore(Rng &rng) const;

    /**
     * Scores a random sample without replacement of the candidates at @p indices, and adds them to m_scored.
     * @param count  maximum size of the sample
     */
    template<typename Score>
    void scoreSample(std::span<const Candidate> candidates, std::vector<size_t> indices, size_t count, Rng &rng, Score score)
    {
        for (size_t i = 0; i < std::min(count, indices.size()); ++i) {
            std::swap(indices[i], indices[std::uniform_int_distribution<size_t>(i, indices.size() - 1)(rng)]);
            m_scored.push_back({ indices[i], score(candidates[indices[i]]) });
        }
    }

    RoutingRules m_rules;
    std::vector<ScoredIndex> m_scored;
};

/** Chooses a candidate uniformly at random. */
class RandomPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Chooses the candidates in turn, in the order of their daemon ids. */
class RoundRobinPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);

private:
    std::string m_lastDaemon; /**< Daemon id of the candidate chosen last. */
};

/** Chooses the candidate with the lowest ratio of requests to limit in its last load report. */
class LeastReportedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Chooses, of two random candidates, the one with fewer calls of this entry daemon in flight (power of two choices). */
class TwoChoicesPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Chooses a random candidate with a probability inversely proportional to its latency. */
class LatencyWeightedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/**
 * Chooses the candidate with the lowest latency among those with a fresh load report, except the most loaded ones. Falls back to two choices
 * if fewer than two candidates have a fresh report.
 */
class ProbePoolPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Chooses, of a few random candidates, the one with the shortest predicted time to answer. The default policy. */
class PredictedPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);

    /** @return predicted time to answer in milliseconds, without the cost of the link between regions */
    double predictedMs(const Candidate &candidate) const;
};

/** Chooses only the entry daemon's own target. */
class LocalOnlyPolicy : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;
    std::optional<size_t> choose(std::span<const Candidate> candidates, Rng &rng);
};

/** Holds one of the policies. */
using AnyPolicy = std::
    variant<RandomPolicy, RoundRobinPolicy, LeastReportedPolicy, TwoChoicesPolicy, LatencyWeightedPolicy, ProbePoolPolicy, PredictedPolicy, LocalOnlyPolicy>;

/** @return a new policy of the kind that @p rules select */
AnyPolicy makePolicy(const RoutingRules &rules);

} // namespace carobjunction
