#pragma once

#include "callrecord.h"
#include "runlogreader.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobjunction::scenarios
{

/** Leave of a backend server that its daemon acknowledged. */
struct LeaveRecord {
    std::size_t target = 0;
    int64_t acceptedAtMs = 0; /**< Time of the acknowledgement, in milliseconds since the Unix epoch. */
};

/**
 * Checks invariants 2 to 6 of the design: compares the responses that callers received with the requests that backend servers logged.
 * No call or request may be in progress.
 */
class InvariantChecker
{
public:
    InvariantChecker(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs, const std::vector<LeaveRecord> &leaves);

    /** @return a description of each violation; empty if all invariants hold */
    std::vector<std::string> check();

private:
    void checkOutcome(const CallRecord &call);
    void checkBody(const CallRecord &call);
    void checkRunsAtMostOnce();
    void checkLeave(const LeaveRecord &leave);
    void addViolation(const CallRecord &call, const std::string &violation);

    const std::vector<CallRecord> &m_calls;
    const std::vector<RunRecord> &m_runs;
    const std::vector<LeaveRecord> &m_leaveRecords;
    std::map<std::string, std::vector<const RunRecord *>> m_runsByRequestId;
    std::map<std::string, std::vector<const RunRecord *>> m_runsByKey;
    std::vector<std::string> m_violations;
};

} // namespace carobjunction::scenarios
