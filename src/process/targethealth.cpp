#include <carobjunction/process/targethealth.h>

#include <algorithm>
#include <cmath>

namespace carobjunction::detail
{

namespace
{

/** Weight of a new sample in the smoothed latency. A target that becomes 10 times slower is detected after two or three answers. */
constexpr double LatencySmoothing = 0.2;

/** Weight of a new result in the smoothed failure shares. */
constexpr double FailureSmoothing = 0.1;

/**
 * Number of consecutive failures and refusals, or smoothed share of them, below which they are ignored. Isolated failures of requests would
 * otherwise shift all calls to the targets without a recent failure.
 */
constexpr uint32_t MinConsecutiveUnsuccessful = 3;
constexpr double MinFailureShare = 0.25;

/** Weight of a refusal relative to a failure. It is lower because a full queue may be empty again after a few service times. */
constexpr double RefusalWeight = 0.2;

/** Factor from the elapsed time of a cancelled call to its estimated latency. Exponentially distributed latencies exceed any elapsed time by their mean. */
constexpr int CancelledLatencyFactor = 2;

/** Consecutive failures that lead to an ejection. A target with 1% of random failures reaches this number once in 10^10 calls. */
constexpr uint32_t ConsecutiveFailureLimit = 5;

/** Share of failures that leads to an ejection, if at least MinAttempts calls were counted. */
constexpr double MaxFailureShare = 0.5;
constexpr uint32_t MinAttempts = 20;

/**
 * Multiple of the other targets' latency that leads to an ejection. It exceeds 3, because a full queue of 18 on 9 slots triples the latency,
 * which is caused by load and not by a failure of the target.
 */
constexpr double SlowLatencyFactor = 5;
constexpr uint32_t MinLatencySamples = 8;

/** Latency difference up to which a slow target is not ejected. */
constexpr Duration MinLatencyExcess = std::chrono::milliseconds(5);

constexpr Duration InitialBackOff = std::chrono::seconds(1);
constexpr Duration MaxBackOff = std::chrono::seconds(60);

/** The back-off of a target is reset if the target is not ejected again within this time after its return. */
constexpr Duration BackOffResetTime = std::chrono::seconds(60);

constexpr uint32_t RequiredTrials = 3;
constexpr double MinWeight = 0.1;

/** Half-lives with which old measurements decay while a target receives no calls, so that it is not avoided permanently. */
constexpr std::chrono::duration<double> LatencyHalfLife { 5 };
constexpr std::chrono::duration<double> FailureHalfLife { 2 };

/** Age up to which a smoothed latency is representative of current calls. */
constexpr Duration MaxLatencyAge = std::chrono::seconds(10);

double decayFactor(Duration elapsed, std::chrono::duration<double> halfLife)
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(elapsed) / halfLife));
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

void TargetHealth::addLatency(TimePoint now, Duration latency)
{
    if (!m_latency) {
        m_latency = latency;
        m_latencyDeviation = latency / 2;
    } else {
        const Duration error = latency - *m_latency;
        m_latency = *m_latency + scaled(error, LatencySmoothing);
        m_latencyDeviation += scaled(std::chrono::abs(error) - m_latencyDeviation, LatencySmoothing);
    }
    m_latencyUpdatedAt = now;
    ++m_samples;
}

void TargetHealth::updateFailureShare(TimePoint now, double failure)
{
    m_consecutiveUnsuccessful += failure > 0 ? 1 : 0;
    m_failureShare *= decayFactor(now - m_failureUpdatedAt, FailureHalfLife);
    m_failureShare += FailureSmoothing * (failure - m_failureShare);
    m_failureUpdatedAt = now;
}

void TargetHealth::succeeded(TimePoint now, Duration latency)
{
    addLatency(now, latency);
    updateFailureShare(now, 0);
    m_consecutiveUnsuccessful = 0;
    m_failureShareWithoutRefusals -= FailureSmoothing * m_failureShareWithoutRefusals;
    ++m_attempts;
    m_consecutiveFailures = 0;
    if (m_isEjected && ++m_trialsPassed >= RequiredTrials) {
        m_isEjected = false;
        m_rampStart = now;
    }
}

void TargetHealth::failed(TimePoint now, Duration latency)
{
    if (m_latency && latency > *m_latency) {
        addLatency(now, latency);
    }
    updateFailureShare(now, 1);
    m_failureShareWithoutRefusals += FailureSmoothing * (1 - m_failureShareWithoutRefusals);
    ++m_attempts;
    ++m_consecutiveFailures;
}

void TargetHealth::refused(TimePoint now)
{
    updateFailureShare(now, RefusalWeight);
}

void TargetHealth::unreachable(TimePoint now)
{
    failed(now, Duration::zero());
    m_failureShare = 1;
}

void TargetHealth::cancelled(TimePoint now, Duration latency)
{
    const Duration estimate = CancelledLatencyFactor * latency;
    if (m_latency && estimate > *m_latency) {
        addLatency(now, estimate);
    }
}

void TargetHealth::postponeTrial(TimePoint now, double jitter)
{
    m_ejectedUntil = now + scaled(m_backOff, jitter);
}

void TargetHealth::eject(TimePoint now, double jitter)
{
    if (now - m_rampStart > BackOffResetTime && !m_isEjected) {
        m_ejections = 0;
    }
    constexpr uint32_t MaxDoublings = 6;
    m_backOff = std::min<Duration>(MaxBackOff, InitialBackOff * (1U << std::min(m_ejections, MaxDoublings)));
    ++m_ejections;
    m_isEjected = true;
    m_ejectedUntil = now + scaled(m_backOff, jitter);
    m_trialsPassed = 0;
    m_attempts = 0;
    m_samples = 0;
    m_consecutiveFailures = 0;
    m_failureShareWithoutRefusals = 0;
    // The trials measure the current latency, so the old value must not count against them.
    m_latency.reset();
}

void TargetHealth::release(TimePoint now)
{
    m_isEjected = false;
    m_rampStart = now;
}

TargetPhase TargetHealth::phase(TimePoint now, Duration ramp) const
{
    if (m_isEjected) {
        return now < m_ejectedUntil ? TargetPhase::Ejected : TargetPhase::Trial;
    }
    return now - m_rampStart < ramp ? TargetPhase::Ramp : TargetPhase::Normal;
}

double TargetHealth::weight(TimePoint now, Duration ramp) const
{
    if (ramp <= Duration::zero()) {
        return 1;
    }
    const double passed = std::chrono::duration<double>(now - m_rampStart) / std::chrono::duration<double>(ramp);
    return std::clamp(passed, MinWeight, 1.0);
}

std::string_view TargetHealth::ejectionReason(TimePoint now, Duration typical) const
{
    if (m_consecutiveFailures >= ConsecutiveFailureLimit || (m_isEjected && m_consecutiveFailures > 0)) {
        return "consecutive-failures";
    }
    if (m_attempts >= MinAttempts && m_failureShareWithoutRefusals > MaxFailureShare) {
        return "failure-share";
    }
    const std::optional<Duration> own = latency(now, typical);
    const bool hasEnoughSamples = m_samples >= MinLatencySamples || (m_isEjected && m_samples > 0);
    if (typical > Duration::zero() && hasEnoughSamples && own && *own > scaled(typical, SlowLatencyFactor) && *own - typical > MinLatencyExcess) {
        return "slow";
    }
    return {};
}

std::optional<Duration> TargetHealth::latency(TimePoint now, Duration typical) const
{
    if (!m_latency || typical <= Duration::zero() || *m_latency <= typical) {
        return m_latency;
    }
    return typical + scaled(*m_latency - typical, decayFactor(now - m_latencyUpdatedAt, LatencyHalfLife));
}

bool TargetHealth::isLatencyCurrent(TimePoint now) const
{
    return m_latency && now - m_latencyUpdatedAt <= MaxLatencyAge;
}

double TargetHealth::failureShare(TimePoint now) const
{
    const double share = m_failureShare * decayFactor(now - m_failureUpdatedAt, FailureHalfLife);
    return m_consecutiveUnsuccessful >= MinConsecutiveUnsuccessful || share >= MinFailureShare ? share : 0;
}

} // namespace carobjunction::detail
