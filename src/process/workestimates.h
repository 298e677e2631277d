#pragma once

#include <carobjunction/process/clock.h>

#include <string>
#include <unordered_map>

namespace carobjunction
{

/** Smoothed time that the requests of each route take at a backend server. Not thread-safe. */
class WorkEstimates
{
public:
    /** Estimate for a route of which no request was seen. */
    static constexpr Duration Initial = std::chrono::milliseconds(100);

    Duration estimate(const std::string &route) const
    {
        const auto found = m_means.find(route);
        return found == m_means.end() ? Initial : found->second;
    }

    void observe(const std::string &route, Duration work)
    {
        const auto [found, isNew] = m_means.try_emplace(route, work);
        if (!isNew) {
            found->second += (work - found->second) / ObservationDivisor;
        }
    }

private:
    static constexpr int ObservationDivisor = 8; // a new observation counts for an eighth of the mean

    std::unordered_map<std::string, Duration> m_means;
};

} // namespace carobjunction
