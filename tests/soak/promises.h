#pragma once

#include "connection/httpclientpool.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace carobjunction::soak
{

/** Bounds of the promises. */
struct PromiseBounds {
    Duration drainTime = std::chrono::milliseconds(2500); /**< After an acknowledged leave, in which requests may still arrive. */
    Duration contactTime = std::chrono::seconds(4); /**< After a fault of a VM, in which bounds of time don't hold for it. */
    Duration answerMargin = std::chrono::milliseconds(700); /**< Beyond the deadline that a caller sent. */
    Duration crossingTime = std::chrono::milliseconds(200); /**< A request that was not passed on may cross the close of its connection. */
};

/** A request of a caller that has come to its end. */
struct CallerExchange {
    std::string request;
    std::string vm; /**< At whose daemon it was sent. */
    HttpRequest message;
    ExchangeResult result;
    TimePoint sentAt;
    TimePoint deadline; /**< At which the answer was due. */
    TimePoint endedAt;
    bool isOnKeptConnection = false; /**< Its connection had carried another request before. */
};

/** What the callers and backend servers of a soak see, checked against what carobjunction promises. Not thread-safe. */
class Promises
{
public:
    explicit Promises(const PromiseBounds &bounds) : m_bounds(bounds)
    {
    }

    /** A daemon or one of its links is harmed at @p until or before. */
    void onHarm(const std::string &vm, TimePoint until);

    /** The process of a daemon ends, gracefully or not, with all its connections. */
    void onProcessEnd(const std::string &vm, TimePoint now);

    /** A daemon acknowledged that a backend server leaves. Heartbeats repeat it; the first counts. */
    void onLeaveAcknowledged(const std::string &backend, TimePoint now);

    /** A caller sends a request. */
    void onSent(const std::string &request, bool isIdempotent);

    /** A backend server begins to run a request. @param service  of the backend server. @param expectedService  of the request's route */
    void onRun(const HttpRequest &message, const std::string &vm, const std::string &backend, const std::string &service, TimePoint now);

    void onEnd(const CallerExchange &exchange);

    /** A daemon answered a request on a route of a configuration version. @param start  of the daemon, counted */
    void onVersionSeen(const std::string &vm, int start, int version, bool isKnown);

    void fail(const std::string &promise, const std::string &detail);

    /** @return whether @p vm was unharmed for the contact time */
    bool isInTouch(const std::string &vm, TimePoint now) const;

    const std::vector<std::string> &failures() const
    {
        return m_failures;
    }

    size_t answered() const
    {
        return m_answered;
    }

    size_t refused() const
    {
        return m_refused.size();
    }

    size_t ran() const
    {
        return m_runs.size();
    }

private:
    void checkSuccess(const CallerExchange &exchange);
    void checkLoss(const CallerExchange &exchange);
    void checkKeptConnection(const CallerExchange &exchange);
    void failIfPassedOn(const CallerExchange &exchange, const std::string &promise);

    PromiseBounds m_bounds;
    std::map<std::string, TimePoint> m_harmedUntil; /**< By VM. */
    std::map<std::string, TimePoint> m_processEndedAt; /**< Last end of each VM's daemon. */
    std::map<std::string, TimePoint> m_leaving; /**< By backend server. */
    std::map<std::string, bool> m_sent; /**< Whether each request may be repeated. */
    std::map<std::string, int> m_runs;
    std::map<std::string, std::set<std::string>> m_seals; /**< Of the backend servers that ran each request. */
    std::set<std::string> m_refused;
    std::map<std::string, std::string> m_closedEarly; /**< Promise that a request breaks if it runs after its connection was closed. */
    std::map<std::pair<std::string, int>, int> m_newestSeen; /**< Configuration version, by VM and start of its daemon. */
    size_t m_answered = 0;
    std::vector<std::string> m_failures;
};

} // namespace carobjunction::soak
