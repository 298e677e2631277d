#pragma once

#include "request/decisionrecord.h"

#include <deque>
#include <mutex>
#include <optional>

namespace carobjunction
{

/** Bounded log of the latest decision records. Thread-safe. */
class DecisionLog
{
public:
    /** Adds a record and evicts the oldest one if the log is full. */
    void add(DecisionRecord record)
    {
        const std::scoped_lock lock(m_mutex);
        m_records.push_back(std::move(record));
        if (m_records.size() > Capacity) {
            m_records.pop_front();
        }
    }

    /** @return the record of a request, or empty if it was never added or has been evicted */
    std::optional<DecisionRecord> find(const std::string &requestId) const
    {
        const std::scoped_lock lock(m_mutex);
        for (auto record = m_records.rbegin(); record != m_records.rend(); ++record) {
            if (record->requestId == requestId) {
                return *record;
            }
        }
        return std::nullopt;
    }

private:
    static constexpr size_t Capacity = 2048; // records

    mutable std::mutex m_mutex;
    std::deque<DecisionRecord> m_records;
};

} // namespace carobjunction
