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

/** Why an attempt is made. */
enum class AttemptKind {
    First,
    Reroute, /**< The attempt before was refused, so nothing ran. */
    Retry, /**< The attempt before may have run; only for idempotent requests. */
    Hedge, /**< The attempt before takes longer than usual; only for idempotent requests. */
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

/** Allowances of one request. */
struct AttemptRules {
    bool idempotent = false;
    uint32_t maxReroutes = 3; /**< Attempts after refusals, before the last one that may queue. */
    uint32_t maxRetries = 0;
    std::optional<Duration> hedgeDelay; /**< Time after which an attempt without answer is hedged; empty: no hedges. */
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
};

/** Send the request to a target. */
struct StartAttempt {
    uint32_t number = 0;
    std::string target;
    AttemptKind kind = AttemptKind::First;
    bool mayQueue = false; /**< Whether the request may wait at the target for a slot. */
    bool alone = false; /**< Whether the attempt must run alone, because the one before may have crashed a backend server. */
};

/** Nothing to do before a point in time, unless an attempt ends. */
struct WaitUntil {
    TimePoint at;
};

/** The request has its result. Unfinished attempts are to be cancelled. */
struct FinishCall {
    CallResult result;
};

using PlanStep = std::variant<StartAttempt, WaitUntil, FinishCall>;

/**
 * What the planner needs of its surroundings: `chooseTarget(excluded)` returns the id of a target that is not excluded, or empty;
 * `takeRetryToken()` takes one token of the retry budget, or returns false.
 */
template<typename T>
concept AttemptEnvironment = requires(T &environment, std::span<const std::string> excluded)
{
    {
        environment.chooseTarget(excluded)
        } -> std::same_as<std::optional<std::string>>;
    {
        environment.takeRetryToken()
        } -> std::same_as<bool>;
};

/**
 * Decides on the attempts of one request: re-routes, retries, hedges and the outcome.
 *
 * Guarantees: a non-idempotent request has at most one attempt that may have run; NotRun is the outcome only if every attempt was
 * proven not to have run; no attempt starts at or after the deadline. Not thread-safe.
 */
template<AttemptEnvironment Environment>
class AttemptPlanner
{
public:
    /** @param environment  must outlive the planner */
    AttemptPlanner(Environment &environment, const AttemptRules &rules) : m_environment(environment), m_rules(rules)
    {
    }

    /** @return what to do at @p now; call again after each attempt that ends and at the time asked for */
    PlanStep next(TimePoint now)
    {
        if (m_answer && !m_answerIsRetryable) {
            return FinishCall { *m_answer };
        }
        if (m_rules.deadline.isPast(now)) {
            return FinishCall { resultAtDeadline() };
        }
        if (m_unfinished.empty()) {
            return nextAttempt();
        }
        return hedgeOrWait(now);
    }

    /**
     * Takes the result of an attempt. A result of an attempt that has ended already is ignored.
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
            takeAnswer(attempt, result);
            return;
        case Outcome::NotRun:
            takeRefusal(attempt, result);
            return;
        case Outcome::Unknown:
            takeLoss(attempt, result);
            return;
        }
    }

    /** @return attempts without a result, to be cancelled when the request is finished */
    const std::vector<StartAttempt> &unfinished() const
    {
        return m_unfinished;
    }

    /** @return number of attempts started */
    uint32_t attempts() const
    {
        return m_started;
    }

private:
    // A refusal that another target would repeat ends the request.
    static bool isFinalRefusal(Reason reason)
    {
        return reason == Reason::Condemned || reason == Reason::BodyTooLarge || reason == Reason::Malformed;
    }

    // A target that refused for one of these reasons is not asked again, even when the request may queue.
    static bool isHardRefusal(Reason reason)
    {
        switch (reason) {
        case Reason::Leaving:
        case Reason::StaleIncarnation:
        case Reason::TargetDown:
        case Reason::WrongService:
        case Reason::PeerUnreachable:
        case Reason::Shed:
        case Reason::CallerShare:
            return true;
        default:
            return false;
        }
    }

    static bool isRetryableStatus(int status)
    {
        return status == 500 || status == 502 || status == 503 || status == 504;
    }

    void takeAnswer(const StartAttempt &attempt, const CallResult &result)
    {
        m_answer = result;
        m_answerIsRetryable = m_rules.idempotent && isRetryableStatus(result.status);
        m_excluded.push_back(attempt.target);
        m_nextKind = AttemptKind::Retry;
        m_retryTokenHeld = false;
    }

    void takeRefusal(const StartAttempt &attempt, const CallResult &result)
    {
        m_lastRefusal = result;
        ++m_refusals;
        m_excluded.push_back(attempt.target);
        if (isHardRefusal(result.reason)) {
            m_hardExcluded.push_back(attempt.target);
        }
        m_refusedFinally = m_refusedFinally || isFinalRefusal(result.reason) || (attempt.mayQueue && !isHardRefusal(result.reason));
        if (m_nextKind == AttemptKind::First) {
            m_nextKind = AttemptKind::Reroute;
        }
    }

    void takeLoss(const StartAttempt &attempt, const CallResult &result)
    {
        m_loss = result;
        m_excluded.push_back(attempt.target);
        m_hardExcluded.push_back(attempt.target);
        m_nextAlone = m_nextAlone || result.reason == Reason::AnswerLost;
        m_nextKind = AttemptKind::Retry;
        m_retryTokenHeld = false;
    }

    PlanStep nextAttempt()
    {
        if (m_refusedFinally) {
            return FinishCall { resultWithoutAnswer() };
        }
        if (m_nextKind == AttemptKind::Retry && !mayRetry()) {
            return FinishCall { resultWithoutAnswer() };
        }
        std::optional<std::string> target;
        if (m_refusals < m_rules.maxReroutes && !m_nextAlone) {
            target = m_environment.chooseTarget(m_excluded);
        }
        if (target) {
            return start(std::move(*target), m_nextKind, false);
        }
        return lastAttempt();
    }

    // All targets refused at once or the re-routes are used up: ask the best of them to queue the request.
    PlanStep lastAttempt()
    {
        std::optional<std::string> target;
        if (m_lastAttempts < MaxLastAttempts) {
            target = m_environment.chooseTarget(m_hardExcluded);
        }
        if (!target) {
            return FinishCall { resultWithoutAnswer() };
        }
        ++m_lastAttempts;
        return start(std::move(*target), m_nextKind, true);
    }

    bool mayRetry()
    {
        if (!m_rules.idempotent) {
            return false;
        }
        if (m_retryTokenHeld) {
            return true;
        }
        if (m_retries >= m_rules.maxRetries || !m_environment.takeRetryToken()) {
            return false;
        }
        ++m_retries;
        m_retryTokenHeld = true;
        return true;
    }

    StartAttempt start(std::string target, AttemptKind kind, bool mayQueue)
    {
        StartAttempt attempt { m_started++, std::move(target), kind, mayQueue, m_nextAlone };
        m_unfinished.push_back(attempt);
        m_lastStart.reset();
        return attempt;
    }

    PlanStep hedgeOrWait(TimePoint now)
    {
        if (!m_lastStart) {
            m_lastStart = now;
        }
        if (!mayHedge()) {
            return WaitUntil { m_rules.deadline.at() };
        }
        const TimePoint hedgeAt = *m_lastStart + *m_rules.hedgeDelay;
        if (now < hedgeAt) {
            return WaitUntil { std::min(hedgeAt, m_rules.deadline.at()) };
        }
        m_hedgeDecided = true;
        std::vector<std::string> excluded = m_excluded;
        excluded.push_back(m_unfinished.front().target);
        std::optional<std::string> target;
        if (m_environment.takeRetryToken()) {
            target = m_environment.chooseTarget(excluded);
        }
        if (!target) {
            return WaitUntil { m_rules.deadline.at() };
        }
        return start(std::move(*target), AttemptKind::Hedge, false);
    }

    bool mayHedge() const
    {
        return m_rules.idempotent && m_rules.hedgeDelay && !m_hedgeDecided && !m_nextAlone && m_unfinished.size() == 1;
    }

    CallResult resultWithoutAnswer() const
    {
        if (m_answer) {
            return *m_answer;
        }
        if (m_loss) {
            return *m_loss;
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
        result.outcome = m_unfinished.empty() && !m_loss ? Outcome::NotRun : Outcome::Unknown;
        result.reason = Reason::DeadlineExceeded;
        if (!m_unfinished.empty()) {
            result.target = m_unfinished.front().target;
        }
        return result;
    }

    static constexpr uint32_t MaxLastAttempts = 2;

    Environment &m_environment;
    AttemptRules m_rules;
    std::vector<StartAttempt> m_unfinished;
    std::vector<std::string> m_excluded; /**< Targets that had an attempt. */
    std::vector<std::string> m_hardExcluded; /**< Targets that are not asked again at all. */
    std::optional<CallResult> m_answer;
    std::optional<CallResult> m_loss;
    std::optional<CallResult> m_lastRefusal;
    std::optional<TimePoint> m_lastStart;
    AttemptKind m_nextKind = AttemptKind::First;
    bool m_answerIsRetryable = false;
    bool m_refusedFinally = false;
    bool m_nextAlone = false;
    bool m_hedgeDecided = false;
    bool m_retryTokenHeld = false; /**< A token was taken, and the retry has not been dispatched yet. */
    uint32_t m_started = 0;
    uint32_t m_refusals = 0;
    uint32_t m_retries = 0;
    uint32_t m_lastAttempts = 0;
};

} // namespace carobjunction
