#pragma once

#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/retryledger.h>
#include <carobjunction/process/vmdirectory.h>
#include <carobjunction/version/routetable.h>

#include "connection/httplistener.h"
#include "process/metrics.h"
#include "process/workestimates.h"
#include "request/forwarding.h"
#include "request/servedheaders.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace carobjunction
{

/** What the router needs of the process around it. */
struct RouterEnvironment {
    std::function<std::shared_ptr<const RouteTable>()> routes; /**< Routes in force; null before the first. */
    std::function<Task<ForwardResult>(std::string daemon, ForwardRequest, CancellationPtr)> forward; /**< Sends to a target. */
    std::string callerService; /**< Service of the VM on which this daemon runs. */
};

/**
 * Role of the daemon that a caller reaches: finds the route, chooses targets one after the other, and answers.
 * Used on one event loop; not thread-safe.
 *
 * A request that may have run is sent again only if it is idempotent. 429, 503 and 421 are answered only if it is proven that
 * nothing ran.
 */
class RequestRouter
{
public:
    /** Calls to other daemons for one request. */
    static constexpr uint32_t MaxHops = 6;
    /** Of these, calls to targets that are expected to have a free slot, before a wait at one of them. */
    static constexpr uint32_t MaxFreeTries = 4;
    /** Time that a round trip to another region takes. */
    static constexpr Duration RegionRoundTrip = std::chrono::milliseconds(70);

    /** All references outlive this object. */
    RequestRouter(RouterEnvironment environment,
                  const ServedHeaders &headers,
                  VmDirectory &directory,
                  RetryLedger &ledger,
                  const CrashHistory &crashes,
                  WorkEstimates &work,
                  Metrics &metrics);

    Task<MaybeResponse> handle(HttpRequest message, CancellationPtr cancellation);

    /** @return the answer to a request that came when this daemon is about to end */
    HttpResponse refuseStopped(const HttpRequest &message);

    /** @return the answer to a request for whose body there is no room */
    HttpResponse refuseForRoom(const http::fields &head);

private:
    struct Call;

    void logAttempt(const Call &call, const std::string &daemon, const ForwardResult &result) const;
    void record(const Call &call, const HttpResponse &response, bool wasCancelled);
    std::optional<HttpResponse> prepare(Call &call, HttpRequest message);
    const std::string &chooseService(const HostRoute &route);
    Task<HttpResponse> attempt(Call &call, CancellationPtr cancellation);
    std::optional<std::string> chooseTarget(Call &call, TimePoint now);
    std::optional<std::string> chooseIn(Call &call, TargetScope scope, bool mayQueue, TimePoint now);
    std::optional<std::string> chooseFar(Call &call, TimePoint answerBy, TimePoint now);
    std::optional<std::string> chooseQueue(Call &call, TimePoint answerBy, TimePoint now);
    std::optional<HttpResponse> judge(Call &call, const std::string &daemon, ForwardResult result);
    std::optional<HttpResponse> judgeAnswer(Call &call, const std::string &daemon, ForwardResult result);
    std::optional<HttpResponse> judgeRefusal(Call &call, const std::string &daemon, const ForwardResult &result);
    std::optional<HttpResponse> judgeLoss(Call &call, const std::string &daemon, const ForwardResult &result);
    bool mayRepeat(Call &call, TimePoint now);
    HttpResponse finish(Call &call, Reason reason, Duration retryAfter);
    HttpResponse refuse(const Call &call, Reason reason, Duration retryAfter);

    RouterEnvironment m_environment;
    const ServedHeaders &m_headers;
    VmDirectory &m_directory;
    RetryLedger &m_ledger;
    const CrashHistory &m_crashes;
    WorkEstimates &m_work;
    Metrics &m_metrics;
    std::minstd_rand m_random { std::random_device {}() };
    std::map<std::string, std::map<std::string, double>> m_credits; /**< Of each part of a split route, for an even sequence. */
};

} // namespace carobjunction
