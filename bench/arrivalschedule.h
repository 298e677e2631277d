#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <random>
#include <vector>

namespace carobjunction::bench
{

/**
 * Generates the arrival times of an open-loop load as a Poisson process. The times depend only on the parameters, not on the responses of the
 * system under test, so that equal seeds give equal schedules.
 * @param callsPerSecond  mean arrival rate; the schedule is empty if this is not positive
 * @param length  duration of the schedule
 * @param seed  seed of the inter-arrival times
 * @return arrival times relative to the start of the schedule, in ascending order
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
