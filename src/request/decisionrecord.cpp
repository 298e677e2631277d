#include "request/decisionrecord.h"

#include <nlohmann/json.hpp>

namespace carobjunction
{

namespace
{

int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

nlohmann::json toJson(const AttemptRecord &attempt)
{
    nlohmann::json candidates = nlohmann::json::array();
    for (const ScoredCandidate &candidate : attempt.choice.scored) {
        candidates.push_back({ { "target", candidate.daemon }, { "score", candidate.score } });
    }
    return { { "number", attempt.number },
             { "kind", nameOf(attempt.kind) },
             { "target", attempt.choice.target.daemon },
             { "own", attempt.choice.own },
             { "why", attempt.choice.selectionReason },
             { "may_queue", attempt.mayQueue },
             { "candidates", std::move(candidates) },
             { "finished", attempt.isFinished },
             { "outcome", nameOf(attempt.outcome) },
             { "reason", nameOf(attempt.reason) },
             { "started_after_us", toMicroseconds(attempt.startedAfter) },
             { "duration_us", toMicroseconds(attempt.duration) } };
}

} // namespace

nlohmann::json toJson(const DecisionRecord &record)
{
    nlohmann::json attempts = nlohmann::json::array();
    for (const AttemptRecord &attempt : record.attempts) {
        attempts.push_back(toJson(attempt));
    }
    return { { "request", record.requestId },       { "service", record.service },
             { "method", record.method },           { "path", record.path },
             { "caller", record.caller },           { "config_version", record.configVersion },
             { "idempotent", record.idempotent },   { "attempts", std::move(attempts) },
             { "outcome", nameOf(record.outcome) }, { "reason", nameOf(record.reason) },
             { "status", record.status },           { "duration_us", toMicroseconds(record.duration) } };
}

} // namespace carobjunction
