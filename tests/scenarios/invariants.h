#pragma once

#include "callrecord.h"
#include "runlogs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobjunction::scenarios
{

/** A backend server that said that it is leaving. */
struct LeaveRecord {
    std::size_t target = 0;
    int64_t acceptedMs = 0; /**< When its daemon had accepted this, in milliseconds since the Unix epoch. */
};

/**
 * Compares what callers were told with what the backend servers recorded. Used after everything has come to rest.
 * Guards the invariants 2 to 6 of the design.
 */
class Invariants
{
public:
    Invariants(const std::vector<CallRecord> &calls, const std::vector<Run> &runs, const std::vector<LeaveRecord> &leaves);

    /** @return a description of each violation */
    std::vector<std::string> check();

private:
    void checkOutcome(const CallRecord &call);
    void checkBody(const CallRecord &call);
    void checkRunsAtMostOnce();
    void checkLeave(const LeaveRecord &leave);
    void report(const CallRecord &call, const std::string &what);

    const std::vector<CallRecord> &m_calls;
    const std::vector<Run> &m_runs;
    const std::vector<LeaveRecord> &m_leaves;
    std::map<std::string, std::vector<const Run *>> m_byRequest;
    std::map<std::string, std::vector<const Run *>> m_byKey;
    std::vector<std::string> m_faults;
};

} // namespace carobjunction::scenarios
