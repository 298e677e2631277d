#pragma once

#include <carobjunction/process/routeconfirmation.h>
#include <carobjunction/version/routetable.h>

#include "connection/detachedtask.h"
#include "connection/sleepfor.h"
#include "process/backoff.h"
#include "process/eventlog.h"
#include "process/metrics.h"
#include "process/storereachability.h"
#include "process/suspensionmeter.h"
#include "process/tablestore.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace carobjunction
{

/**
 * Keeps the newest routes of the store in force. It watches their table, and asks the store again if neither a response nor a peer has confirmed
 * the routes for a while, because a watch whose response is lost ends without a sign. Versions only increase. Used on one event loop.
 */
template<typename Platform>
class RouteFollower
{
public:
    /** Maximum duration of one watch request to the store. */
    static constexpr Duration MaxWatchDuration = std::chrono::seconds(28);
    /** Time that the watch has to deliver routes that a check has found. A watch that is later than this is sent again. */
    static constexpr Duration WatchGrace = std::chrono::milliseconds(500);
    /** Time for which a check waits for changes. Not zero, so that the store looks for changes at all. */
    static constexpr Duration CheckWait = std::chrono::milliseconds(10);
    /** Time without a further part of a response after which its watch counts as lost. The whole response may take longer on a slow link. */
    static constexpr Duration MaxReceivePause = std::chrono::seconds(1);
    /** Interval at which a due check waits for the next watch, while the store has not answered the last one. */
    static constexpr Duration WatchPollInterval = std::chrono::milliseconds(50);

    /** All references must outlive this object. */
    RouteFollower(asio::io_context &loop, TableStore<typename Platform::Dialect> &store, StoreReachability &reachability, Metrics &metrics)
        : m_loop(loop), m_store(store), m_reachability(reachability), m_metrics(metrics)
    {
    }

    /**
     * Starts to follow the routes.
     * @param onConfirmed  called after the store has confirmed the routes in reply to a check, to inform the peers
     */
    void start(std::function<void()> onConfirmed)
    {
        m_onConfirmed = std::move(onConfirmed);
        spawnSupervised(m_loop, "follow-routes", [this] { return follow(); });
        spawnSupervised(m_loop, "check-routes", [this] { return checkWhenDue(); });
    }

    /** @return the routes in force, null before the first ones */
    std::shared_ptr<const RouteTable> routes() const
    {
        return m_routes;
    }

    /** @return the text of the routes in force, empty before the first ones */
    const std::string &text() const
    {
        return m_text;
    }

    /** @return version of the routes in force, 0 before the first ones */
    uint64_t version() const
    {
        return m_routes ? m_routes->version() : 0;
    }

    /** Decodes routes and puts them into force if their version is newer than the current one. @return whether they are in force now */
    bool apply(const std::string &text, const char *source)
    {
        const auto decoded = Platform::decodeRoutes(text);
        if (!decoded.table) {
            EventLog::write(LogLevel::Error, Event::ConfigRejected, { { "source", source }, { "reason", decoded.errorMessage } });
            return false;
        }
        if (m_routes && decoded.table->version() <= m_routes->version()) {
            return false;
        }
        m_routes = decoded.table;
        m_text = text;
        m_metrics.set(Gauge::ConfigVersion, m_routes->version());
        EventLog::write(LogLevel::Info,
                        Event::ConfigInForce,
                        { { "version", std::to_string(m_routes->version()) }, { "routes", std::to_string(m_routes->routes().size()) }, { "source", source } });
        return true;
    }

    /** Records the confirmation that a peer with the routes @p peerVersion has reported. @param age  age of the confirmation */
    void onPeerConfirmation(uint64_t peerVersion, Duration age)
    {
        m_confirmation.confirmByPeer(peerVersion, version(), age, now());
    }

    /** Reads the routes again, because the store was restored from an older copy and assigns versions that it had assigned before. */
    void onStoreRestored()
    {
        m_storeVersion.reset();
        abandonWatch(m_watchNumber, "store-restored");
    }

    /** @return age of the last confirmation that the routes in force are the newest, empty if there is none */
    std::optional<Duration> confirmationAge() const
    {
        return m_confirmation.age(now());
    }

private:
    /** @return the time on a clock that includes suspensions of the VM, during which the routes may have changed */
    static TimePoint now()
    {
        return SteadyClock().now() + SuspensionMeter::suspendedTimeSinceBoot();
    }

    /** Reads the routes, then watches their table and applies each change. */
    Task<void> follow()
    {
        Backoff backoff;
        while (true) {
            const TimePoint sentAt = now();
            const bool isWatch = m_storeVersion.has_value();
            const auto rows = co_await readOrWatch();
            const TimePoint confirmedAt = std::exchange(m_watchAnsweredAt, std::nullopt).value_or(sentAt);
            if (rows) {
                m_reachability.onResponse();
                backoff.reset();
                m_confirmation.confirm(confirmedAt);
                applyRows(*rows, "store");
            } else if (isWatch && LastError<TableStoreError>::get() == TableStoreError::HistoryLost) {
                m_storeVersion.reset();
            } else {
                if (!std::exchange(m_isWatchAbandoned, false)) {
                    m_reachability.onFailure(Platform::ConfigTable);
                }
                co_await sleepFor(m_loop, backoff.next());
            }
        }
    }

    /** @return the rows of the table, or, once they have been read, their next changes */
    Task<std::optional<TableRows>> readOrWatch()
    {
        ++m_watchNumber;
        m_watchAnsweredAt.reset();
        m_watchProgressAt.reset();
        m_watchCancellation = nullptr; // a previous run of the task may have failed during a watch
        if (!m_storeVersion) {
            co_return co_await m_store.scan(Platform::ConfigTable);
        }
        m_watchCancellation = std::make_shared<Cancellation>();
        auto rows = co_await m_store.watch(Platform::ConfigTable, *m_storeVersion, MaxWatchDuration, m_watchCancellation, [this] { onWatchProgress(); });
        m_watchCancellation = nullptr;
        co_return rows;
    }

    /** Records that a part of the response to the watch has arrived. */
    void onWatchProgress()
    {
        m_watchProgressAt = now();
        m_watchAnsweredAt = m_watchAnsweredAt.value_or(*m_watchProgressAt);
    }

    /** Applies the newest routes among @p rows. @return whether they are newer than those in force before */
    bool applyRows(const TableRows &rows, const char *source)
    {
        m_storeVersion = rows.isSnapshot ? rows.version : std::max(m_storeVersion.value_or(0), rows.version);
        bool isNewer = false;
        for (const TableRow &row : rows.rows) {
            if (row.key == Platform::ConfigKey && row.isUnreadable) {
                EventLog::write(
                    LogLevel::Error, Event::ConfigRejected, { { "source", source }, { "reason", "the row of the routes does not have the expected format" } });
            } else if (row.key == Platform::ConfigKey && !row.isDeleted) {
                isNewer = apply(row.value, source) || isNewer;
            }
        }
        return isNewer;
    }

    /** Asks the store whenever the routes have not been confirmed for too long. */
    Task<void> checkWhenDue()
    {
        Backoff backoff;
        while (true) {
            const double fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
            for (Duration wait = m_confirmation.untilCheck(fraction, now()); wait > Duration::zero(); wait = m_confirmation.untilCheck(fraction, now())) {
                co_await sleepFor(m_loop, wait);
            }
            if (!m_watchCancellation || isReceiving()) {
                co_await sleepFor(m_loop, WatchPollInterval); // the follower has a response, or waits before its next call to the store
            } else if (co_await check()) {
                backoff.reset();
            } else {
                co_await sleepFor(m_loop, backoff.next());
            }
        }
    }

    /** Asks the store for changes of the routes, and abandons the watch if it should have delivered them. @return whether the store has answered */
    Task<bool> check()
    {
        const uint64_t watchNumber = m_watchNumber;
        const TimePoint sentAt = now();
        m_confirmation.onCheckStarted(sentAt);
        m_metrics.add(Counter::RouteChecks);
        const auto rows = co_await readChanges();
        if (!rows) {
            const TableStoreError error = LastError<TableStoreError>::get();
            m_reachability.onFailure(Platform::ConfigTable);
            if (error != TableStoreError::Refused) {
                abandonWatch(watchNumber, std::string(nameOf(error)));
            }
            co_return false;
        }
        m_reachability.onResponse();
        m_confirmation.confirm(sentAt);
        const bool isNewer = applyRows(*rows, "store-check");
        m_onConfirmed();
        if (isNewer) {
            co_await sleepFor(m_loop, WatchGrace);
            abandonWatch(watchNumber, "missed-version");
        }
        co_return true;
    }

    /** @return the changes of the table since the last response, or all of its rows if the store can't tell the changes */
    Task<std::optional<TableRows>> readChanges()
    {
        if (m_storeVersion) {
            auto changes = co_await m_store.watch(Platform::ConfigTable, *m_storeVersion, CheckWait);
            if (changes || LastError<TableStoreError>::get() != TableStoreError::HistoryLost) {
                co_return changes;
            }
        }
        co_return co_await m_store.scan(Platform::ConfigTable);
    }

    /** @return whether the response to the watch is arriving, so that the watch is not lost */
    bool isReceiving() const
    {
        return m_watchProgressAt && now() - *m_watchProgressAt < MaxReceivePause;
    }

    /** Ends the watch with this number, if it is still in progress without a response, so that a new one is sent on another connection. */
    void abandonWatch(uint64_t watchNumber, const std::string &reason)
    {
        if (watchNumber != m_watchNumber || !m_watchCancellation || isReceiving()) {
            return;
        }
        m_isWatchAbandoned = true;
        m_metrics.add(Counter::WatchesAbandoned);
        EventLog::write(LogLevel::Warning, Event::WatchAbandoned, { { "table", Platform::ConfigTable }, { "reason", reason } });
        m_watchCancellation->request();
    }

    asio::io_context &m_loop;
    TableStore<typename Platform::Dialect> &m_store;
    StoreReachability &m_reachability;
    Metrics &m_metrics;
    std::function<void()> m_onConfirmed;
    RouteConfirmation m_confirmation;
    std::optional<uint64_t> m_storeVersion; /**< Version of the store that the routes reflect; empty if the table must be read again. */
    uint64_t m_watchNumber = 0; /**< Number of the last read or watch of the table. */
    std::optional<TimePoint> m_watchAnsweredAt; /**< Time at which the response to the watch began to arrive. */
    std::optional<TimePoint> m_watchProgressAt; /**< Time at which the last part of that response arrived. */
    bool m_isWatchAbandoned = false; /**< The last watch was ended by this daemon, which is no failure of the store. */
    CancellationPtr m_watchCancellation; /**< Ends the watch in progress; null if there is none. */
    std::shared_ptr<const RouteTable> m_routes;
    std::string m_text;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace carobjunction
