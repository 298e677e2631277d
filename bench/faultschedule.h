#pragma once

#include "fault.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <random>
#include <vector>

namespace carobjunction::bench
{

namespace detail
{

inline void addStragglers(std::vector<FaultAction> &actions, const FaultSpec &spec, std::size_t targetCount, Duration end, std::mt19937_64 &rng)
{
    using Seconds = std::chrono::duration<double>;
    std::exponential_distribution<double> startGap(1 / Seconds(spec.meanGap).count());
    std::uniform_real_distribution<double> length(Seconds(spec.shortest).count(), Seconds(spec.longest).count());
    std::uniform_int_distribution<std::size_t> targetIndex(0, targetCount - 1);
    const Duration lastStart = spec.length > Duration::zero() ? std::min(end, spec.at + spec.length) : end;
    for (Duration at = spec.at;;) {
        at += std::chrono::duration_cast<Duration>(Seconds(startGap(rng)));
        if (at >= lastStart) {
            return;
        }
        const auto slowDuration = std::chrono::duration_cast<Duration>(Seconds(length(rng)));
        actions.push_back({ FaultKind::Straggler, at, slowDuration, spec.target.value_or(targetIndex(rng)), spec.factor, 0 });
    }
}

} // namespace detail

/**
 * Expands the faults of an experiment into actions on single targets. Equal parameters and seeds give equal actions.
 * @param specs  faults to expand
 * @param targetCount  number of targets; at least 1
 * @param end  end of the schedule, after which no straggler starts
 * @param seed  seed of the random choices of targets and times
 * @return actions, sorted by time
 */
inline std::vector<FaultAction> faultSchedule(const std::vector<FaultSpec> &specs, std::size_t targetCount, Duration end, uint64_t seed)
{
    std::mt19937_64 rng(seed);
    std::vector<FaultAction> actions;
    for (const FaultSpec &spec : specs) {
        if (spec.kind == FaultKind::Straggler) {
            detail::addStragglers(actions, spec, targetCount, end, rng);
            continue;
        }
        std::vector<std::size_t> order(targetCount);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), rng);
        if (spec.target) {
            order.assign(1, *spec.target);
        } else {
            order.resize(std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(spec.share * static_cast<double>(targetCount)))));
        }
        for (const std::size_t target : order) {
            actions.push_back({ spec.kind, spec.at, spec.length, target, spec.factor, spec.status });
        }
    }
    std::stable_sort(actions.begin(), actions.end(), [](const FaultAction &a, const FaultAction &b) { return a.at < b.at; });
    return actions;
}

} // namespace carobjunction::bench
