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
struct TargetPlace {
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
    explicit TargetView(std::vector<TargetPlace> places);

    /** Sets the speed of a target until a point in time. */
    void setFactor(std::size_t target, double factor, TimePoint until);

    /** A target that isn't usable is never chosen. */
    void setUsable(std::size_t target, bool usable);

    /** Makes a target unusable until a point in time. */
    void setUnusableUntil(std::size_t target, TimePoint until);

    /**
     * Chooses the target with the least time to answer and counts the call to it.
     * @param service  service called
     * @param region  region of the caller's entry
     * @param regionCostMs  cost of a round trip to another region
     * @return index of the target
     */
    std::size_t choose(const std::string &service, const std::string &region, double regionCostMs);

    /** Counts a call chosen with choose() as answered. */
    void finish(std::size_t target);

    const std::vector<TargetPlace> &places() const
    {
        return m_places;
    }

private:
    struct State {
        uint32_t inProgress = 0;
        double factor = 1;
        TimePoint factorUntil {};
        TimePoint unusableUntil {};
        bool usable = true;
    };

    double cost(std::size_t target, TimePoint now) const;

    const std::vector<TargetPlace> m_places;
    std::mutex m_mutex;
    std::vector<State> m_states;
    std::size_t m_next = 0; /**< Rotates the order of equals. */
};

} // namespace carobjunction::bench
