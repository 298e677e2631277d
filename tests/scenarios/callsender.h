#pragma once

#include "callrecord.h"
#include "connectionpool.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::scenarios
{

/** Sends calls as callers do and keeps a record of each. Thread-safe. */
class CallSender
{
public:
    /** @param daemons  caller addresses */
    explicit CallSender(const std::vector<std::string> &daemons);

    /** Sends a call and waits for its end. */
    CallRecord send(const CallSpec &spec);

    std::vector<CallRecord> records() const;

    /** @return records of one call or load */
    std::vector<CallRecord> recordsOf(const std::string &group) const;

private:
    std::vector<std::unique_ptr<bench::ConnectionPool>> m_pools;
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
};

} // namespace carobjunction::scenarios
