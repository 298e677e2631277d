#pragma once

#include <carobjunction/request/callresult.h>

#include <algorithm>
#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carobjunction
{

/** Reason for which an attempt is made. */
enum class AttemptKind {
    First,
    Reroute, /**< The previous attempt was refused and did not run. */
    Retry, /**< The previous attempt ran and failed, or may have run; only for idempotent requests. */
    Hedge, /**< The previous attempt is still running after the hedge delay; only for idempotent requests. */
};

template<>
struct EnumNames<AttemptKind> {
    static constexpr std::pair<AttemptKind, std::string_view> Table[] = {
        { AttemptKind::First, "first" },
        { AttemptKind::Reroute, "reroute" },
        { AttemptKind::Retry, "retry" },
        { AttemptKind::Hedge, "hedge" },
    };
};

/** Limits on the attempts of one request. */
struct AttemptRules {
    bool idempotent = false;
    uint32_t maxReroutes = 3; /**< Maximum number of refused attempts before the request may be queued at a target. */
    uint32_t maxRetries = 0; /**< Maximum number of retries; only for idempotent requests. */
    std::optional<Duration> hedgeDelay; /**< Time without a result after which an attempt is hedged; empty disables hedging. */
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
};

/** Planner step: send the request to a target. */
struct StartAttempt {
    uint32_t number = 0;
    std::string target;
    AttemptKind kind = AttemptKind::First;
    bool mayQueue = false; /**< Whether the request may wait at the target for a slot. */
    bool isExclusive = false; /**< Whether the backend server must run nothing else meanwhile, because an earlier attempt may have crashed one. */
};

/** Planner step: wait for the result of an attempt, at most until a point in time. */
struct WaitUntil {
    TimePoint timePoint;
};

/** Planner step: return the result and cancel the unfinished attempts. */
struct FinishCall {
    CallResult result;
};

using PlanStep = std::variant<StartAttempt, WaitUntil, FinishCall>;

/**
 * Environment of the planner: `chooseTarget(excluded)` returns the id of a target that is not excluded, or empty; `tryAcquireRetryToken()`
 * acquires one token of the retry budget and returns false if none is left.
 */
template<typename T>
concept AttemptEnvironment = requires(T &environment, std::span<const std::string> excluded)
{
    {
        environment.chooseTarget(excluded)
        } -> std::same_as<std::optional<std::string>>;
    {
        environment.tryAcquireRetryToken()
        } -> std::same_as<bool>;
};

/**
 * Plans the attempts of one request (re-routes, retries and hedges) and determines its outcome. Not thread-safe.
 *
 * Guarantees:
 * - At most one attempt of a non-idempotent request may have run.
 * - The outcome is NotRun only if every attempt is proven not to have run.
 * - No attempt starts at or after the deadline.
 */
template<AttemptEnvironment Environment>
class AttemptPlanner
{
public:
    /** @param environment  source of targets and retry tokens; must outlive the planner */
    AttemptPlanner(Environment &environment, const AttemptRules &rules) : m_environment(environment), m_rules(rules)
    {
    }

    /**
     * Returns the next step. Must be called again after each result and when the time of a WaitUntil step is reached.
     * @param now  the current time
     */
    PlanStep nextStep(TimePoint now)
    {
        if (m_answer && !m_isAnswerRetryable) {
            return FinishCall { *m_answer };
        }
        if (m_rules.deadline.hasPassed(now)) {
            return FinishCall { resultAtDeadline() };
        }
        if (m_unfinished.empty()) {
            return startNextAttempt();
        }
        return hedgeOrWait(now);
    }

    /**
     * Processes the result of an attempt. A second result of the same attempt is ignored.
     * @param number  number of the attempt
     */
    void onResult(uint32_t number, const CallResult &result)
    {
        const auto found = std::find_if(m_unfinished.begin(), m_unfinished.end(), [number](const StartAttempt &attempt) { return attempt.number == number; });
        if (found == m_unfinished.end()) {
            return;
        }
        const StartAttempt attempt = *found;
        m_unfinished.erase(found);
        switch (result.outcome) {
        case Outcome::Ran:
            handleAnswer(attempt, result);
            return;
        case Outcome::NotRun:
            handleRefusal(attempt, result);
            return;
        case Outcome::Unknown:
            handleUnknownOutcome(attempt, result);
            return;
        }
    }

    /** @return the attempts without a result, which must be cancelled when the request is finished */
    const std::vector<StartAttempt> &unfinishedAttempts() const
    {
        return m_unfinished;
    }

    /** @return the number of attempts started */
    uint32_t attempts() const
    {
        return m_startedCount;
    }

private:
    // Any other target would refuse the request for the same reason, so the request ends.
    static bool isTerminalRefusal(Reason reason)
    {
        return reason == Reason::Condemned || reason == Reason::BodyTooLarge || reason == Reason::Malformed;
    }

    // The target would refuse the request again even if it may be queued, so the target is excluded from all further attempts.
    static bool isPermanentRefusal(Reason reason)
    {
        switch (reason) {
        case Reason::Leaving:
        case Reason::StaleIncarnation:
        case Reason::TargetDown:
        case Reason::WrongService:
        case Reason::PeerUnreachable:
        case Reason::Shed:
        case Reason::CallerShare:
        case Reason::SuspectBusy:
            return true;
        default:
            return false;
        }
    }

    static bool isRetryableStatus(int status)
    {
        return status == 500 || status == 502 || status == 503 || status == 504;
    }

    void handleAnswer(const StartAttempt &attempt, const CallResult &result)
    {
        m_answer = result;
        m_isAnswerRetryable = m_rules.idempotent && isRetryableStatus(result.status);
        m_attemptedTargets.push_back(attempt.target);
        m_nextAttemptKind = AttemptKind::Retry;
        m_hasRetryToken = false;
    }

    void handleRefusal(const StartAttempt &attempt, const CallResult &result)
    {
        m_lastRefusal = result;
        ++m_refusalCount;
        m_attemptedTargets.push_back(attempt.target);
        if (isPermanentRefusal(result.reason)) {
            m_permanentlyExcluded.push_back(attempt.target);
        }
        m_hasTerminalRefusal = m_hasTerminalRefusal || isTerminalRefusal(result.reason) || (attempt.mayQueue && !isPermanentRefusal(result.reason));
        if (m_nextAttemptKind == AttemptKind::First) {
            m_nextAttemptKind = AttemptKind::Reroute;
        }
    }

    void handleUnknownOutcome(const StartAttempt &attempt, const CallResult &result)
    {
        m_unknownResult = result;
        m_attemptedTargets.push_back(attempt.target);
        m_permanentlyExcluded.push_back(attempt.target);
        m_isNextExclusive = m_isNextExclusive || maySignalCrash(result.reason);
        m_nextAttemptKind = AttemptKind::Retry;
        m_hasRetryToken = false;
    }

    PlanStep startNextAttempt()
    {
        if (m_hasTerminalRefusal) {
            return FinishCall { bestAvailableResult() };
        }
        if (m_nextAttemptKind == AttemptKind::Retry && !tryReserveRetry()) {
            return FinishCall { bestAvailableResult() };
        }
        std::optional<std::string> target;
        if (m_refusalCount < m_rules.maxReroutes && !m_isNextExclusive) {
            target = m_environment.chooseTarget(m_attemptedTargets);
        }
        if (target) {
            return startAttempt(std::move(*target), m_nextAttemptKind, false);
        }
        return startQueuedAttempt();
    }

    // No untried target is left or the limit of re-routes is reached: sends the request to the best remaining target, which may queue it.
    PlanStep startQueuedAttempt()
    {
        std::optional<std::string> target;
        if (m_queuedAttemptCount < MaxQueuedAttempts) {
            target = m_environment.chooseTarget(m_permanentlyExcluded);
        }
        if (!target) {
            return FinishCall { bestAvailableResult() };
        }
        ++m_queuedAttemptCount;
        return startAttempt(std::move(*target), m_nextAttemptKind, true);
    }

    bool tryReserveRetry()
    {
        if (!m_rules.idempotent) {
            return false;
        }
        if (m_hasRetryToken) {
            return true;
        }
        if (m_retryCount >= m_rules.maxRetries || !m_environment.tryAcquireRetryToken()) {
            return false;
        }
        ++m_retryCount;
        m_hasRetryToken = true;
        return true;
    }

    StartAttempt startAttempt(std::string target, AttemptKind kind, bool mayQueue)
    {
        StartAttempt attempt { m_startedCount++, std::move(target), kind, mayQueue, m_isNextExclusive };
        m_unfinished.push_back(attempt);
        m_hedgeTimerStart.reset();
        return attempt;
    }

    PlanStep hedgeOrWait(TimePoint now)
    {
        if (!m_hedgeTimerStart) {
            m_hedgeTimerStart = now;
        }
        if (!mayHedge()) {
            return WaitUntil { m_rules.deadline.timePoint() };
        }
        const TimePoint hedgeAt = *m_hedgeTimerStart + *m_rules.hedgeDelay;
        if (now < hedgeAt) {
            return WaitUntil { std::min(hedgeAt, m_rules.deadline.timePoint()) };
        }
        m_hasTriedHedge = true;
        std::vector<std::string> excluded = m_attemptedTargets;
        excluded.push_back(m_unfinished.front().target);
        std::optional<std::string> target;
        if (m_environment.tryAcquireRetryToken()) {
            target = m_environment.chooseTarget(excluded);
        }
        if (!target) {
            return WaitUntil { m_rules.deadline.timePoint() };
        }
        return startAttempt(std::move(*target), AttemptKind::Hedge, false);
    }

    bool mayHedge() const
    {
        return m_rules.idempotent && m_rules.hedgeDelay && !m_hasTriedHedge && !m_isNextExclusive && m_unfinished.size() == 1;
    }

    CallResult bestAvailableResult() const
    {
        if (m_answer) {
            return *m_answer;
        }
        if (m_unknownResult) {
            return *m_unknownResult;
        }
        if (m_lastRefusal) {
            return *m_lastRefusal;
        }
        CallResult result;
        result.reason = Reason::NoTarget;
        return result;
    }

    CallResult resultAtDeadline() const
    {
        if (m_answer) {
            return *m_answer;
        }
        CallResult result;
        result.outcome = m_unfinished.empty() && !m_unknownResult ? Outcome::NotRun : Outcome::Unknown;
        result.reason = Reason::DeadlineExceeded;
        if (!m_unfinished.empty()) {
            result.target = m_unfinished.front().target;
        }
        return result;
    }

    static constexpr uint32_t MaxQueuedAttempts = 2;

    Environment &m_environment;
    AttemptRules m_rules;
    std::vector<StartAttempt> m_unfinished;
    std::vector<std::string> m_attemptedTargets; /**< Targets whose attempts have ended. */
    std::vector<std::string> m_permanentlyExcluded; /**< Targets excluded even from attempts that may be queued. */
    std::optional<CallResult> m_answer;
    std::optional<CallResult> m_unknownResult; /**< Latest result with the outcome Unknown. */
    std::optional<CallResult> m_lastRefusal;
    std::optional<TimePoint> m_hedgeTimerStart; /**< Start of the hedge delay; reset by each attempt. */
    AttemptKind m_nextAttemptKind = AttemptKind::First;
    bool m_isAnswerRetryable = false;
    bool m_hasTerminalRefusal = false; /**< Whether a refusal rules out further attempts. */
    bool m_isNextExclusive = false;
    bool m_hasTriedHedge = false;
    bool m_hasRetryToken = false; /**< Whether the token of the next retry is already acquired; kept if a target refuses the retry. */
    uint32_t m_startedCount = 0;
    uint32_t m_refusalCount = 0;
    uint32_t m_retryCount = 0;
    uint32_t m_queuedAttemptCount = 0;
};

} // namespace carobjunction
