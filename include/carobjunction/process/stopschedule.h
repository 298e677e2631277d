#pragma once

#include <carobjunction/process/clock.h>

namespace carobjunction
{

/**
 * Schedule of the graceful stop of a daemon within the grace period after which the platform kills the process. It decides which requests of
 * callers may still start, so that each one is either answered in full or refused as not run.
 *
 * Requests are served for a while after the stop request, because callers learn of it with a delay. A request whose expected service time
 * does not fit into the rest of the period is refused, since its answer would be cut off.
 */
class StopSchedule
{
public:
    /** Longest time after the stop request in which requests of callers are served. */
    static constexpr Duration MaxServeDuration = std::chrono::milliseconds(2500);
    /** The same as a share of the grace period, which applies to short grace periods. */
    static constexpr double ServeGraceShare = 0.42;
    /** Share of the grace period after which requests in progress are aborted and answered. */
    static constexpr double AnswerGraceShare = 0.86;
    /** Share of the grace period after which the process ends even if requests are still in progress. */
    static constexpr double ExitGraceShare = 0.93;
    /** A non-idempotent request starts only if this multiple of its expected service time fits, because a cut leaves its outcome unknown. */
    static constexpr double NonIdempotentMargin = 2;

    /**
     * @param requestedAt  time of the stop request
     * @param gracePeriod  time from the stop request to the kill
     */
    StopSchedule(TimePoint requestedAt, Duration gracePeriod);

    /** @return time until which new requests of callers are considered; later ones are refused */
    TimePoint serveUntil() const
    {
        return m_serveUntil;
    }

    /** @return time by which each request must be answered; also the latest deadline that is passed on to a target */
    TimePoint answerBy() const
    {
        return m_answerBy;
    }

    /** @return time at which the process ends at the latest */
    TimePoint exitBy() const
    {
        return m_exitBy;
    }

    /**
     * Decides on an attempt of a request, the first one as well as a retry.
     * @param expectedServiceTime  expected time at the backend server
     * @return whether the attempt may start
     */
    bool mayStart(bool isIdempotent, Duration expectedServiceTime, TimePoint now) const;

private:
    TimePoint m_serveUntil;
    TimePoint m_answerBy;
    TimePoint m_exitBy;
};

} // namespace carobjunction
