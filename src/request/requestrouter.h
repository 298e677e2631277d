#pragma once

#include <carobjunction/process/clusterretrybudget.h>
#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/stopschedule.h>
#include <carobjunction/process/vmdirectory.h>
#include <carobjunction/version/routetable.h>

#include "connection/httplistener.h"
#include "process/metrics.h"
#include "process/routeservicetimes.h"
#include "request/forwarding.h"
#include "request/platformheaders.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace carobjunction
{

/** Dependencies of the router that the daemon provides. */
struct RouterEnvironment {
    std::function<std::shared_ptr<const RouteTable>()> routes; /**< Returns the routes in force, or null before the first table is published. */
    std::function<Task<ForwardResult>(std::string daemon, ForwardRequest, CancellationPtr)> forward; /**< Forwards a request to the daemon of a target. */
    std::string callerService; /**< Service of the VM on which this daemon runs. */
    std::function<Duration()> suspendedTime; /**< Returns the total time for which the VM was suspended since boot, see SuspensionMeter. */
    std::function<const StopSchedule *()> stopSchedule; /**< Returns the schedule of the stop in progress, or null if there is none. */
};

/**
 * Routes the requests of callers on the entry daemon: selects the route, forwards the request to one target after another until one of
 * them answers it, and returns the answer. Used on one event loop; not thread-safe.
 *
 * A request that may have run is retried only if it is idempotent. Status 429, 503 or 421 is returned only if the request is proven not to
 * have run.
 */
class RequestRouter
{
public:
    /** Maximum number of times that one request is forwarded to a daemon. */
    static constexpr uint32_t MaxHops = 6;
    /** Maximum number of forwards to targets with an expected free slot, before the request is queued at a target. */
    static constexpr uint32_t MaxFreeSlotAttempts = 4;
    /** Maximum number of forwards to another region, whose traffic is billed by volume. */
    static constexpr uint32_t MaxOtherRegionAttempts = 2;
    /** Assumed round-trip time to another region. */
    static constexpr Duration RegionRoundTrip = std::chrono::milliseconds(70);

    /** All referenced objects must outlive the router. */
    RequestRouter(RouterEnvironment environment,
                  const PlatformHeaders &headers,
                  VmDirectory &vmDirectory,
                  ClusterRetryBudget &clusterRetryBudget,
                  const CrashHistory &crashHistory,
                  RouteServiceTimes &routeServiceTimes,
                  Metrics &metrics);

    /** Routes one request. @return the answer to the caller */
    Task<MaybeResponse> handle(HttpRequest message, CancellationPtr cancellation);

    /** @return the refusal of a request that arrived while this daemon is stopping */
    HttpResponse refuseWhenStopping(const HttpRequest &message);

    /** @return the refusal of a request whose body exceeds the memory left for request bodies */
    HttpResponse refuseForBodyRoom(const http::fields &head);

private:
    struct RequestState;

    void logAttempt(const RequestState &state, const std::string &daemon, const ForwardResult &result) const;
    void recordOutcome(const RequestState &state, const HttpResponse &response, bool wasCancelled);
    std::optional<HttpResponse> prepareRequest(RequestState &state, HttpRequest message);
    const std::string &chooseService(const HostRoute &route);
    void subtractSuspension(RequestState &state) const;
    bool fitsStopSchedule(RequestState &state, TimePoint now) const;
    Task<HttpResponse> forwardUntilAnswered(RequestState &state, CancellationPtr cancellation);
    static Duration shortestPredictedWait(const RequestState &state);
    std::optional<std::string> chooseTarget(RequestState &state, TimePoint now);
    std::optional<std::string>
    chooseInScope(RequestState &state, TargetScope scope, bool mayQueue, TimePoint now, std::optional<Duration> maxWait = std::nullopt);
    std::optional<std::string> chooseInOtherRegion(RequestState &state, TimePoint answerDeadline, TimePoint now);
    std::optional<std::string> chooseForQueueing(RequestState &state, TimePoint answerDeadline, TimePoint now);
    std::optional<HttpResponse> evaluateResult(RequestState &state, const std::string &daemon, ForwardResult result);
    std::optional<HttpResponse> handleAnswer(RequestState &state, const std::string &daemon, ForwardResult result);
    std::optional<HttpResponse> handleRefusal(RequestState &state, const std::string &daemon, const ForwardResult &result);
    std::optional<HttpResponse> handleUnknownOutcome(RequestState &state, const std::string &daemon, const ForwardResult &result);
    bool tryAcquireRetry(RequestState &state, TimePoint now);
    HttpResponse makeFinalAnswer(RequestState &state, Reason reason, Duration retryAfter);
    HttpResponse refuse(const RequestState &state, Reason reason, Duration retryAfter);

    RouterEnvironment m_environment;
    const PlatformHeaders &m_headers;
    VmDirectory &m_vmDirectory;
    ClusterRetryBudget &m_clusterRetryBudget;
    const CrashHistory &m_crashHistory;
    RouteServiceTimes &m_routeServiceTimes;
    Metrics &m_metrics;
    std::minstd_rand m_random { std::random_device {}() };
    std::map<std::string, std::map<std::string, double>> m_currentWeights; /**< Round-robin weights by route and service. */
};

} // namespace carobjunction
