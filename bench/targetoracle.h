#pragma once

#include <carobjunction/process/clock.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Static properties of a target, as configured in the experiment. */
struct TargetDescription {
    std::string service;
    std::string region;
    uint32_t slots = 9; /**< Number of requests that the target runs concurrently. */
    double serviceTimeMs = 0; /**< Mean service time without faults. */
};

/**
 * Chooses targets for the policy `oracle` with exact knowledge of every target: its calls in progress, its current slowdown and whether it is available.
 * A real daemon does not have this knowledge, so the oracle is a bound for comparison. Thread-safe.
 */
class TargetOracle
{
public:
    explicit TargetOracle(std::vector<TargetDescription> targetDescriptions);

    /** Sets the factor by which the service time of a target is multiplied until a point in time. */
    void setSlowdown(std::size_t target, double slowdownFactor, TimePoint until);

    /** Sets whether a target is available. Unavailable targets are chosen only if no other target of the service is available. */
    void setAvailable(std::size_t target, bool isAvailable);

    /** Marks a target as unavailable until a point in time. */
    void setUnavailableUntil(std::size_t target, TimePoint until);

    /**
     * Chooses the target with the shortest estimated response time and adds the call to its calls in progress.
     * @param service  service that is called
     * @param region  region in which the call enters the system
     * @param crossRegionDelayMs  round-trip delay to a target in another region
     * @return index of the target
     */
    std::size_t assignTarget(const std::string &service, const std::string &region, double crossRegionDelayMs);

    /** Removes a call that assignTarget() assigned from the calls in progress of its target. */
    void recordCompletion(std::size_t target);

    const std::vector<TargetDescription> &targetDescriptions() const
    {
        return m_targets;
    }

private:
    struct State {
        uint32_t callsInProgress = 0;
        double slowdownFactor = 1;
        TimePoint slowdownUntil {};
        TimePoint unavailableUntil {};
        bool isAvailable = true;
    };

    double estimateResponseTimeMs(std::size_t target, TimePoint now) const;

    const std::vector<TargetDescription> m_targets;
    std::mutex m_mutex;
    std::vector<State> m_states;
    std::size_t m_searchStart = 0; /**< Start index of the last search. Advances with each call, so that equally good targets are chosen in turn. */
};

} // namespace carobjunction::bench
