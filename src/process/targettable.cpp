#include <carobjunction/process/targettable.h>

namespace carobjunction::detail
{

Verdict verdictOf(const AttemptReport &report)
{
    constexpr int FirstServerError = 500;
    if (report.cancelled) {
        return Verdict::Neutral;
    }
    switch (report.reason) {
    case Reason::Shed:
    case Reason::AnswerLost:
        return Verdict::Failure;
    case Reason::TargetDown:
    case Reason::PeerUnreachable:
        return Verdict::Unreachable;
    case Reason::Full:
    case Reason::AdaptiveLimit:
    case Reason::DeadlineTooShort:
    case Reason::StaleIncarnation:
    case Reason::WrongService:
        return Verdict::Refusal;
    default:
        break;
    }
    switch (report.outcome) {
    case Outcome::Ran:
        return report.status >= FirstServerError ? Verdict::Failure : Verdict::Success;
    case Outcome::Unknown:
        return Verdict::Failure;
    case Outcome::NotRun:
        break;
    }
    return Verdict::Neutral;
}

} // namespace carobjunction::detail
