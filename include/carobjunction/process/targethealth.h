#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobjunction
{

/** Phase of outlier ejection and slow start that a target is in. */
enum class TargetPhase {
    Normal, /**< Receives its full share of the calls. */
    Ejected, /**< Receives no calls until the back-off has elapsed. */
    Trial, /**< Receives one call at a time after the back-off. */
    Ramp, /**< Receives a growing share of the calls after a cold start or successful trials. */
};

template<>
struct EnumNames<TargetPhase> {
    static constexpr std::pair<TargetPhase, std::string_view> Table[] = {
        { TargetPhase::Normal, "normal" },
        { TargetPhase::Ejected, "ejected" },
        { TargetPhase::Trial, "trial" },
        { TargetPhase::Ramp, "ramp" },
    };
};

namespace detail
{

/** Tracks latency, failures and ejection of one incarnation of a target, as observed by one entry daemon. Not thread-safe. */
class TargetHealth
{
public:
    /** @param now  start of the ramp after a cold start */
    explicit TargetHealth(TimePoint now) : m_rampStart(now)
    {
    }

    /** Records a complete answer without a server error. */
    void succeeded(TimePoint now, Duration latency);

    /**
     * Records a failed call.
     * @param latency  used only if it exceeds the smoothed latency, because failures are often fast
     */
    void failed(TimePoint now, Duration latency);

    /** Records a refusal by the target's daemon. It does not count as a failure, but must not make the target look idle and so attract calls. */
    void refused(TimePoint now);

    /** Records that the target could not be reached. */
    void unreachable(TimePoint now);

    /** Records a call that was cancelled after @p latency; its full latency would have been longer. */
    void cancelled(TimePoint now, Duration latency);

    /**
     * Postpones the next trial by the back-off, after a trial that did not show whether the target is healthy.
     * @param jitter  as for eject()
     */
    void postponeTrial(TimePoint now, double jitter);

    /**
     * Ejects the target, so that it receives no calls until the back-off has elapsed.
     * @param jitter  random factor near 1 for the back-off
     */
    void eject(TimePoint now, double jitter);

    /** Ends the ejection without trials and starts the ramp. */
    void release(TimePoint now);

    /**
     * @param ramp  length of the ramp
     * @return the phase at @p now; an ejected target changes to Trial when its back-off has elapsed
     */
    TargetPhase phase(TimePoint now, Duration ramp) const;

    /**
     * @param ramp  length of the ramp
     * @return share of calls that the target receives relative to a healthy target after its ramp, up to 1
     */
    double weight(TimePoint now, Duration ramp) const;

    /**
     * @param typical  latency of the other targets, zero if unknown
     * @return name of the rule by which the target should be ejected, empty if none applies
     */
    std::string_view ejectionReason(TimePoint now, Duration typical) const;

    /** @return smoothed latency, empty before the first answer. A latency above @p typical decays to it while the target receives no calls. */
    std::optional<Duration> latency(TimePoint now, Duration typical) const;

    /** @return whether the smoothed latency was updated recently */
    bool isLatencyCurrent(TimePoint now) const;

    /** @return smoothed absolute deviation of the latency */
    Duration deviation() const
    {
        return m_latencyDeviation;
    }

    /** @return smoothed share of failed and refused calls; 0 for isolated failures. Decays while the target receives no calls. */
    double failureShare(TimePoint now) const;

    /** @return number of latencies recorded since the start or the last ejection */
    uint32_t samples() const
    {
        return m_samples;
    }

    /** @return time of the next trial of an ejected target */
    TimePoint ejectedUntil() const
    {
        return m_ejectedUntil;
    }

private:
    void addLatency(TimePoint now, Duration latency);
    void updateFailureShare(TimePoint now, double failure);

    std::optional<Duration> m_latency;
    Duration m_latencyDeviation = Duration::zero();
    TimePoint m_latencyUpdatedAt; // last update of m_latency
    uint32_t m_samples = 0; // latencies recorded since the start or the last ejection
    uint32_t m_attempts = 0; // successes and failures since the start or the last ejection
    uint32_t m_consecutiveFailures = 0;
    uint32_t m_consecutiveUnsuccessful = 0; // consecutive failures and refusals
    double m_failureShare = 0; // smoothed share of failures and refusals
    double m_failureShareWithoutRefusals = 0; // smoothed share of failures alone
    TimePoint m_failureUpdatedAt; // last update of m_failureShare
    bool m_isEjected = false; // ejected or on trial
    TimePoint m_ejectedUntil;
    Duration m_backOff = Duration::zero();
    uint32_t m_ejections = 0; // consecutive ejections, which determine the back-off
    uint32_t m_trialsPassed = 0;
    TimePoint m_rampStart; // start of the ramp
};

} // namespace detail

} // namespace carobjunction
