#include <carobjunction/process/targettable.h>

namespace carobjunction::detail
{

AttemptClass classifyAttempt(const AttemptReport &report)
{
    constexpr int FirstServerError = 500;
    if (report.cancelled) {
        return AttemptClass::Neutral;
    }
    switch (report.reason) {
    case Reason::Shed:
    case Reason::AnswerLost:
    case Reason::AnswerMalformed:
        return AttemptClass::Failure;
    case Reason::TargetDown:
    case Reason::PeerUnreachable:
        return AttemptClass::Unreachable;
    case Reason::Full:
    case Reason::AdaptiveLimit:
    case Reason::DeadlineTooShort:
    case Reason::StaleIncarnation:
    case Reason::WrongService:
        return AttemptClass::Refusal;
    default:
        break;
    }
    switch (report.outcome) {
    case Outcome::Ran:
        return report.status >= FirstServerError ? AttemptClass::Failure : AttemptClass::Success;
    case Outcome::Unknown:
        return AttemptClass::Failure;
    case Outcome::NotRun:
        break;
    }
    return AttemptClass::Neutral;
}

} // namespace carobjunction::detail
