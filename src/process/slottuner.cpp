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
    mean.answers = std::min(mean.answers + 1, window);
    mean.value += (value - mean.value) / mean.answers;
}

void mergeMean(SampleMean &mean, const SampleMean &other)
{
    const uint32_t answers = mean.answers + other.answers;
    if (answers > 0) {
        mean.value = (mean.value * mean.answers + other.value * other.answers) / answers;
    }
    mean.answers = answers;
}

} // namespace

void SlotEvidence::add(const SlotEvidence &other)
{
    mergeMean(upper.ratio, other.upper.ratio);
    mergeMean(upper.running, other.upper.running);
    mergeMean(lower.ratio, other.lower.ratio);
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

SlotTuner::Mark SlotTuner::onStart(uint32_t running, TimePoint now)
{
    m_isTrial = m_isTrial && now < m_trialEndsAt;
    if (running < limit()) {
        return Mark::Unloaded;
    }
    if (!m_isTrial && now >= m_nextTrialAt) {
        m_isTrial = true;
        m_trialEndsAt = now + TrialDuration;
        m_nextTrialAt = now + (m_hasEnoughSamples ? TrialInterval : InitialTrialInterval);
    }
    return running >= m_upper ? Mark::Upper : Mark::Lower;
}

void SlotTuner::onAnswer(Mark limitAtStart, uint32_t running, const std::string &kind, double seconds)
{
    SampleMean &baseline = m_baselineSeconds[kind];
    if (limitAtStart != Mark::Upper || baseline.answers == 0) {
        addSample(baseline, seconds, BaselineWindow);
    }
    if (limitAtStart == Mark::Unloaded || baseline.value <= 0) {
        return;
    }
    LimitMeans &means = limitAtStart == Mark::Lower ? m_statistics.lower : m_statistics.upper;
    const uint32_t concurrencyAtStart = limitAtStart == Mark::Lower ? m_lower : m_upper;
    addSample(means.ratio, std::min(seconds / baseline.value, MaxServiceTimeRatio), ComparisonWindow);
    addSample(means.running, (concurrencyAtStart + running) / 2.0, ComparisonWindow);
}

void SlotTuner::learn(const SlotEvidence &others)
{
    SlotEvidence evidence = m_statistics;
    evidence.add(others);
    m_hasEnoughSamples = evidence.upper.ratio.answers >= MinSampleCount && evidence.lower.ratio.answers >= MinSampleCount;
    if (m_hasEnoughSamples) {
        m_isUpperBetter = evidence.upper.rate() > evidence.lower.rate() * MinThroughputGain;
    }
}

} // namespace carobjunction
