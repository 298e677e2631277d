#include <carobjunction/request/attemptplanner.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

class FakeEnvironment
{
public:
    std::optional<std::string> chooseTarget(std::span<const std::string> excluded)
    {
        for (int index = 0; index < targets; ++index) {
            const std::string id = "t" + std::to_string(index);
            if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
                return id;
            }
        }
        return std::nullopt;
    }

    bool tryAcquireRetryToken()
    {
        if (tokens == 0) {
            return false;
        }
        --tokens;
        ++acquiredTokens;
        return true;
    }

    int targets = 5;
    int tokens = 10;
    int acquiredTokens = 0;
};

CallResult makeResult(Outcome outcome, Reason reason, int status = 0)
{
    CallResult result;
    result.outcome = outcome;
    result.reason = reason;
    result.status = status;
    return result;
}

class AttemptPlannerFixture
{
public:
    AttemptRules rules()
    {
        AttemptRules rules;
        rules.deadline = Deadline::after(now, 1s);
        return rules;
    }

    FakeEnvironment environment;
    TimePoint now = TimePoint {} + 1h;
};

struct Trace {
    CallResult result;
    int possiblyRan = 0; /**< Attempts whose outcome is Ran or Unknown, or that never completed. */
    int refused = 0;
    int retriesAndHedges = 0;
    int started = 0;
    int startedAtDeadline = 0;
};

// Runs a planner with generated attempt results until it finishes the call.
Trace runPlan(FakeEnvironment &environment, const AttemptRules &rules, TimePoint now)
{
    AttemptPlanner<FakeEnvironment> planner(environment, rules);
    Trace trace;
    for (int step = 0; step < 200; ++step) {
        const PlanStep nextStep = planner.nextStep(now);
        if (const auto *finish = std::get_if<FinishCall>(&nextStep)) {
            trace.result = finish->result;
            trace.possiblyRan += static_cast<int>(planner.unfinishedAttempts().size());
            return trace;
        }
        if (const auto *start = std::get_if<StartAttempt>(&nextStep)) {
            ++trace.started;
            trace.startedAtDeadline += rules.deadline.hasPassed(now) ? 1 : 0;
            trace.retriesAndHedges += start->kind == AttemptKind::Retry || start->kind == AttemptKind::Hedge ? 1 : 0;
        }
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        if (planner.unfinishedAttempts().empty() || *rc::gen::inRange(0, 3) == 0) {
            continue;
        }
        const uint32_t number = planner.unfinishedAttempts()[*rc::gen::inRange<size_t>(0, planner.unfinishedAttempts().size())].number;
        const auto outcome = *rc::gen::element(Outcome::Ran, Outcome::NotRun, Outcome::Unknown);
        const auto reason = *rc::gen::element(Reason::Full, Reason::Leaving, Reason::AnswerLost, Reason::PeerUnreachable, Reason::DeadlineTooShort);
        trace.possiblyRan += outcome == Outcome::NotRun ? 0 : 1;
        trace.refused += outcome == Outcome::NotRun ? 1 : 0;
        planner.onResult(number, makeResult(outcome, reason, *rc::gen::element(200, 404, 500, 503)));
    }
    RC_FAIL("the planner did not finish");
    return trace;
}

} // namespace

TEST_CASE("AttemptPlanner.anyResults.runAtMostOnceAndOutcomeIsCorrect")
{
    // Guards against a non-idempotent request that runs twice, a false "not run", attempts after the deadline and retries without a token.
    CHECK(rc::check("attempts and outcome", [] {
        FakeEnvironment environment;
        environment.targets = *rc::gen::inRange(0, 6);
        environment.tokens = *rc::gen::inRange(0, 4);
        const TimePoint now = TimePoint {} + 1h;
        AttemptRules rules;
        rules.idempotent = *rc::gen::arbitrary<bool>();
        rules.maxRetries = *rc::gen::inRange(0U, 4U);
        rules.maxReroutes = *rc::gen::inRange(0U, 5U);
        rules.deadline = Deadline::after(now, std::chrono::milliseconds(*rc::gen::inRange(0, 1500)));
        if (*rc::gen::arbitrary<bool>()) {
            rules.hedgeDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        }
        const Trace trace = runPlan(environment, rules, now);
        RC_ASSERT(trace.startedAtDeadline == 0);
        RC_ASSERT(rules.idempotent || trace.possiblyRan <= 1);
        RC_ASSERT(rules.idempotent || trace.retriesAndHedges == 0);
        RC_ASSERT(trace.result.outcome != Outcome::NotRun || trace.possiblyRan == 0);
        RC_ASSERT(trace.result.outcome != Outcome::Unknown || trace.possiblyRan > 0);
        RC_ASSERT(trace.started <= 1 + environment.acquiredTokens + trace.refused);
    }));
}

TEST_CASE_METHOD(AttemptPlannerFixture, "AttemptPlanner.refusedEverywhere.mayQueueAtOneTarget")
{
    // Guards against refusing a request that could have been queued for a slot.
    environment.targets = 3;
    AttemptPlanner<FakeEnvironment> planner(environment, rules());
    std::set<std::string> contactedTargets;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto start = std::get<StartAttempt>(planner.nextStep(now));
        CHECK_FALSE(start.mayQueue);
        contactedTargets.insert(start.target);
        planner.onResult(start.number, makeResult(Outcome::NotRun, Reason::Full));
    }
    CHECK(contactedTargets.size() == 3);
    const auto last = std::get<StartAttempt>(planner.nextStep(now));
    CHECK(last.mayQueue);
    planner.onResult(last.number, makeResult(Outcome::NotRun, Reason::Full));
    CHECK(std::get<FinishCall>(planner.nextStep(now)).result.outcome == Outcome::NotRun);
}

TEST_CASE_METHOD(AttemptPlannerFixture, "AttemptPlanner.answerLostOnIdempotent.retriesExclusivelyOnAnotherTarget")
{
    // Guards against a request that crashes its target and, when it is retried, also causes the other requests on the next target to fail.
    AttemptRules rules = this->rules();
    rules.idempotent = true;
    rules.maxRetries = 1;
    AttemptPlanner<FakeEnvironment> planner(environment, rules);
    const auto first = std::get<StartAttempt>(planner.nextStep(now));
    planner.onResult(first.number, makeResult(Outcome::Unknown, Reason::AnswerLost));
    const auto retry = std::get<StartAttempt>(planner.nextStep(now));
    CHECK(retry.kind == AttemptKind::Retry);
    CHECK(retry.isExclusive);
    CHECK(retry.target != first.target);
    planner.onResult(retry.number, makeResult(Outcome::Unknown, Reason::AnswerLost));
    CHECK(std::get<FinishCall>(planner.nextStep(now)).result.outcome == Outcome::Unknown);
    CHECK(environment.acquiredTokens == 1);
}

TEST_CASE_METHOD(AttemptPlannerFixture, "AttemptPlanner.slowIdempotentAttempt.isHedgedOnceAndTheFirstAnswerWins")
{
    // Guards against waiting for a slow attempt, and against more than one hedge.
    AttemptRules rules = this->rules();
    rules.idempotent = true;
    rules.hedgeDelay = 50ms;
    AttemptPlanner<FakeEnvironment> planner(environment, rules);
    const auto first = std::get<StartAttempt>(planner.nextStep(now));
    CHECK(std::get<WaitUntil>(planner.nextStep(now)).timePoint == now + 50ms);
    const auto hedge = std::get<StartAttempt>(planner.nextStep(now + 50ms));
    CHECK(hedge.kind == AttemptKind::Hedge);
    CHECK(hedge.target != first.target);
    CHECK(std::get<WaitUntil>(planner.nextStep(now + 500ms)).timePoint == now + 1s);
    planner.onResult(hedge.number, makeResult(Outcome::Ran, Reason::None, 200));
    CHECK(std::get<FinishCall>(planner.nextStep(now + 501ms)).result.status == 200);
    REQUIRE(planner.unfinishedAttempts().size() == 1);
    CHECK(planner.unfinishedAttempts().front().number == first.number);
}

TEST_CASE_METHOD(AttemptPlannerFixture, "AttemptPlanner.suspectRefusedAsBusy.isTriedAtAnotherTarget")
{
    // Guards against a request that ends as unknown because another suspect already waits to run alone at the first target that it tries.
    AttemptRules idempotentRules = rules();
    idempotentRules.idempotent = true;
    idempotentRules.maxRetries = 1;
    AttemptPlanner<FakeEnvironment> planner(environment, idempotentRules);
    CHECK(std::get<StartAttempt>(planner.nextStep(now)).target == "t0");
    planner.onResult(0, makeResult(Outcome::Unknown, Reason::AnswerLost));
    const auto retry = std::get<StartAttempt>(planner.nextStep(now));
    CHECK(retry.target == "t1");
    planner.onResult(retry.number, makeResult(Outcome::NotRun, Reason::SuspectBusy));
    const PlanStep next = planner.nextStep(now);
    REQUIRE(std::holds_alternative<StartAttempt>(next));
    CHECK(std::get<StartAttempt>(next).target == "t2");
    CHECK(std::get<StartAttempt>(next).isExclusive);
}
