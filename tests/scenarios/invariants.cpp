#include "invariants.h"

#include "responsebody.h"

namespace carobjunction::scenarios
{

namespace
{

// The stated goal for every other daemon.
constexpr int64_t LeaveGoalMs = 3000;
// The backend server's own daemon admits nothing after the leave. A request that it admitted before is recorded when it gets its slot.
constexpr int64_t AdmittedBeforeMs = 1000;

} // namespace

Invariants::Invariants(const std::vector<CallRecord> &calls, const std::vector<Run> &runs, const std::vector<LeaveRecord> &leaves)
    : m_calls(calls), m_runs(runs), m_leaves(leaves)
{
    for (const Run &run : m_runs) {
        m_byRequest[run.requestId].push_back(&run);
        if (!run.key.empty()) {
            m_byKey[run.key].push_back(&run);
        }
    }
}

std::vector<std::string> Invariants::check()
{
    for (const CallRecord &call : m_calls) {
        checkOutcome(call);
        checkBody(call);
    }
    checkRunsAtMostOnce();
    for (const LeaveRecord &leave : m_leaves) {
        checkLeave(leave);
    }
    return m_faults;
}

void Invariants::checkOutcome(const CallRecord &call)
{
    const bool hasRun = m_byRequest.count(call.requestId) != 0;
    if (call.outcome == "unmarked") {
        report(call, "has an answer without an outcome");
    } else if (call.outcome == "not-run" && hasRun) {
        report(call, "was told not-run but ran");
    } else if (call.outcome == "ran" && call.reason == "already-ran") {
        if (m_byKey.count(call.spec.key) == 0) {
            report(call, "was told already-ran, but nothing ran with its key");
        }
    } else if (call.outcome == "ran" && call.status == 200 && !hasRun) {
        report(call, "was told ran but did not run");
    }
}

void Invariants::checkBody(const CallRecord &call)
{
    if (call.outcome != "ran" || call.status != 200 || call.spec.answerBytes == 0) {
        return;
    }
    std::string source = call.requestId;
    if (call.reason == "already-ran") {
        const auto earlier = m_byKey.find(call.spec.key);
        source = earlier == m_byKey.end() ? std::string() : earlier->second.front()->requestId;
    }
    if (call.body != standin::makeResponseBody(source, call.spec.answerBytes)) {
        report(call, "got an answer of " + std::to_string(call.body.size()) + " bytes that is not whole or not its own");
    }
}

void Invariants::checkRunsAtMostOnce()
{
    for (const auto &[requestId, runs] : m_byRequest) {
        if (runs.front()->method != "GET" && runs.size() > 1) {
            m_faults.push_back("request " + requestId + " ran " + std::to_string(runs.size()) + " times");
        }
    }
    for (const auto &[key, runs] : m_byKey) {
        if (runs.front()->method != "GET" && runs.size() > 1) {
            m_faults.push_back("key " + key + " ran " + std::to_string(runs.size()) + " times");
        }
    }
}

void Invariants::checkLeave(const LeaveRecord &leave)
{
    std::map<std::string, const CallRecord *> calls;
    for (const CallRecord &call : m_calls) {
        if (!call.requestId.empty()) {
            calls[call.requestId] = &call;
        }
    }
    for (const Run &run : m_runs) {
        if (run.target != leave.target) {
            continue;
        }
        if (run.startedMs > leave.acceptedMs + AdmittedBeforeMs) {
            const bool isPastGoal = run.startedMs > leave.acceptedMs + LeaveGoalMs;
            m_faults.push_back("request " + run.requestId + " started at target " + std::to_string(run.target) + " "
                               + std::to_string(run.startedMs - leave.acceptedMs) + " ms after its leave" + (isPastGoal ? ", past the goal of 3 s" : ""));
        }
        const auto call = calls.find(run.requestId);
        if (call != calls.end() && call->second->outcome != "ran") {
            report(*call->second, "was in progress at leaving target " + std::to_string(run.target) + " and did not finish");
        }
    }
}

void Invariants::report(const CallRecord &call, const std::string &what)
{
    m_faults.push_back("call " + call.spec.group + " " + call.spec.method + " " + call.spec.path + " key '" + call.spec.key + "' via "
                       + std::to_string(call.spec.via) + " (request " + call.requestId + ", " + call.outcome + ", " + std::to_string(call.status) + ", "
                       + call.reason + ", target " + call.target + ") " + what);
}

} // namespace carobjunction::scenarios
