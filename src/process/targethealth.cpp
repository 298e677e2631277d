#include <carobjunction/process/targethealth.h>

#include <algorithm>
#include <cmath>

namespace carobjunction::detail
{

namespace
{

/** Weight of a new latency in the smoothed one: a straggler of 10 times shows after two or three answers. */
constexpr double LatencySmoothing = 0.2;

constexpr double FailureSmoothing = 0.1;

/**
 * Failures and refusals in a row, or smoothed share of them, from which they count. Isolated errors of requests would
 * otherwise drive all calls to the target that had none lately.
 */
constexpr uint32_t LeastBadInARow = 3;
constexpr double LeastFailureShare = 0.25;

/** Refusals count less than faults: a full queue may be empty again after a few service times. */
constexpr double RefusalValue = 0.2;

/** A call that was given up would have taken longer; for exponential latencies, longer by the mean. */
constexpr int CancelledFactor = 2;

/** Failures in a row that eject. A target with 1% of random failures reaches this once in 10^10 calls. */
constexpr uint32_t ConsecutiveLimit = 5;

/** Share of faults that ejects, once enough calls were seen. */
constexpr double FaultLimit = 0.5;
constexpr uint32_t LeastAttempts = 20;

/**
 * Multiple of the others' latency that ejects. A full queue of 18 over 9 slots makes a call 3 times as long, which is
 * load and no fault, so the limit lies above that.
 */
constexpr double SlowFactor = 5;
constexpr uint32_t LeastSamples = 8;

/** Differences below this are not worth an ejection. */
constexpr Duration SlowFloor = std::chrono::milliseconds(5);

constexpr Duration FirstEjection = std::chrono::seconds(1);
constexpr Duration LongestEjection = std::chrono::seconds(60);

/** Time after a return without a further ejection that resets the back-off. */
constexpr Duration BackOffReset = std::chrono::seconds(60);

constexpr uint32_t TrialsNeeded = 3;
constexpr double LeastWeight = 0.1;

/** Times in which old evidence counts half while no calls arrive, so that a target is not avoided for good. */
constexpr std::chrono::duration<double> LatencyHalfLife { 5 };
constexpr std::chrono::duration<double> FailureHalfLife { 2 };

/** Time for which a latency tells what calls take now. */
constexpr Duration LatencyValidity = std::chrono::seconds(10);

double fade(Duration elapsed, std::chrono::duration<double> halfLife)
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
        m_deviation = latency / 2;
    } else {
        const Duration error = latency - *m_latency;
        m_latency = *m_latency + scaled(error, LatencySmoothing);
        m_deviation += scaled(std::chrono::abs(error) - m_deviation, LatencySmoothing);
    }
    m_latencyAt = now;
    ++m_samples;
}

void TargetHealth::addFailure(TimePoint now, double failure)
{
    m_badInARow += failure > 0 ? 1 : 0;
    m_failureShare *= fade(now - m_failureAt, FailureHalfLife);
    m_failureShare += FailureSmoothing * (failure - m_failureShare);
    m_failureAt = now;
}

void TargetHealth::succeeded(TimePoint now, Duration latency)
{
    addLatency(now, latency);
    addFailure(now, 0);
    m_badInARow = 0;
    m_faultShare -= FailureSmoothing * m_faultShare;
    ++m_attempts;
    m_consecutiveFailures = 0;
    if (m_ejected && ++m_trialsPassed >= TrialsNeeded) {
        m_ejected = false;
        m_rampFrom = now;
    }
}

void TargetHealth::failed(TimePoint now, Duration latency)
{
    if (m_latency && latency > *m_latency) {
        addLatency(now, latency);
    }
    addFailure(now, 1);
    m_faultShare += FailureSmoothing * (1 - m_faultShare);
    ++m_attempts;
    ++m_consecutiveFailures;
}

void TargetHealth::refused(TimePoint now)
{
    addFailure(now, RefusalValue);
}

void TargetHealth::unreachable(TimePoint now)
{
    failed(now, Duration::zero());
    m_failureShare = 1;
}

void TargetHealth::cancelled(TimePoint now, Duration latency)
{
    const Duration estimate = CancelledFactor * latency;
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
    if (now - m_rampFrom > BackOffReset && !m_ejected) {
        m_ejections = 0;
    }
    constexpr uint32_t MostDoublings = 6;
    m_backOff = std::min<Duration>(LongestEjection, FirstEjection * (1U << std::min(m_ejections, MostDoublings)));
    ++m_ejections;
    m_ejected = true;
    m_ejectedUntil = now + scaled(m_backOff, jitter);
    m_trialsPassed = 0;
    m_attempts = 0;
    m_samples = 0;
    m_consecutiveFailures = 0;
    m_faultShare = 0;
    // The trials show what the latency is now; the old one must not count against them.
    m_latency.reset();
}

void TargetHealth::release(TimePoint now)
{
    m_ejected = false;
    m_rampFrom = now;
}

TargetPhase TargetHealth::phase(TimePoint now, Duration ramp) const
{
    if (m_ejected) {
        return now < m_ejectedUntil ? TargetPhase::Ejected : TargetPhase::Trial;
    }
    return now - m_rampFrom < ramp ? TargetPhase::Ramp : TargetPhase::Normal;
}

double TargetHealth::weight(TimePoint now, Duration ramp) const
{
    if (ramp <= Duration::zero()) {
        return 1;
    }
    const double passed = std::chrono::duration<double>(now - m_rampFrom) / std::chrono::duration<double>(ramp);
    return std::clamp(passed, LeastWeight, 1.0);
}

std::string_view TargetHealth::evidence(TimePoint now, Duration typical) const
{
    if (m_consecutiveFailures >= ConsecutiveLimit || (m_ejected && m_consecutiveFailures > 0)) {
        return "consecutive-failures";
    }
    if (m_attempts >= LeastAttempts && m_faultShare > FaultLimit) {
        return "failure-share";
    }
    const std::optional<Duration> own = latency(now, typical);
    const bool enough = m_samples >= LeastSamples || (m_ejected && m_samples > 0);
    if (typical > Duration::zero() && enough && own && *own > scaled(typical, SlowFactor) && *own - typical > SlowFloor) {
        return "slow";
    }
    return {};
}

std::optional<Duration> TargetHealth::latency(TimePoint now, Duration typical) const
{
    if (!m_latency || typical <= Duration::zero() || *m_latency <= typical) {
        return m_latency;
    }
    return typical + scaled(*m_latency - typical, fade(now - m_latencyAt, LatencyHalfLife));
}

bool TargetHealth::isLatencyCurrent(TimePoint now) const
{
    return m_latency && now - m_latencyAt <= LatencyValidity;
}

double TargetHealth::failureShare(TimePoint now) const
{
    const double share = m_failureShare * fade(now - m_failureAt, FailureHalfLife);
    return m_badInARow >= LeastBadInARow || share >= LeastFailureShare ? share : 0;
}

} // namespace carobjunction::detail
