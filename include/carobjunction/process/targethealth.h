#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobjunction
{

/** Where a target stands between a full share of the calls and none. */
enum class TargetPhase {
    Normal,
    Ejected, /**< No calls until the back-off has passed. */
    Trial, /**< One call at a time. */
    Ramp, /**< A growing share, after trials or a cold start. */
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

/** Latency, failures and ejection of one incarnation of a target, seen from one entry daemon. Not thread-safe. */
class TargetHealth
{
public:
    /** @param now  start of the cold ramp */
    explicit TargetHealth(TimePoint now) : m_rampFrom(now)
    {
    }

    /** Counts a complete answer without a server error. */
    void succeeded(TimePoint now, Duration latency);

    /** Counts a failure. Its latency is used only if it is worse than the smoothed one. */
    void failed(TimePoint now, Duration latency);

    /** Counts a refusal by the target's daemon, which is no fault but must not attract calls. */
    void refused(TimePoint now);

    /** Counts a call that could not reach the target. */
    void unreachable(TimePoint now);

    /** Counts a call given up after @p latency, which would have taken longer. */
    void cancelled(TimePoint now, Duration latency);

    /** Puts the next trial off, because one ended without telling whether the target is well. @param jitter  as for eject() */
    void postponeTrial(TimePoint now, double jitter);

    /** Stops calls. @param jitter  random factor near 1 for the back-off */
    void eject(TimePoint now, double jitter);

    /** Ends an ejection without a trial. */
    void release(TimePoint now);

    /** @return the phase at @p now; an ejection becomes a trial when its back-off has passed */
    TargetPhase phase(TimePoint now, Duration ramp) const;

    /** @return share of calls that the target gets compared with a warm and healthy one */
    double weight(TimePoint now, Duration ramp) const;

    /** @return evidence for an ejection, empty if there is none. @param typical  latency of the other targets, zero if unknown */
    std::string_view evidence(TimePoint now, Duration typical) const;

    /** @return smoothed latency; empty before the first answer. A high one fades to @p typical while no calls arrive. */
    std::optional<Duration> latency(TimePoint now, Duration typical) const;

    /** @return whether the smoothed latency is of calls that ended a short time ago */
    bool isLatencyCurrent(TimePoint now) const;

    Duration deviation() const
    {
        return m_deviation;
    }

    /** @return smoothed share of failed and refused calls, 0 for isolated ones; fades while no calls arrive */
    double failureShare(TimePoint now) const;

    uint32_t samples() const
    {
        return m_samples;
    }

    TimePoint ejectedUntil() const
    {
        return m_ejectedUntil;
    }

private:
    void addLatency(TimePoint now, Duration latency);
    void addFailure(TimePoint now, double failure);

    std::optional<Duration> m_latency;
    Duration m_deviation = Duration::zero();
    TimePoint m_latencyAt;
    uint32_t m_samples = 0; // latencies since the start or the last ejection
    uint32_t m_attempts = 0; // finished calls since the start or the last ejection
    uint32_t m_consecutiveFailures = 0;
    uint32_t m_badInARow = 0; // failures and refusals
    double m_failureShare = 0;
    double m_faultShare = 0; // without refusals by the target's daemon
    TimePoint m_failureAt;
    bool m_ejected = false; // or on trial
    TimePoint m_ejectedUntil;
    Duration m_backOff = Duration::zero();
    uint32_t m_ejections = 0; // in a row
    uint32_t m_trialsPassed = 0;
    TimePoint m_rampFrom;
};

} // namespace detail

} // namespace carobjunction
