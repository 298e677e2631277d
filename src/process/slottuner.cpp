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

void addTo(AnswerMean &mean, const AnswerMean &other)
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
    addTo(upper, other.upper);
    addTo(lower, other.lower);
}

void SlotTuner::setSlots(uint32_t slots)
{
    m_upper = std::max(slots, 1U);
    m_lower = std::max(static_cast<uint32_t>(std::floor(m_upper * LowerShare + 0.001)), 1U);
    m_isLower = false;
    m_starts = 0;
    m_own = {};
}

SlotTuner::Mark SlotTuner::onStart(uint32_t running)
{
    if (running < limit()) {
        return Mark::Unloaded;
    }
    const Mark mark = m_isLower ? Mark::Lower : Mark::Upper;
    if (++m_starts >= EpochStarts) {
        m_starts = 0;
        endEpoch();
    }
    return mark;
}

void SlotTuner::onAnswer(Mark mark, const std::string &kind, double seconds)
{
    AnswerMean &usual = m_usual[kind];
    addTo(usual, seconds, UsualMemory);
    if (mark == Mark::Unloaded || usual.value <= 0) {
        return;
    }
    addTo(mark == Mark::Lower ? m_own.lower : m_own.upper, std::min(seconds / usual.value, LargestRatio), RatioMemory);
}

bool SlotTuner::isLowerBetter(const SlotEvidence &evidence) const
{
    // Requests at once over the time that each takes: the answers per second.
    return m_lower / evidence.lower.value > m_upper / evidence.upper.value;
}

void SlotTuner::endEpoch()
{
    ++m_epochs;
    SlotEvidence evidence = m_own;
    evidence.add(m_others);
    if (evidence.upper.answers < LeastAnswers || evidence.lower.answers < LeastAnswers) {
        m_isLower = !m_isLower;
        return;
    }
    const bool isTrial = m_epochs % TrialInterval == 0;
    m_isLower = isLowerBetter(evidence) != isTrial;
}

} // namespace carobjunction
