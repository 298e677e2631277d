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

/** Parts of the daemon that the entry side of a call uses. All must outlive the EntryService. */
struct EntryParts {
    const Settings &settings;
    ConfigTable &configs;
    TargetTable<SteadyClock> &targets;
    SuspectTable<SteadyClock> &suspects;
    AdmissionService &admission;
    PeerChannels &channels;
    Claims *claims; /**< Null without a store. */
    Metrics &metrics;
    DecisionLog &decisions;
    std::function<bool()> isReady; /**< Whether configurations were learned from the store or a peer. */
    std::function<void(const std::string &daemon)> unreachable; /**< Called when a daemon could not be reached. */
};

/** The entry daemon's side of a call: checks it, claims its key, routes it and tells how it ended. Thread-safe. */
class EntryService
{
public:
    explicit EntryService(EntryParts parts);
    ~EntryService();

    /**
     * Handles a request whose service, method, path, headers, body, caller, key, hops and retries are set.
     * @param callerDeadline  time that the caller allows, empty if it did not say
     */
    CallResult call(CallRequest request, std::optional<Duration> callerDeadline);

    /** @return whether this daemon has routed calls of the service */
    bool isUsed(const std::string &service);

    // Used by EntrySession.
    std::optional<RouteChoice> choose(const ServiceConfig &config, std::span<const std::string> excluded);
    Metrics &metrics();
    bool takeRetryToken(const ServiceConfig &config);
    void countAttempt(AttemptKind kind);
    std::function<void()> dispatch(CallRequest request, const RouteChoice &choice, bool mayQueue, std::function<void(CallResult)> completion);
    void reportAttempt(const CallRequest &request, const TargetInfo &target, const AttemptReport &report);
    Duration addedDelay(const TargetInfo &target) const;

private:
    struct ServiceState;

    std::shared_ptr<ServiceState> stateOf(const ServiceConfig &config);
    CallResult callUnder(const std::shared_ptr<const ServiceConfig> &config, CallRequest request, std::optional<Duration> callerDeadline);
    CallResult route(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request);
    CallResult routeClaimed(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request);
    ClaimAnswer claim(const ServiceConfig &config, const CallRequest &request);
    CallResult runSession(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, const CallRequest &request);
    AttemptRules rulesFor(const ServiceConfig &config, const RouteRule &rule, const CallRequest &request);
    Duration networkTime(const TargetInfo &target, const ServiceConfig &config) const;
    void record(const CallRequest &request, const CallResult &result, std::vector<AttemptRecord> attempts, Duration duration);

    EntryParts m_parts;
    std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<ServiceState>> m_services;
};

} // namespace carobjunction
