#pragma once

#include "process/eventlog.h"
#include "process/storetypes.h"
#include "process/wallclock.h"

#include <carobjunction/process/clock.h>

#include <random>

namespace carobjunction
{

/** Why an operation under a lease failed. */
enum class LeaseErrorCode {
    NotHeld, /**< This holder's own clocks say that the lease is over, or it never had it; the store was not asked. */
    Fenced, /**< The store refused the write because the lease row has changed; nothing was done. */
    Unavailable, /**< The store did not answer. */
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
    bool mayHaveTakenEffect = false;
};

/** Settings of a Lease. */
struct LeaseOptions {
    std::string name;
    std::string holder; /**< Unique to this process, not only to the daemon, so that a restarted daemon is another holder. */
    Duration duration = std::chrono::seconds(30);
    Duration margin = std::chrono::seconds(3); /**< Bound on the difference of two daemons' clocks; both sides keep it. */
    Duration retryInterval = std::chrono::seconds(5); /**< Time between two attempts of keep() at the store; shortened at random by up to half. */
    uint64_t seed = std::random_device {}();
};

/**
 * Lease on the row `lease/{name}`. The row is never deleted, so its version serves as the fencing token: each write under the lease
 * is one atomic transaction with a write of the lease row on the version that the holder knows.
 *
 * Before each act the holder checks its steady clock and its time of day; one of them may stand still while a VM is paused.
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

    /** @return whether this holder may still act under the lease, by its own clocks and with the margin */
    bool isHeld() const
    {
        return m_held && m_clock.now() < m_validUntil && m_wallClock.nowMs() < m_validUntilMs;
    }

    /** @return number of this acquisition; larger than that of every former holder */
    uint64_t token() const
    {
        return m_token;
    }

    /** Takes the lease if it is free. @return whether it is held */
    bool acquire()
    {
        if (isHeld()) {
            return true;
        }
        noteLost("expired");
        const auto rows = m_store.read({ m_rowKey });
        if (!rows) {
            return false;
        }
        uint64_t token = 1;
        uint64_t version = 0;
        if (!rows->empty()) {
            const std::optional<Row> row = parse(rows->front().value);
            if (row && row->holder != m_options.holder && m_wallClock.nowMs() < row->expiresMs + milliseconds(m_options.margin)) {
                return false;
            }
            token = row ? row->token + 1 : 1;
            version = rows->front().version;
        }
        write({}, version, token);
        if (m_held) {
            EventLog::write(LogLevel::Info, Event::LeaseAcquired, { { "lease", m_options.name }, { "token", std::to_string(m_token) } });
        }
        return m_held;
    }

    /** Extends the lease. @return whether it is still held */
    bool renew()
    {
        return transactFenced({}).has_value();
    }

    /** Acquires the lease, or renews it once half of its time is over. To be called often. @return whether it is held */
    bool keep()
    {
        const bool held = isHeld();
        if (held && m_clock.now() < m_validUntil - m_options.duration / 2) {
            return true;
        }
        if (m_clock.now() < m_nextAttempt) {
            return held;
        }
        std::uniform_real_distribution<double> share(0.5, 1.0);
        m_nextAttempt = m_clock.now() + std::chrono::duration_cast<Duration>(m_options.retryInterval * share(m_random));
        return held ? renew() || isHeld() : acquire();
    }

    /**
     * Writes rows on the condition that this holder still has the lease, and extends the lease.
     * @return what became of the ops; not committed if the condition of one of them failed. Empty with LastReason<LeaseError> if
     * the lease is over or the store did not confirm the write.
     */
    std::optional<TransactResult> transactFenced(const std::vector<StoreOp> &ops)
    {
        if (!isHeld()) {
            noteLost("expired");
            return LastReason<LeaseError>::fail({ LeaseErrorCode::NotHeld, false });
        }
        return write(ops, m_version, m_token);
    }

private:
    struct Row {
        std::string holder;
        uint64_t token = 0;
        int64_t expiresMs = 0;
    };

    static int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    static std::optional<Row> parse(const nlohmann::json &value)
    {
        try {
            return Row { value.at("holder").get<std::string>(), value.at("token").get<uint64_t>(), value.at("expires_ms").get<int64_t>() };
        } catch (const nlohmann::json::exception &) {
            return std::nullopt;
        }
    }

    /** Writes the lease row on its version, together with @p ops. */
    std::optional<TransactResult> write(std::vector<StoreOp> ops, uint64_t version, uint64_t token)
    {
        // The time counts from before the write is sent: the row may be in force long before the answer arrives.
        const TimePoint sentAt = m_clock.now();
        const int64_t sentAtMs = m_wallClock.nowMs();
        const Row row { m_options.holder, token, sentAtMs + milliseconds(m_options.duration) };
        ops.push_back({ m_rowKey, version, nlohmann::json { { "holder", row.holder }, { "token", row.token }, { "expires_ms", row.expiresMs } } });
        auto result = m_store.transact(ops, true);
        if (!result) {
            const bool mayHaveTakenEffect = LastReason<StoreError>::get().mayHaveTakenEffect;
            if (mayHaveTakenEffect && isInForce(version + 1, row)) {
                noteHeld(version + 1, row, sentAt);
            }
            return LastReason<LeaseError>::fail({ LeaseErrorCode::Unavailable, mayHaveTakenEffect });
        }
        const uint64_t current = result->results.back().version;
        result->results.pop_back();
        if (result->committed) {
            noteHeld(current, row, sentAt);
            return result;
        }
        if (current == version && m_held) {
            return result; // The condition of another op failed; the lease is unchanged.
        }
        if (m_held) {
            EventLog::write(LogLevel::Warning, Event::FencedWriteRefused, { { "lease", m_options.name }, { "token", std::to_string(token) } });
        }
        noteLost("taken");
        return LastReason<LeaseError>::fail({ LeaseErrorCode::Fenced, false });
    }

    /** Reads the lease row back after a lost answer. */
    bool isInForce(uint64_t version, const Row &row)
    {
        const auto rows = m_store.read({ m_rowKey });
        if (!rows || rows->empty() || rows->front().version != version) {
            return false;
        }
        const std::optional<Row> current = parse(rows->front().value);
        return current && current->holder == row.holder && current->token == row.token && current->expiresMs == row.expiresMs;
    }

    void noteHeld(uint64_t version, const Row &row, TimePoint sentAt)
    {
        m_held = true;
        m_version = version;
        m_token = row.token;
        m_validUntil = sentAt + m_options.duration - m_options.margin;
        m_validUntilMs = row.expiresMs - milliseconds(m_options.margin);
    }

    void noteLost(const char *cause)
    {
        if (m_held) {
            m_held = false;
            EventLog::write(LogLevel::Warning, Event::LeaseLost, { { "lease", m_options.name }, { "cause", cause } });
        }
    }

    S &m_store;
    const C &m_clock;
    const W &m_wallClock;
    const LeaseOptions m_options;
    const std::string m_rowKey;
    std::mt19937_64 m_random;
    bool m_held = false;
    uint64_t m_version = 0; /**< Version of the lease row as this holder wrote it. */
    uint64_t m_token = 0;
    TimePoint m_validUntil {};
    int64_t m_validUntilMs = 0;
    TimePoint m_nextAttempt {};
};

} // namespace carobjunction
