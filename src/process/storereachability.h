#pragma once

#include "process/eventlog.h"
#include "process/metrics.h"
#include "process/tablestore.h"

#include <string>
#include <utility>

namespace carobjunction
{

/** Tracks whether the store answers the calls of this daemon, and logs each change. Not thread-safe. */
class StoreReachability
{
public:
    /** @param metrics  must outlive this object */
    explicit StoreReachability(Metrics &metrics) : m_metrics(metrics)
    {
    }

    /** Records a failed call. The reason is taken from LastError<TableStoreError>. @param table  table that was read or written */
    void onFailure(const std::string &table)
    {
        m_metrics.add(Counter::StoreFailures);
        const std::string reason(nameOf(LastError<TableStoreError>::get()));
        m_metrics.set(Gauge::StoreReachable, 0);
        if (std::exchange(m_isReachable, false)) {
            EventLog::write(LogLevel::Warning, Event::StoreUnavailable, { { "table", table }, { "reason", reason } });
        }
    }

    /** Records that the store has answered a call. */
    void onResponse()
    {
        m_metrics.set(Gauge::StoreReachable, 1);
        if (!std::exchange(m_isReachable, true)) {
            EventLog::write(LogLevel::Info, Event::StoreRecovered, {});
        }
    }

private:
    Metrics &m_metrics;
    bool m_isReachable = true;
};

} // namespace carobjunction
