#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <map>

namespace carobjunction
{

/**
 * Corrects the predicted waiting times of a queue by those that were observed, for each priority. Under sustained load, requests of higher
 * priority keep overtaking those that wait, so that a prediction from the present queue alone is too short: requests of lower priority
 * would be queued, held until they are late, and then refused. Not thread-safe.
 */
class WaitCorrection
{
public:
    /** Bounds of the ratio of the observed to the predicted wait. */
    static constexpr double MinFactor = 0.5;
    static constexpr double MaxFactor = 6;
    /** Weight of one wait in the moving average of the ratio. */
    static constexpr double Smoothing = 0.1;
    /** Shorter predictions are too uncertain for a ratio; they count as this long. */
    static constexpr Duration MinPredictedWait = std::chrono::milliseconds(10);

    /** @return the wait to expect for a request of @p priority, given the prediction from the queue */
    Duration corrected(uint32_t priority, Duration predictedWait) const;

    /** Records that a request got a slot after it had waited for @p waited; zero if it did not have to wait. */
    void onGranted(uint32_t priority, Duration predictedWait, Duration waited);

    /** Records that a request was refused after it had waited for @p waited without getting a slot. */
    void onExpired(uint32_t priority, Duration predictedWait, Duration waited);

private:
    double factor(uint32_t priority) const;
    void observe(uint32_t priority, double ratio);

    std::map<uint32_t, double> m_factors; /**< Smoothed ratios; 1 for a priority without an entry. */
};

} // namespace carobjunction
