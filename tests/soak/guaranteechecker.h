#pragma once

#include "connection/httpclientpool.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carobjunction::soak
{

/** Time limits of the guarantees. */
struct GuaranteeBounds {
    Duration drainTime = std::chrono::milliseconds(2500); /**< Time after an acknowledged leave in which requests may still start. */
    Duration applyTime = std::chrono::milliseconds(2500); /**< Time after its acknowledgement in which a configuration comes into force. */
    Duration recoveryTime = std::chrono::seconds(4); /**< Time after a fault of a VM in which time limits are not checked for it. */
    Duration deadlineMargin = std::chrono::milliseconds(700); /**< Time after the deadline sent by the caller in which the response may still arrive. */
    Duration closeRaceTime = std::chrono::milliseconds(200); /**< Time in which the close of a connection may lose a request before it is forwarded. */
};

/** Completed exchange of a caller. */
struct CallerExchange {
    std::string request; /**< Request id. */
    std::string vm; /**< VM of the daemon that the request was sent to. */
    HttpRequest message;
    ExchangeResult result;
    TimePoint sentAt;
    TimePoint deadline; /**< Time at which the response was due. */
    TimePoint endedAt;
    bool isOnReusedConnection = false; /**< Whether the connection had carried another request before. */
};

/** Checks the observations of the callers and backend servers of a soak against the guarantees of carobjunction. Not thread-safe. */
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(const GuaranteeBounds &bounds) : m_bounds(bounds)
    {
    }

    /** Records a fault of a daemon or of one of its links that lasts until @p until at the latest. */
    void onFaultInjected(const std::string &vm, TimePoint until);

    /** Records the end of a daemon process, graceful or not, which closes all its connections. */
    void onProcessEnd(const std::string &vm, TimePoint now);

    /** Records a fault of the store that lasts until @p until at the latest. */
    void onStoreFault(TimePoint until);

    /** Records that the store has acknowledged a configuration. Only the first acknowledgement counts. */
    void onVersionAcknowledged(int version, TimePoint now);

    /** Records that a daemon acknowledged the leave of a backend server. Heartbeats repeat the leave; only the first acknowledgement counts. */
    void onLeaveAcknowledged(const std::string &backend, TimePoint now);

    /** Records a request that a caller sends. */
    void onRequestSent(const std::string &request, bool isIdempotent);

    /**
     * Checks a request that a backend server starts to run.
     * @param service  service of the backend server
     */
    void onRequestRun(const HttpRequest &message, const std::string &vm, const std::string &backend, const std::string &service, TimePoint now);

    /** Checks a completed exchange of a caller. */
    void onExchangeEnd(const CallerExchange &exchange);

    /**
     * Checks the configuration version that a daemon applied to a request on a route of that version.
     * @param daemonStart  number of starts of the daemon so far, which identifies its process
     * @param version  version that introduced the route
     * @param isServed  whether the daemon served the route; false if it answered 404
     * @param sentAt  time at which the request was sent
     */
    void onVersionObserved(const std::string &vm, int daemonStart, int version, bool isServed, TimePoint sentAt);

    /** Records a violation. */
    void fail(const std::string &guarantee, const std::string &detail);

    /** @return whether the last fault of @p vm ended longer ago than the recovery time */
    bool hasRecovered(const std::string &vm, TimePoint now) const;

    /** @return descriptions of the violations */
    const std::vector<std::string> &failures() const
    {
        return m_failures;
    }

    size_t answeredCount() const
    {
        return m_answered;
    }

    size_t refusedCount() const
    {
        return m_refusedRequests.size();
    }

    size_t ranCount() const
    {
        return m_runCounts.size();
    }

private:
    void checkSuccess(const CallerExchange &exchange);
    void checkLostResponse(const CallerExchange &exchange);
    void checkReusedConnection(const CallerExchange &exchange);
    void checkVersionInTime(const std::string &vm, int version, TimePoint sentAt);
    void failIfForwarded(const CallerExchange &exchange, const std::string &guarantee);

    GuaranteeBounds m_bounds;
    std::map<std::string, TimePoint> m_faultyUntil; /**< End of the last fault, by VM. */
    std::map<std::string, TimePoint> m_processEndedAt; /**< Last end of the daemon process, by VM. */
    std::map<int, TimePoint> m_versionAcknowledgedAt;
    TimePoint m_storeFaultyUntil; /**< End of the last fault of the store. */
    std::map<std::string, TimePoint> m_leaveAcknowledgedAt; /**< Time of the first acknowledgement, by backend server. */
    std::map<std::string, bool> m_isIdempotentByRequest; /**< Whether the request is idempotent, by request id. */
    std::map<std::string, int> m_runCounts;
    std::map<std::string, std::set<std::string>> m_sealsByRequest; /**< Response seals of the backend servers that ran the request, by request id. */
    std::set<std::string> m_refusedRequests;
    std::map<std::string, std::string> m_closedBeforeRun; /**< Guarantee that a request violates if it runs after its connection was closed, by request id. */
    std::map<std::pair<std::string, int>, int> m_newestVersions; /**< Newest configuration version observed, by VM and daemon start. */
    size_t m_answered = 0;
    std::vector<std::string> m_failures;
};

} // namespace carobjunction::soak
