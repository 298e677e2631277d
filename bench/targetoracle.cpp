#include "targetoracle.h"

#include <limits>
#include <utility>

namespace carobjunction::bench
{

TargetOracle::TargetOracle(std::vector<TargetDescription> targetDescriptions) : m_targets(std::move(targetDescriptions)), m_states(m_targets.size())
{
}

void TargetOracle::setSlowdown(std::size_t target, double slowdownFactor, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].slowdownFactor = slowdownFactor;
    m_states[target].slowdownUntil = until;
}

void TargetOracle::setAvailable(std::size_t target, bool isAvailable)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].isAvailable = isAvailable;
}

void TargetOracle::setUnavailableUntil(std::size_t target, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].unavailableUntil = until;
}

std::size_t TargetOracle::assignTarget(const std::string &service, const std::string &region, double crossRegionDelayMs)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    std::size_t best = 0;
    double bestTotalMs = std::numeric_limits<double>::infinity();
    ++m_searchStart;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const std::size_t target = (m_searchStart + i) % m_targets.size();
        if (m_targets[target].service != service) {
            continue;
        }
        const double totalMs = estimateResponseTimeMs(target, now) + (m_targets[target].region == region ? 0 : crossRegionDelayMs);
        if (totalMs < bestTotalMs) {
            best = target;
            bestTotalMs = totalMs;
        }
    }
    ++m_states[best].callsInProgress;
    return best;
}

void TargetOracle::recordCompletion(std::size_t target)
{
    const std::lock_guard lock(m_mutex);
    --m_states[target].callsInProgress;
}

/** Estimates the response time of one more call: its service time plus the time until a slot is free. Unavailable targets get a large penalty. */
double TargetOracle::estimateResponseTimeMs(std::size_t target, TimePoint now) const
{
    const State &state = m_states[target];
    const TargetDescription &description = m_targets[target];
    // Unavailable targets remain candidates, so that a target can be chosen even if none is available.
    const double penaltyMs = state.isAvailable && now >= state.unavailableUntil ? 0 : 1e9;
    const double effectiveServiceTimeMs = description.serviceTimeMs * (now < state.slowdownUntil ? state.slowdownFactor : 1);
    const double queuedRounds
        = state.callsInProgress < description.slots ? 0 : static_cast<double>(state.callsInProgress - description.slots + 1) / description.slots;
    // The last term distributes calls over targets that all have free slots.
    return penaltyMs + effectiveServiceTimeMs * (1 + queuedRounds) + effectiveServiceTimeMs * 1e-3 * state.callsInProgress;
}

} // namespace carobjunction::bench
