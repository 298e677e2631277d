#pragma once

#include "process/eventlog.h"
#include "process/storetypes.h"
#include "process/wallclock.h"

#include <carobjunction/process/clock.h>

#include <random>

namespace carobjunction
{

/** Reason why an operation under a lease failed. */
enum class LeaseErrorCode {
    NotHeld, /**< The lease has expired by the clocks of this holder, or was never acquired; the store was not contacted. */
    Fenced, /**< The store refused the write because the lease row has changed; nothing was written. */
    Unavailable, /**< The store did not confirm the write. */
};

template<>
struct EnumNames<LeaseErrorCode> {
    static constexpr std::pair<LeaseErrorCode, std::string_view> Table[] = {
        { LeaseErrorCode::NotHeld, "not-held" },
        { LeaseErrorCode::Fenced, "fenced" },
        { LeaseErrorCode::Unavailable, "unavailable" },
    };
};

/** Failure of an operation under a lease. */
struct LeaseError {
    LeaseErrorCode code = LeaseErrorCode::NotHeld;
    bool mayHaveTakenEffect = false; /**< Whether the write may have been committed, or may still be. */
};

/** Options of a Lease. */
struct LeaseOptions {
    std::string name; /**< Name of the lease, the last part of its row key. */
    std::string holder; /**< Id of the holder. Unique to the process, so that a restarted daemon is a different holder. */
    Duration duration = std::chrono::seconds(30); /**< Time from acquisition or renewal to expiry. */
    /** Bound on the clock skew between two daemons. A holder stops this much before expiry; others wait this much after it. */
    Duration clockSkewMargin = std::chrono::seconds(3);
    /** Time between two attempts of acquireOrRenew() to reach the store; shortened at random by up to half. */
    Duration retryInterval = std::chrono::seconds(5);
    uint64_t seed = std::random_device {}();
};

/**
 * Lease stored in the row `lease/{name}`. The row is never deleted, so its version serves as a fencing token: each write under the lease
 * is one atomic transaction that also rewrites the lease row, on the condition that it still has the version this holder wrote.
 *
 * Before each operation, the holder checks both its steady clock and its wall clock, because one of them may stop while a VM is paused.
 * Not thread-safe.
 */
template<Store S, MonotonicClock C, WallClock W = SystemWallClock>
class Lease
{
public:
    Lease(S &store, const C &clock, const W &wallClock, const LeaseOptions &options)
        : m_store(store), m_clock(clock), m_wallClock(wallClock), m_options(options), m_rowKey("lease/" + options.name), m_random(options.seed)
    {
    }

    /** @return whether the lease is valid by the clocks of this holder, less the margin */
    bool isHeld() const
    {
        return m_isHeld && m_clock.now() < m_validUntil && m_wallClock.nowMs() < m_validUntilMs;
    }

    /** @return number of this acquisition, larger than the number of every earlier acquisition */
    uint64_t token() const
    {
        return m_token;
    }

    /** Acquires the lease if it is free. @return whether it is held */
    bool acquire()
    {
        if (isHeld()) {
            return true;
        }
        markLost("expired");
        const auto rows = m_store.read({ m_rowKey });
        if (!rows) {
            return false;
        }
        uint64_t token = 1;
        uint64_t version = 0;
        if (!rows->empty()) {
            const std::optional<LeaseRow> row = parseRow(rows->front().value);
            if (row && row->holder != m_options.holder && m_wallClock.nowMs() < row->expiresMs + toMilliseconds(m_options.clockSkewMargin)) {
                return false;
            }
            token = row ? row->token + 1 : 1;
            version = rows->front().version;
        }
        writeWithLeaseRow({}, version, token);
        if (m_isHeld) {
            EventLog::write(LogLevel::Info, Event::LeaseAcquired, { { "lease", m_options.name }, { "token", std::to_string(m_token) } });
        }
        return m_isHeld;
    }

    /** Extends the lease. @return whether it is still held */
    bool renew()
    {
        return transactFenced({}).has_value();
    }

    /** Acquires the lease, or renews it when half or less of its duration remains. Call it regularly. @return whether it is held */
    bool acquireOrRenew()
    {
        const bool wasHeld = isHeld();
        if (wasHeld && m_clock.now() < m_validUntil - m_options.duration / 2) {
            return true;
        }
        if (m_clock.now() < m_nextAttemptAt) {
            return wasHeld;
        }
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        m_nextAttemptAt = m_clock.now() + std::chrono::duration_cast<Duration>(m_options.retryInterval * jitter(m_random));
        return wasHeld ? renew() || isHeld() : acquire();
    }

    /**
     * Writes rows on the condition that this holder still has the lease, and renews the lease.
     * @return the results of @p ops, not committed if the condition of one of them failed. Returns empty and sets LastError<LeaseError>
     * if the lease has expired or the store did not confirm the write.
     */
    std::optional<TransactResult> transactFenced(const std::vector<StoreOp> &ops)
    {
        if (!isHeld()) {
            markLost("expired");
            return LastError<LeaseError>::fail({ LeaseErrorCode::NotHeld, false });
        }
        return writeWithLeaseRow(ops, m_version, m_token);
    }

private:
    /** Value of the lease row. */
    struct LeaseRow {
        std::string holder;
        uint64_t token = 0;
        int64_t expiresMs = 0; /**< Unix time in milliseconds. */
    };

    static int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    static std::optional<LeaseRow> parseRow(const nlohmann::json &value)
    {
        try {
            return LeaseRow { value.at("holder").get<std::string>(), value.at("token").get<uint64_t>(), value.at("expires_ms").get<int64_t>() };
        } catch (const nlohmann::json::exception &) {
            return std::nullopt;
        }
    }

    /** Writes the lease row together with @p ops, on the condition that the row still has @p version. */
    std::optional<TransactResult> writeWithLeaseRow(std::vector<StoreOp> ops, uint64_t version, uint64_t token)
    {
        // The lease duration starts before the write is sent, because the row may be committed long before the response arrives.
        const TimePoint sentAt = m_clock.now();
        const int64_t sentAtMs = m_wallClock.nowMs();
        const LeaseRow row { m_options.holder, token, sentAtMs + toMilliseconds(m_options.duration) };
        ops.push_back({ m_rowKey, version, nlohmann::json { { "holder", row.holder }, { "token", row.token }, { "expires_ms", row.expiresMs } } });
        auto result = m_store.transact(ops, true);
        if (!result) {
            const bool mayHaveTakenEffect = LastError<StoreError>::get().mayHaveTakenEffect;
            if (mayHaveTakenEffect && isCommitted(version + 1, row)) {
                markHeld(version + 1, row, sentAt);
            }
            return LastError<LeaseError>::fail({ LeaseErrorCode::Unavailable, mayHaveTakenEffect });
        }
        const uint64_t current = result->results.back().version;
        result->results.pop_back();
        if (result->committed) {
            markHeld(current, row, sentAt);
            return result;
        }
        if (current == version && m_isHeld) {
            return result; // The condition of another operation failed; the lease is unchanged.
        }
        if (m_isHeld) {
            EventLog::write(LogLevel::Warning, Event::FencedWriteRefused, { { "lease", m_options.name }, { "token", std::to_string(token) } });
        }
        markLost("taken");
        return LastError<LeaseError>::fail({ LeaseErrorCode::Fenced, false });
    }

    /** Reads the lease row back after a lost response. @return whether it has this version and value */
    bool isCommitted(uint64_t version, const LeaseRow &row)
    {
        const auto rows = m_store.read({ m_rowKey });
        if (!rows || rows->empty() || rows->front().version != version) {
            return false;
        }
        const std::optional<LeaseRow> current = parseRow(rows->front().value);
        return current && current->holder == row.holder && current->token == row.token && current->expiresMs == row.expiresMs;
    }

    /** Updates the state after this holder has written the lease row. */
    void markHeld(uint64_t version, const LeaseRow &row, TimePoint sentAt)
    {
        m_isHeld = true;
        m_version = version;
        m_token = row.token;
        m_validUntil = sentAt + m_options.duration - m_options.clockSkewMargin;
        m_validUntilMs = row.expiresMs - toMilliseconds(m_options.clockSkewMargin);
    }

    /** Updates the state and logs the loss if the lease was held. */
    void markLost(const char *cause)
    {
        if (m_isHeld) {
            m_isHeld = false;
            EventLog::write(LogLevel::Warning, Event::LeaseLost, { { "lease", m_options.name }, { "cause", cause } });
        }
    }

    S &m_store;
    const C &m_clock;
    const W &m_wallClock;
    const LeaseOptions m_options;
    const std::string m_rowKey;
    std::mt19937_64 m_random;
    bool m_isHeld = false;
    uint64_t m_version = 0; /**< Version of the lease row that this holder wrote. */
    uint64_t m_token = 0;
    TimePoint m_validUntil {};
    int64_t m_validUntilMs = 0; /**< Unix time in milliseconds. */
    TimePoint m_nextAttemptAt {};
};

} // namespace carobjunction
