#pragma once

#include <carobjunction/process/clock.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** A target as the bench set it up. */
struct TargetDescription {
    std::string service;
    std::string region;
    uint32_t slots = 9;
    double serviceTimeMs = 0;
};

/**
 * The bench's own exact knowledge of every target: its calls in progress, its speed and whether it answers. Source of the oracle's choices,
 * which no real daemon could make. Thread-safe.
 */
class TargetView
{
public:
    explicit TargetView(std::vector<TargetDescription> places);

    /** Sets the speed of a target until a point in time. */
    void setSlowdown(std::size_t target, double slowdownFactor, TimePoint until);

    /** A target that isn't usable is never chosen. */
    void setAvailable(std::size_t target, bool isAvailable);

    /** Makes a target unusable until a point in time. */
    void setUnavailableUntil(std::size_t target, TimePoint until);

    /**
     * Chooses the target with the least time to answer and counts the call to it.
     * @param service  service called
     * @param region  region of the caller's entry
     * @param crossRegionDelayMs  cost of a round trip to another region
     * @return index of the target
     */
    std::size_t assignTarget(const std::string &service, const std::string &region, double crossRegionDelayMs);

    /** Counts a call chosen with choose() as answered. */
    void recordCompletion(std::size_t target);

    const std::vector<TargetDescription> &places() const
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
    std::size_t m_nextIndex = 0; /**< Rotates the order of equals. */
};

} // namespace carobjunction::bench
