#include "invariantchecker.h"

#include "responsebody.h"

namespace carobjunction::scenarios
{

namespace
{

// Time within which every other daemon has to stop dispatching requests to a leaving target.
constexpr int64_t MaxLeaveDelayMs = 3000;
// The daemon of the backend server admits no request after the leave. A request admitted earlier is logged only when it occupies a slot.
constexpr int64_t AdmissionToStartMs = 1000;

} // namespace

InvariantChecker::InvariantChecker(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs, const std::vector<LeaveRecord> &leaves)
    : m_calls(calls), m_runs(runs), m_leaveRecords(leaves)
{
    for (const RunRecord &run : m_runs) {
        m_runsByRequestId[run.requestId].push_back(&run);
        if (!run.key.empty()) {
            m_runsByKey[run.key].push_back(&run);
        }
    }
}

std::vector<std::string> InvariantChecker::check()
{
    for (const CallRecord &call : m_calls) {
        checkOutcome(call);
        checkBody(call);
    }
    checkRunsAtMostOnce();
    for (const LeaveRecord &leave : m_leaveRecords) {
        checkLeave(leave);
    }
    return m_violations;
}

void InvariantChecker::checkOutcome(const CallRecord &call)
{
    const bool hasRun = m_runsByRequestId.count(call.requestId) != 0;
    if (call.outcome == "unmarked") {
        addViolation(call, "received a response without an outcome header");
    } else if (call.outcome == "not-run" && hasRun) {
        addViolation(call, "received the outcome not-run, but the request ran");
    } else if (call.outcome == "ran" && call.reason == "already-ran") {
        if (m_runsByKey.count(call.spec.key) == 0) {
            addViolation(call, "received the reason already-ran, but no request ran with its key");
        }
    } else if (call.outcome == "ran" && call.status == 200 && !hasRun) {
        addViolation(call, "received the outcome ran, but the request did not run");
    }
}

void InvariantChecker::checkBody(const CallRecord &call)
{
    if (call.outcome != "ran" || call.status != 200 || call.spec.answerBytes == 0) {
        return;
    }
    std::string sourceRequestId = call.requestId;
    if (call.reason == "already-ran") {
        const auto earlier = m_runsByKey.find(call.spec.key);
        sourceRequestId = earlier == m_runsByKey.end() ? std::string() : earlier->second.front()->requestId;
    }
    if (call.body != standin::makeResponseBody(sourceRequestId, call.spec.answerBytes)) {
        addViolation(call, "received a response body of " + std::to_string(call.body.size()) + " bytes that is truncated or belongs to another request");
    }
}

void InvariantChecker::checkRunsAtMostOnce()
{
    for (const auto &[requestId, runs] : m_runsByRequestId) {
        if (runs.front()->method != "GET" && runs.size() > 1) {
            m_violations.push_back("request " + requestId + " ran " + std::to_string(runs.size()) + " times");
        }
    }
    for (const auto &[key, runs] : m_runsByKey) {
        if (runs.front()->method != "GET" && runs.size() > 1) {
            m_violations.push_back("key " + key + " ran " + std::to_string(runs.size()) + " times");
        }
    }
}

void InvariantChecker::checkLeave(const LeaveRecord &leave)
{
    std::map<std::string, const CallRecord *> calls;
    for (const CallRecord &call : m_calls) {
        if (!call.requestId.empty()) {
            calls[call.requestId] = &call;
        }
    }
    for (const RunRecord &run : m_runs) {
        if (run.target != leave.target) {
            continue;
        }
        if (run.startedAtMs > leave.acceptedAtMs + AdmissionToStartMs) {
            const bool exceedsMaxDelay = run.startedAtMs > leave.acceptedAtMs + MaxLeaveDelayMs;
            m_violations.push_back("request " + run.requestId + " started at target " + std::to_string(run.target) + " "
                                   + std::to_string(run.startedAtMs - leave.acceptedAtMs) + " ms after its leave"
                                   + (exceedsMaxDelay ? ", which exceeds the limit of 3 s" : ""));
        }
        const auto call = calls.find(run.requestId);
        if (call != calls.end() && call->second->outcome != "ran") {
            addViolation(*call->second, "was in progress at leaving target " + std::to_string(run.target) + " and did not complete");
        }
    }
}

void InvariantChecker::addViolation(const CallRecord &call, const std::string &violation)
{
    m_violations.push_back("call " + call.spec.group + " " + call.spec.method + " " + call.spec.path + " key '" + call.spec.key + "' via "
                           + std::to_string(call.spec.entryDaemon) + " (request " + call.requestId + ", " + call.outcome + ", " + std::to_string(call.status)
                           + ", " + call.reason + ", target " + call.target + ") " + violation);
}

} // namespace carobjunction::scenarios
