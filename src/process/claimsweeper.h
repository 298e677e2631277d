#pragma once

#include "process/claimrow.h"
#include "process/lease.h"
#include "process/prefixwalker.h"

#include <deque>
#include <functional>

namespace carobjunction
{

/** Options of a ClaimSweeper. */
struct ClaimSweeperOptions {
    size_t maxRowsPerBatch = 100; /**< Maximum number of rows deleted in one transaction. */
    Duration minBatchInterval = std::chrono::milliseconds(500); /**< Minimum time between two deletions. */
    Duration minScanInterval = std::chrono::milliseconds(500); /**< Minimum time between two reads. */
    double scanRowsPerSecond = 10; /**< Average read rate; at about 400 bytes per row, control traffic stays below 5 KB/s. */
    size_t prefixSplitThreshold = 200; /**< A prefix with more rows is split from the next pass on. */
    size_t maxQueuedRows = 20'000; /**< Maximum number of rows queued for deletion; a later pass finds the others again. */
};

/**
 * Deletes claim rows that expired at least ClaimRow::SweepDelayMs ago. Each batch is one atomic transaction that also writes the lease
 * row, so that a delayed deletion by a previous holder of the lease has no effect. It also writes the sweep row, because replacements of
 * long-expired rows are conditional on the version of the sweep row. Not thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class ClaimSweeper
{
public:
    /** Returns the names of all services. */
    using ServiceLister = std::function<std::vector<std::string>()>;

    /** @param lease  lease `claim-sweeper`, shared by all regions */
    ClaimSweeper(S &store, Lease<S, C, W> &lease, const C &clock, const W &wallClock, ServiceLister listServices, const ClaimSweeperOptions &options)
        : m_store(store), m_lease(lease), m_clock(clock), m_wallClock(wallClock), m_listServices(std::move(listServices)), m_options(options)
    {
    }

    /** Acquires or renews the lease, then deletes one batch of rows or reads the rows of one prefix if due. Call it several times per second. */
    void tick()
    {
        if (!m_lease.acquireOrRenew()) {
            m_queuedRows.clear();
            return;
        }
        const TimePoint now = m_clock.now();
        if (!m_queuedRows.empty()) {
            if (now >= m_nextBatchAt) {
                m_nextBatchAt = now + m_options.minBatchInterval;
                deleteBatch();
            }
        } else if (now >= m_nextScanAt) {
            const Duration scanInterval
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(scanNextPrefix()) / m_options.scanRowsPerSecond));
            m_nextScanAt = now + std::max(scanInterval, m_options.minScanInterval);
        }
    }

private:
    /** Row queued for deletion, on the condition that it still has this version. */
    struct ExpiredRow {
        std::string key;
        uint64_t version = 0;
    };

    /** Reads the next prefix of the pass over all services and queues its deletable rows. @return number of rows read */
    size_t scanNextPrefix()
    {
        if (m_walker.atEnd()) {
            std::vector<std::string> roots;
            for (const std::string &service : m_listServices()) {
                roots.push_back(ClaimRow::rowKeyFor(service, {}));
            }
            m_walker.start(roots);
            if (roots.empty()) {
                return 0;
            }
        }
        const PrefixWalker::PrefixRead prefixRead = m_walker.next();
        const auto rows = prefixRead.isExactKey ? m_store.read({ prefixRead.keyOrPrefix }) : m_store.readPrefix(prefixRead.keyOrPrefix);
        const bool timedOut = !rows && LastError<StoreError>::get().code == StoreErrorCode::Timeout;
        if (!prefixRead.isExactKey && (timedOut || (rows && rows->size() > m_options.prefixSplitThreshold))) {
            m_walker.markTooLarge(prefixRead.keyOrPrefix);
        }
        if (!rows) {
            return 0;
        }
        const int64_t now = m_wallClock.nowMs();
        for (const StoreRow &stored : *rows) {
            const std::optional<ClaimRow> row = ClaimRow::fromJson(stored.value);
            if (row && row->isDeletable(now) && m_queuedRows.size() < m_options.maxQueuedRows) {
                m_queuedRows.push_back({ stored.key, stored.version });
            }
        }
        return rows->size();
    }

    /** Deletes up to maxRowsPerBatch queued rows in one transaction. */
    void deleteBatch()
    {
        std::vector<StoreOp> ops;
        ops.push_back({ ClaimRow::SweepRowKey, std::nullopt, nlohmann::json { { "swept_ms", m_wallClock.nowMs() } } });
        for (size_t i = 0; i < std::min(m_queuedRows.size(), m_options.maxRowsPerBatch); ++i) {
            ops.push_back({ m_queuedRows[i].key, m_queuedRows[i].version, std::nullopt });
        }
        const auto result = m_lease.transactFenced(ops);
        if (!result) {
            m_queuedRows.clear(); // It is unknown whether the batch was committed, so the rows are read again.
            return;
        }
        m_queuedRows.erase(m_queuedRows.begin(), m_queuedRows.begin() + static_cast<std::ptrdiff_t>(ops.size() - 1));
        if (!result->committed) {
            requeueUnchanged(ops, *result);
        }
    }

    /** Returns the rows of a refused batch to the queue, except those that have changed since they were read. */
    void requeueUnchanged(const std::vector<StoreOp> &ops, const TransactResult &result)
    {
        for (size_t i = ops.size(); i-- > 1;) {
            if (result.results[i].version == ops[i].ifVersion) {
                m_queuedRows.push_front({ ops[i].key, *ops[i].ifVersion });
            }
        }
    }

    S &m_store;
    Lease<S, C, W> &m_lease;
    const C &m_clock;
    const W &m_wallClock;
    const ServiceLister m_listServices;
    const ClaimSweeperOptions m_options;
    std::deque<ExpiredRow> m_queuedRows;
    PrefixWalker m_walker;
    TimePoint m_nextBatchAt {};
    TimePoint m_nextScanAt {};
};

} // namespace carobjunction
