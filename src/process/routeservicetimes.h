#pragma once

#include <carobjunction/process/clock.h>

#include <string>
#include <unordered_map>

namespace carobjunction
{

/** Smoothed service time of the requests of each route at a backend server. Not thread-safe. */
class RouteServiceTimes
{
public:
    /** Estimate for a route without samples. */
    static constexpr Duration DefaultEstimate = std::chrono::milliseconds(100);

    /** @return estimated service time of the requests of @p route */
    Duration estimate(const std::string &route) const
    {
        const auto found = m_smoothedTimes.find(route);
        return found == m_smoothedTimes.end() ? DefaultEstimate : found->second;
    }

    /** Adds a sample of the service time of a request. */
    void observe(const std::string &route, Duration serviceTime)
    {
        const auto [found, isNew] = m_smoothedTimes.try_emplace(route, serviceTime);
        if (!isNew) {
            found->second += (serviceTime - found->second) / SmoothingDivisor;
        }
    }

private:
    static constexpr int SmoothingDivisor = 8; // a new sample has a weight of one eighth

    std::unordered_map<std::string, Duration> m_smoothedTimes;
};

} // namespace carobjunction
