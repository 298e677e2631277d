#pragma once

#include <carobjunction/process/latencyquantile.h>
#include <carobjunction/process/retrybudget.h>
#include <carobjunction/process/suspecttable.h>
#include <carobjunction/process/targettable.h>
#include <carobjunction/request/attemptplanner.h>
#include <carobjunction/request/callresult.h>
#include <carobjunction/version/configtable.h>

#include "process/claims.h"
#include "process/settings.h"
#include "request/decisionlog.h"

#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>

namespace carobjunction
{

class AdmissionService;
class Metrics;
class PeerChannels;

/** Components of the daemon that an EntryService uses. All must outlive it. */
struct EntryDependencies {
    const Settings &settings;
    ConfigTable &configs;
    TargetTable<SteadyClock> &targets;
    SuspectTable<SteadyClock> &suspects;
    AdmissionService &admission;
    PeerChannels &channels;
    Claims *claims; /**< Null if the daemon runs without a store. */
    Metrics &metrics;
    DecisionLog &decisions;
    std::function<bool()> isReady; /**< Returns whether the configurations have been received from the store or a peer. */
    std::function<void(const std::string &daemon)> onDaemonUnreachable; /**< Called with the id of a daemon that could not be reached. */
};

/** Processes calls on the daemon that received them: validates a call, claims its idempotency key, routes it and records its result. Thread-safe. */
class EntryService
{
public:
    explicit EntryService(EntryDependencies dependencies);
    ~EntryService();

    /**
     * Processes a call and blocks until it has ended.
     * @param request  request with service, method, path, headers, body, caller, key, hops and retries set
     * @param callerTimeout  time limit of the caller, empty if it sent none
     */
    CallResult call(CallRequest request, std::optional<Duration> callerTimeout);

    /** @return whether this daemon has routed calls to the service */
    bool hasRoutedCalls(const std::string &service);

    // Called by EntrySession.
    std::optional<RouteChoice> choose(const ServiceConfig &config, std::span<const std::string> excluded);
    Metrics &metrics();
    bool tryAcquireRetryToken(const ServiceConfig &config);
    void countAttempt(AttemptKind kind);
    std::function<void()> dispatch(CallRequest request, const RouteChoice &choice, bool mayQueue, std::function<void(CallResult)> completion);
    void reportAttempt(const CallRequest &request, const TargetInfo &target, const AttemptReport &report);
    Duration artificialDelay(const TargetInfo &target) const;

private:
    struct ServiceState;

    std::shared_ptr<ServiceState> findOrCreateState(const ServiceConfig &config);
    CallResult validateAndRoute(const std::shared_ptr<const ServiceConfig> &config, CallRequest request, std::optional<Duration> callerTimeout);
    CallResult routeValidated(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request);
    CallResult claimAndRoute(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request);
    ClaimOutcome claim(const ServiceConfig &config, const CallRequest &request);
    CallResult runSession(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, const CallRequest &request);
    AttemptRules attemptRules(const ServiceConfig &config, const RouteRule &rule, const CallRequest &request);
    Duration responseTransitTime(const TargetInfo &target, const ServiceConfig &config) const;
    void recordCall(const CallRequest &request, const CallResult &result, std::vector<AttemptRecord> attempts, Duration duration);

    EntryDependencies m_dependencies;
    std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<ServiceState>> m_services;
};

} // namespace carobjunction
