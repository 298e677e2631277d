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
    case Reason::TargetDown:
    case Reason::PeerUnreachable:
    case Reason::AnswerLost:
        return Verdict::Failure;
    case Reason::Full:
    case Reason::AdaptiveLimit:
    case Reason::CallerShare:
    case Reason::SuspectBusy:
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

Duration medianOf(std::vector<Duration> values)
{
    if (values.empty()) {
        return Duration::zero();
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace carobjunction::detail
