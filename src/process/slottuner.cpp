#include <carobjunction/process/slottuner.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

constexpr uint32_t ComparisonWindow = 150; // number of samples in the moving average of one limit
constexpr uint32_t BaselineWindow = 400; // number of samples in the baseline; covers several trials, so that the baseline does not follow the limit
constexpr double MaxServiceTimeRatio = 4; // bounds the effect of a single outlier

void addSample(SampleMean &mean, double value, uint32_t window)
{
    mean.sampleCount = std::min(mean.sampleCount + 1, window);
    mean.value += (value - mean.value) / mean.sampleCount;
}

void mergeMean(SampleMean &mean, const SampleMean &other)
{
    const uint32_t sampleCount = mean.sampleCount + other.sampleCount;
    if (sampleCount > 0) {
        mean.value = (mean.value * mean.sampleCount + other.value * other.sampleCount) / sampleCount;
    }
    mean.sampleCount = sampleCount;
}

} // namespace

void SlotLimitStatistics::add(const SlotLimitStatistics &other)
{
    mergeMean(upper.serviceTimeRatio, other.upper.serviceTimeRatio);
    mergeMean(upper.running, other.upper.running);
    mergeMean(lower.serviceTimeRatio, other.lower.serviceTimeRatio);
    mergeMean(lower.running, other.lower.running);
}

void SlotTuner::setSlots(uint32_t slots)
{
    if (std::max(slots, 1U) == m_upper) {
        return;
    }
    m_upper = std::max(slots, 1U);
    m_lower = std::max(static_cast<uint32_t>(std::floor(m_upper * LowerLimitShare + 0.001)), 1U);
    m_isUpperBetter = false;
    m_isTrial = false;
    m_statistics = {};
}

SlotTuner::LimitAtStart SlotTuner::onStart(uint32_t running, TimePoint now)
{
    m_isTrial = m_isTrial && now < m_trialEndsAt;
    if (running < limit()) {
        return LimitAtStart::Unloaded;
    }
    if (!m_isTrial && now >= m_nextTrialAt) {
        m_isTrial = true;
        m_trialEndsAt = now + TrialDuration;
        m_nextTrialAt = now + (m_hasEnoughSamples ? TrialInterval : InitialTrialInterval);
    }
    return running >= m_upper ? LimitAtStart::Upper : LimitAtStart::Lower;
}

void SlotTuner::onAnswer(LimitAtStart limitAtStart, uint32_t running, const std::string &kind, double seconds)
{
    SampleMean &baseline = m_baselineSeconds[kind];
    if (limitAtStart != LimitAtStart::Upper || baseline.sampleCount == 0) {
        addSample(baseline, seconds, BaselineWindow);
    }
    if (limitAtStart == LimitAtStart::Unloaded || baseline.value <= 0) {
        return;
    }
    LimitStatistics &means = limitAtStart == LimitAtStart::Lower ? m_statistics.lower : m_statistics.upper;
    const uint32_t concurrencyAtStart = limitAtStart == LimitAtStart::Lower ? m_lower : m_upper;
    addSample(means.serviceTimeRatio, std::min(seconds / baseline.value, MaxServiceTimeRatio), ComparisonWindow);
    addSample(means.running, (concurrencyAtStart + running) / 2.0, ComparisonWindow);
}

void SlotTuner::compareLimits(const SlotLimitStatistics &others)
{
    SlotLimitStatistics statistics = m_statistics;
    statistics.add(others);
    m_hasEnoughSamples = statistics.upper.serviceTimeRatio.sampleCount >= MinSampleCount && statistics.lower.serviceTimeRatio.sampleCount >= MinSampleCount;
    if (m_hasEnoughSamples) {
        m_isUpperBetter = statistics.upper.relativeThroughput() > statistics.lower.relativeThroughput() * MinThroughputGain;
    }
}

} // namespace carobjunction
