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

/** Sends calls to daemons over HTTP and records the response to each. Thread-safe. */
class CallSender
{
public:
    /** @param daemons  caller addresses of the daemons, as HOST:PORT */
    explicit CallSender(const std::vector<std::string> &daemons);

    /**
     * Sends a call and waits for the response or the loss of the connection.
     * @return record of the call, which is also stored
     */
    CallRecord send(const CallSpec &spec);

    std::vector<CallRecord> records() const;

    /** @return records of the calls that belong to the call step or load @p group */
    std::vector<CallRecord> recordsForGroup(const std::string &group) const;

private:
    std::vector<std::unique_ptr<bench::ConnectionPool>> m_pools;
    mutable std::mutex m_mutex;
    std::vector<CallRecord> m_records;
};

} // namespace carobjunction::scenarios
