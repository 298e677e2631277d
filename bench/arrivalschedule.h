#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <random>
#include <vector>

namespace carobjunction::bench
{

/**
 * Arrival times of an open-loop load: a Poisson process, equal for equal seeds, whatever the system under test does.
 * @param callsPerSecond  mean rate
 * @param length  end of the schedule
 * @param seed  seed of the gaps
 * @return times from the start, ascending
 */
inline std::vector<Duration> arrivalSchedule(double callsPerSecond, Duration length, uint64_t seed)
{
    std::vector<Duration> times;
    if (!(callsPerSecond > 0)) {
        return times;
    }
    std::mt19937_64 rng(seed);
    std::exponential_distribution<double> gap(callsPerSecond);
    const double end = std::chrono::duration<double>(length).count();
    for (double at = gap(rng); at < end; at += gap(rng)) {
        times.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
    }
    return times;
}

} // namespace carobjunction::bench
