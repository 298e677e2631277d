#include <carobjunction/process/waitcorrection.h>

#include <carobjunction/process/durations.h>

#include <algorithm>

namespace carobjunction
{

namespace
{

double ratioOf(Duration waited, Duration predictedWait)
{
    const Duration predicted = std::max<Duration>(predictedWait, WaitCorrection::MinPredictedWait);
    return static_cast<double>(waited.count()) / static_cast<double>(predicted.count());
}

} // namespace

double WaitCorrection::factor(uint32_t priority) const
{
    const auto found = m_factors.find(priority);
    return found == m_factors.end() ? 1 : found->second;
}

void WaitCorrection::observe(uint32_t priority, double ratio)
{
    double &factor = m_factors.try_emplace(priority, 1.0).first->second;
    factor += (std::clamp(ratio, MinFactor, MaxFactor) - factor) * Smoothing;
}

Duration WaitCorrection::corrected(uint32_t priority, Duration predictedWait) const
{
    return scaled(predictedWait, factor(priority));
}

void WaitCorrection::onGranted(uint32_t priority, Duration predictedWait, Duration waited)
{
    // Without a wait, the prediction was not tested; the correction fades.
    observe(priority, waited > Duration::zero() ? ratioOf(waited, predictedWait) : 1);
}

void WaitCorrection::onExpired(uint32_t priority, Duration predictedWait, Duration waited)
{
    // The request would have waited even longer, so its ratio is a lower bound.
    observe(priority, std::max(ratioOf(waited, predictedWait), factor(priority)));
}

} // namespace carobjunction
