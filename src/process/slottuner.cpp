#include <carobjunction/process/slottuner.h>

#include <algorithm>
#include <cmath>

namespace carobjunction
{

namespace
{

constexpr uint32_t RatioMemory = 150; // answers that the mean under one limit reaches back
constexpr uint32_t UsualMemory = 400; // longer than a few epochs, so that it does not follow the limit
constexpr double LargestRatio = 4; // bounds what a single straggler adds

void addTo(AnswerMean &mean, double value, uint32_t memory)
{
    mean.answers = std::min(mean.answers + 1, memory);
    mean.value += (value - mean.value) / mean.answers;
}

void merge(AnswerMean &mean, const AnswerMean &other)
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
    merge(upper.ratio, other.upper.ratio);
    merge(upper.running, other.upper.running);
    merge(lower.ratio, other.lower.ratio);
    merge(lower.running, other.lower.running);
}

void SlotTuner::setSlots(uint32_t slots)
{
    if (std::max(slots, 1U) == m_upper) {
        return;
    }
    m_upper = std::max(slots, 1U);
    m_lower = std::max(static_cast<uint32_t>(std::floor(m_upper * LowerShare + 0.001)), 1U);
    m_isUpperBetter = false;
    m_isTrial = false;
    m_own = {};
}

SlotTuner::Mark SlotTuner::onStart(uint32_t running, TimePoint now)
{
    m_isTrial = m_isTrial && now < m_trialEndsAt;
    if (running < limit()) {
        return Mark::Unloaded;
    }
    if (!m_isTrial && now >= m_nextTrialAt) {
        m_isTrial = true;
        m_trialEndsAt = now + TrialTime;
        m_nextTrialAt = now + (m_hasLearned ? TrialInterval : FirstTrialInterval);
    }
    return running >= m_upper ? Mark::Upper : Mark::Lower;
}

void SlotTuner::onAnswer(Mark mark, uint32_t running, const std::string &kind, double seconds)
{
    AnswerMean &usual = m_usual[kind];
    if (mark != Mark::Upper || usual.answers == 0) {
        addTo(usual, seconds, UsualMemory);
    }
    if (mark == Mark::Unloaded || usual.value <= 0) {
        return;
    }
    LimitMeans &means = mark == Mark::Lower ? m_own.lower : m_own.upper;
    const uint32_t atStart = mark == Mark::Lower ? m_lower : m_upper;
    addTo(means.ratio, std::min(seconds / usual.value, LargestRatio), RatioMemory);
    addTo(means.running, (atStart + running) / 2.0, RatioMemory);
}

void SlotTuner::learn(const SlotEvidence &others)
{
    SlotEvidence evidence = m_own;
    evidence.add(others);
    m_hasLearned = evidence.upper.ratio.answers >= LeastAnswers && evidence.lower.ratio.answers >= LeastAnswers;
    if (m_hasLearned) {
        m_isUpperBetter = evidence.upper.rate() > evidence.lower.rate() * UpperAdvantage;
    }
}

} // namespace carobjunction
