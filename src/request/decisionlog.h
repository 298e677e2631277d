#pragma once

#include "request/decisionrecord.h"

#include <deque>
#include <mutex>
#include <optional>

namespace carobjunction
{

/** The most recent decision records. Thread-safe. */
class DecisionLog
{
public:
    void add(DecisionRecord record)
    {
        const std::scoped_lock lock(m_mutex);
        m_records.push_back(std::move(record));
        if (m_records.size() > Capacity) {
            m_records.pop_front();
        }
    }

    /** @return the record of a request, empty if it is unknown or too old */
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
    static constexpr size_t Capacity = 2048;

    mutable std::mutex m_mutex;
    std::deque<DecisionRecord> m_records;
};

} // namespace carobjunction
