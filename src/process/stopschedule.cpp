#include <carobjunction/process/stopschedule.h>

#include <carobjunction/process/durations.h>

#include <algorithm>

namespace carobjunction
{

StopSchedule::StopSchedule(TimePoint requestedAt, Duration gracePeriod)
    : m_serveUntil(requestedAt + std::min(MaxServeDuration, scaled(gracePeriod, ServeGraceShare)))
    , m_answerBy(requestedAt + scaled(gracePeriod, AnswerGraceShare))
    , m_exitBy(requestedAt + scaled(gracePeriod, ExitGraceShare))
{
}

bool StopSchedule::mayStart(bool isIdempotent, Duration expectedServiceTime, TimePoint now) const
{
    return now + scaled(expectedServiceTime, isIdempotent ? 1 : NonIdempotentMargin) < m_answerBy;
}

} // namespace carobjunction
