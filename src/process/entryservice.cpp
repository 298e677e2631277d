#include "process/entryservice.h"

#include <carobjunction/request/fingerprint.h>

#include "connection/peerchannels.h"
#include "connection/protocolconversion.h"
#include "process/admissionservice.h"
#include "process/eventlog.h"
#include "process/metrics.h"
#include "request/entrysession.h"

#include <array>
#include <thread>

namespace carobjunction
{

namespace
{

constexpr uint32_t MaxHops = 12;
/** Time limit reserved for the response of a daemon in the same region. */
constexpr std::chrono::milliseconds IntraRegionTransitTime(1);
/** Delays before the repeated attempts to claim a key whose claim is unresolved. */
constexpr std::array<std::chrono::milliseconds, 3> UnresolvedClaimRetryDelays
    = { std::chrono::milliseconds(25), std::chrono::milliseconds(100), std::chrono::milliseconds(400) };

CallResult notRunResult(Reason reason)
{
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    return result;
}

CallResult resultFromClaim(const ClaimOutcome &claimOutcome)
{
    switch (claimOutcome.state) {
    case ClaimState::Done: {
        CallResult result = claimOutcome.result.value_or(CallResult());
        result.outcome = Outcome::Ran;
        result.reason = Reason::AlreadyRan;
        return result;
    }
    case ClaimState::Unresolved: {
        CallResult result;
        result.outcome = Outcome::Unknown;
        result.reason = Reason::ClaimUnresolved;
        return result;
    }
    case ClaimState::KeyMismatch:
        return notRunResult(Reason::KeyMismatch);
    default:
        return notRunResult(Reason::StoreUnavailable);
    }
}

} // namespace

struct EntryService::ServiceState {
    ServiceState(const SteadyClock &clock, const ServiceConfig &config) : budget(clock, config.retries.budgetShare)
    {
    }

    RetryBudget<SteadyClock> budget;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<LatencyQuantile<SteadyClock>>> latencyQuantiles; /**< Keyed by method and path prefix of the route. */
};

namespace
{
const SteadyClock Clock;
}

EntryService::EntryService(EntryDependencies dependencies) : m_dependencies(std::move(dependencies))
{
}

EntryService::~EntryService() = default;

CallResult EntryService::call(CallRequest request, std::optional<Duration> callerTimeout)
{
    const std::shared_ptr<const ServiceConfig> config = m_dependencies.configs.find(request.service);
    CallResult result = validateAndRoute(config, std::move(request), callerTimeout);
    result.configVersion = config ? config->version : 0;
    return result;
}

CallResult EntryService::validateAndRoute(const std::shared_ptr<const ServiceConfig> &config, CallRequest request, std::optional<Duration> callerTimeout)
{
    const TimePoint startedAt = Clock.now();
    const RouteRule *rule = config ? config->match(request.method, request.path) : nullptr;
    CallResult result;
    if (!config) {
        result = notRunResult(m_dependencies.isReady() ? Reason::UnknownService : Reason::NoConfiguration);
    } else if (!rule) {
        result = notRunResult(Reason::UnknownRoute);
    } else if (request.hops > MaxHops) {
        result = notRunResult(Reason::TooManyHops);
    } else if (request.body.size() > config->maxBodyBytes) {
        result = notRunResult(Reason::BodyTooLarge);
    } else {
        const Duration timeout = std::min(callerTimeout.value_or(rule->deadline), rule->deadline);
        request.deadline = Deadline::after(startedAt, timeout);
        request.idempotent = rule->idempotent;
        request.priority = rule->priority;
        request.configVersion = config->version;
        request.fingerprint = computeFingerprint(request.service, request.method, request.path, request.body);
        return routeValidated(config, *rule, std::move(request));
    }
    recordCall(request, result, {}, Clock.now() - startedAt);
    return result;
}

CallResult EntryService::routeValidated(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request)
{
    const SuspectState suspectState = m_dependencies.suspects.state(request.fingerprint);
    request.suspect = suspectState == SuspectState::Suspect;
    std::optional<CallResult> refusal;
    if (suspectState == SuspectState::Condemned) {
        refusal = notRunResult(Reason::Condemned);
    } else if (!rule.idempotent && rule.keyRequired && request.key.empty()) {
        refusal = notRunResult(Reason::Malformed);
    }
    if (refusal) {
        recordCall(request, *refusal, {}, Duration::zero());
        return *refusal;
    }
    findOrCreateState(*config)->budget.onFirstAttempt();
    if (!rule.idempotent && !request.key.empty()) {
        return claimAndRoute(config, rule, std::move(request));
    }
    return runSession(config, rule, request);
}

CallResult EntryService::claimAndRoute(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request)
{
    const TimePoint startedAt = Clock.now();
    const ClaimOutcome claimOutcome = claim(*config, request);
    if (claimOutcome.state != ClaimState::Won) {
        CallResult result = resultFromClaim(claimOutcome);
        recordCall(request, result, {}, Clock.now() - startedAt);
        return result;
    }
    request.claimId = claimOutcome.claimId;
    CallResult result = runSession(config, rule, request);
    if (result.outcome == Outcome::NotRun) {
        m_dependencies.claims->release(request.service, request.key, request.claimId);
    }
    return result;
}

// A resent request often arrives while the first one is still running or before its result is recorded, so an unresolved claim is retried.
ClaimOutcome EntryService::claim(const ServiceConfig &config, const CallRequest &request)
{
    ClaimOutcome claimOutcome;
    if (!m_dependencies.claims) {
        return claimOutcome;
    }
    claimOutcome = m_dependencies.claims->claim(request.service, request.key, request.fingerprint, config.keyWindow, request.deadline);
    for (const std::chrono::milliseconds retryDelay : UnresolvedClaimRetryDelays) {
        if (claimOutcome.state != ClaimState::Unresolved || request.deadline.remaining(Clock.now()) <= retryDelay) {
            return claimOutcome;
        }
        std::this_thread::sleep_for(retryDelay);
        claimOutcome = m_dependencies.claims->claim(request.service, request.key, request.fingerprint, config.keyWindow, request.deadline);
    }
    return claimOutcome;
}

CallResult EntryService::runSession(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, const CallRequest &request)
{
    const TimePoint startedAt = Clock.now();
    const auto session = std::make_shared<EntrySession>(*this, config, request, attemptRules(*config, rule, request));
    CallResult result = session->run();
    const Duration duration = Clock.now() - startedAt;
    if (result.outcome == Outcome::Ran) {
        const auto state = findOrCreateState(*config);
        const std::scoped_lock lock(state->mutex);
        auto &quantile = state->latencyQuantiles[rule.method + rule.pathPrefix];
        if (!quantile) {
            quantile = std::make_unique<LatencyQuantile<SteadyClock>>(Clock, config->retries.hedgeQuantile);
        }
        quantile->record(duration);
    }
    recordCall(request, result, session->attempts(), duration);
    return result;
}

AttemptRules EntryService::attemptRules(const ServiceConfig &config, const RouteRule &rule, const CallRequest &request)
{
    AttemptRules rules;
    rules.idempotent = rule.idempotent;
    rules.maxReroutes = config.routing.maxReroutes;
    rules.maxRetries = rule.idempotent ? rule.maxRetries : 0;
    rules.deadline = request.deadline;
    // A suspected request could crash a second backend server, so it is not hedged. A request without retries left is not hedged either.
    if (rule.idempotent && rule.hedge && !request.suspect && request.retriesLeft > 0) {
        const auto state = findOrCreateState(config);
        const std::scoped_lock lock(state->mutex);
        const auto found = state->latencyQuantiles.find(rule.method + rule.pathPrefix);
        if (found != state->latencyQuantiles.end()) {
            rules.hedgeDelay = found->second->quantile();
        }
    }
    return rules;
}

bool EntryService::hasRoutedCalls(const std::string &service)
{
    const std::shared_lock lock(m_mutex);
    return m_services.contains(service);
}

std::shared_ptr<EntryService::ServiceState> EntryService::findOrCreateState(const ServiceConfig &config)
{
    {
        const std::shared_lock lock(m_mutex);
        const auto found = m_services.find(config.service);
        if (found != m_services.end()) {
            return found->second;
        }
    }
    const std::unique_lock lock(m_mutex);
    auto &state = m_services[config.service];
    if (!state) {
        state = std::make_shared<ServiceState>(Clock, config);
    }
    return state;
}

std::optional<RouteChoice> EntryService::choose(const ServiceConfig &config, std::span<const std::string> excluded)
{
    if (config.service == m_dependencies.settings.service) {
        // The exact load of the local target can be read at no cost, so it is updated before each choice.
        m_dependencies.targets.observeLoad(config.service, m_dependencies.settings.daemon, m_dependencies.admission.load());
    }
    return m_dependencies.targets.choose(config, excluded);
}

Metrics &EntryService::metrics()
{
    return m_dependencies.metrics;
}

bool EntryService::tryAcquireRetryToken(const ServiceConfig &config)
{
    const auto state = findOrCreateState(config);
    state->budget.setShare(config.retries.budgetShare);
    return state->budget.tryAcquire();
}

void EntryService::countAttempt(AttemptKind kind)
{
    m_dependencies.metrics.add(Counter::Attempts);
    switch (kind) {
    case AttemptKind::First:
        return;
    case AttemptKind::Reroute:
        m_dependencies.metrics.add(Counter::Reroutes);
        return;
    case AttemptKind::Retry:
        m_dependencies.metrics.add(Counter::Retries);
        return;
    case AttemptKind::Hedge:
        m_dependencies.metrics.add(Counter::Hedges);
        return;
    }
}

std::function<void()> EntryService::dispatch(CallRequest request, const RouteChoice &choice, bool mayQueue, std::function<void(CallResult)> completion)
{
    if (choice.own) {
        const auto session = m_dependencies.admission.submit(std::move(request), choice.target.incarnation, mayQueue, std::move(completion));
        return [session] {
            session->cancel();
        };
    }
    const Duration delay = artificialDelay(choice.target);
    if (delay > Duration::zero()) {
        std::this_thread::sleep_for(delay);
    }
    v1::DispatchRequest message = toMessage(request, request.deadline.remaining(Clock.now()));
    message.set_target_incarnation(choice.target.incarnation);
    message.set_may_queue(mayQueue);
    if (choice.target.region != m_dependencies.settings.region) {
        m_dependencies.metrics.add(Counter::DispatchBytesCrossRegion, message.ByteSizeLong());
    }
    const auto config = m_dependencies.configs.find(request.service);
    const Duration transitTime = config ? responseTransitTime(choice.target, *config) : IntraRegionTransitTime;
    const auto call = m_dependencies.channels.dispatch(choice.target.peerAddress, std::move(message), request.deadline, transitTime, std::move(completion));
    if (!call) {
        return {};
    }
    return [call] {
        call->cancel();
    };
}

// Returns the time that the response needs to travel back; the peer must finish this much before the deadline.
Duration EntryService::responseTransitTime(const TargetInfo &target, const ServiceConfig &config) const
{
    if (target.region == m_dependencies.settings.region) {
        return IntraRegionTransitTime;
    }
    return config.routing.regionCost / 2;
}

void EntryService::reportAttempt(const CallRequest &request, const TargetInfo &target, const AttemptReport &report)
{
    m_dependencies.targets.finished(request.service, target.daemon, target.incarnation, report);
    if (report.reason == Reason::Leaving) {
        m_dependencies.targets.markLeaving(request.service, target.daemon, target.incarnation);
    }
    if (report.reason == Reason::PeerUnreachable || (report.outcome == Outcome::Unknown && report.reason == Reason::AnswerLost)) {
        m_dependencies.onDaemonUnreachable(target.daemon);
    }
}

Duration EntryService::artificialDelay(const TargetInfo &target) const
{
    return target.region == m_dependencies.settings.region ? Duration::zero() : m_dependencies.settings.regionDelay;
}

void EntryService::recordCall(const CallRequest &request, const CallResult &result, std::vector<AttemptRecord> attempts, Duration duration)
{
    switch (result.outcome) {
    case Outcome::Ran:
        m_dependencies.metrics.add(Counter::CallsRan);
        m_dependencies.metrics.observe(Histogram::AddedLatency, std::max<Duration>(duration - result.serviceTime, Duration::zero()));
        break;
    case Outcome::NotRun:
        m_dependencies.metrics.add(Counter::CallsNotRun);
        break;
    case Outcome::Unknown:
        m_dependencies.metrics.add(Counter::CallsUnknown);
        break;
    }
    m_dependencies.metrics.observe(Histogram::CallLatency, duration);
    if (EventLog::isEnabled(LogLevel::Info)) {
        EventLog::write(LogLevel::Info,
                        Event::CallAnswered,
                        { { "request", request.requestId },
                          { "service", request.service },
                          { "outcome", std::string(nameOf(result.outcome)) },
                          { "reason", std::string(nameOf(result.reason)) },
                          { "status", std::to_string(result.status) },
                          { "target", result.target },
                          { "attempts", std::to_string(attempts.size()) },
                          { "duration_us", std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(duration).count()) } });
    }
    DecisionRecord decision;
    decision.requestId = request.requestId;
    decision.service = request.service;
    decision.method = request.method;
    decision.path = request.path;
    decision.caller = request.caller;
    decision.configVersion = request.configVersion;
    decision.idempotent = request.idempotent;
    decision.attempts = std::move(attempts);
    decision.outcome = result.outcome;
    decision.reason = result.reason;
    decision.status = result.status;
    decision.duration = duration;
    m_dependencies.decisions.add(std::move(decision));
}

} // namespace carobjunction
