#pragma once

#include "process/claimrow.h"
#include "process/lease.h"
#include "process/prefixwalker.h"

#include <deque>
#include <functional>

namespace carobjunction
{

/** Settings of a ClaimSweeper. */
struct SweeperOptions {
    size_t batchRows = 100; /**< Rows deleted in one transaction. */
    Duration batchInterval = std::chrono::milliseconds(500); /**< Shortest time between two transactions. */
    Duration shortestScanInterval = std::chrono::milliseconds(500); /**< Shortest time between two reads. */
    double rowsPerSecond = 10; /**< Average of rows read; at some 400 bytes a row it keeps within 5 KB/s of control traffic. */
    size_t largestScan = 200; /**< A prefix with more rows is split. */
    size_t maxWaiting = 20'000; /**< Rows remembered from one scan; the rest is found by the next one. */
};

/**
 * Deletes claim rows whose window ended ClaimRow::SweepDelayMs ago. Each deletion is one atomic transaction with the lease row, so that
 * a late one has no effect, and with the sweep row, on which takeovers of old rows are conditional. Not thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class ClaimSweeper
{
public:
    /** Gives the names of all services. */
    using ServiceSource = std::function<std::vector<std::string>()>;

    /** @param lease  the lease `claim-sweeper`, one for all regions */
    ClaimSweeper(S &store, Lease<S, C, W> &lease, const C &clock, const W &wallClock, ServiceSource services, const SweeperOptions &options)
        : m_store(store), m_lease(lease), m_clock(clock), m_wallClock(wallClock), m_services(std::move(services)), m_options(options)
    {
    }

    /** Acquires or renews the lease, then deletes one batch or reads one service's rows, if due. To be called several times a second. */
    void tick()
    {
        if (!m_lease.keep()) {
            m_waiting.clear();
            return;
        }
        const TimePoint now = m_clock.now();
        if (!m_waiting.empty()) {
            if (now >= m_nextBatch) {
                m_nextBatch = now + m_options.batchInterval;
                deleteBatch();
            }
        } else if (now >= m_nextScan) {
            const Duration pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(scan()) / m_options.rowsPerSecond));
            m_nextScan = now + std::max(pause, m_options.shortestScanInterval);
        }
    }

private:
    struct ExpiredRow {
        std::string key;
        uint64_t version = 0;
    };

    /** Makes the next read of the pass over all services. @return the number of rows read */
    size_t scan()
    {
        if (m_walker.atEnd()) {
            std::vector<std::string> roots;
            for (const std::string &service : m_services()) {
                roots.push_back(ClaimRow::keyOf(service, {}));
            }
            m_walker.start(roots);
            if (roots.empty()) {
                return 0;
            }
        }
        const PrefixWalker::Step step = m_walker.next();
        const auto rows = step.exact ? m_store.read({ step.text }) : m_store.readPrefix(step.text);
        const bool timedOut = !rows && LastReason<StoreError>::get().code == StoreErrorCode::Timeout;
        if (!step.exact && (timedOut || (rows && rows->size() > m_options.largestScan))) {
            m_walker.markTooLarge(step.text);
        }
        if (!rows) {
            return 0;
        }
        const int64_t now = m_wallClock.nowMs();
        for (const StoreRow &stored : *rows) {
            const std::optional<ClaimRow> row = ClaimRow::fromJson(stored.value);
            if (row && row->isSweepable(now) && m_waiting.size() < m_options.maxWaiting) {
                m_waiting.push_back({ stored.key, stored.version });
            }
        }
        return rows->size();
    }

    void deleteBatch()
    {
        std::vector<StoreOp> ops;
        ops.push_back({ ClaimRow::SweepRowKey, std::nullopt, nlohmann::json { { "swept_ms", m_wallClock.nowMs() } } });
        for (size_t i = 0; i < std::min(m_waiting.size(), m_options.batchRows); ++i) {
            ops.push_back({ m_waiting[i].key, m_waiting[i].version, std::nullopt });
        }
        const auto result = m_lease.transactFenced(ops);
        if (!result) {
            m_waiting.clear(); // What became of the batch is unknown; the next scan reads the rows anew.
            return;
        }
        m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(ops.size() - 1));
        if (!result->committed) {
            keepUnchanged(ops, *result);
        }
    }

    /** Puts back the rows of a refused batch, except those that were claimed anew since the scan. */
    void keepUnchanged(const std::vector<StoreOp> &ops, const TransactResult &result)
    {
        for (size_t i = ops.size(); i-- > 1;) {
            if (result.results[i].version == ops[i].ifVersion) {
                m_waiting.push_front({ ops[i].key, *ops[i].ifVersion });
            }
        }
    }

    S &m_store;
    Lease<S, C, W> &m_lease;
    const C &m_clock;
    const W &m_wallClock;
    const ServiceSource m_services;
    const SweeperOptions m_options;
    std::deque<ExpiredRow> m_waiting;
    PrefixWalker m_walker;
    TimePoint m_nextBatch {};
    TimePoint m_nextScan {};
};

} // namespace carobjunction
