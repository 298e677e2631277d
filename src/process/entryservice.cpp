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
constexpr std::chrono::milliseconds NearNetworkTime(1);
constexpr std::array<std::chrono::milliseconds, 3> UnresolvedClaimPauses
    = { std::chrono::milliseconds(25), std::chrono::milliseconds(100), std::chrono::milliseconds(400) };

CallResult notRun(Reason reason)
{
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    return result;
}

CallResult resultOfClaim(const ClaimAnswer &answer)
{
    switch (answer.state) {
    case ClaimState::Done: {
        CallResult result = answer.result.value_or(CallResult());
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
        return notRun(Reason::KeyMismatch);
    default:
        return notRun(Reason::StoreUnavailable);
    }
}

} // namespace

struct EntryService::ServiceState {
    ServiceState(const SteadyClock &clock, const ServiceConfig &config) : budget(clock, config.retries.budgetShare)
    {
    }

    RetryBudget<SteadyClock> budget;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<LatencyQuantile<SteadyClock>>> latencies; /**< By method and path prefix of the route. */
};

namespace
{
const SteadyClock Clock;
}

EntryService::EntryService(EntryParts parts) : m_parts(std::move(parts))
{
}

EntryService::~EntryService() = default;

CallResult EntryService::call(CallRequest request, std::optional<Duration> callerDeadline)
{
    const std::shared_ptr<const ServiceConfig> config = m_parts.configs.find(request.service);
    CallResult result = callUnder(config, std::move(request), callerDeadline);
    result.configVersion = config ? config->version : 0;
    return result;
}

CallResult EntryService::callUnder(const std::shared_ptr<const ServiceConfig> &config, CallRequest request, std::optional<Duration> callerDeadline)
{
    const TimePoint startedAt = Clock.now();
    const RouteRule *rule = config ? config->match(request.method, request.path) : nullptr;
    CallResult result;
    if (!config) {
        result = notRun(m_parts.isReady() ? Reason::UnknownService : Reason::NoConfiguration);
    } else if (!rule) {
        result = notRun(Reason::UnknownRoute);
    } else if (request.hops > MaxHops) {
        result = notRun(Reason::TooManyHops);
    } else if (request.body.size() > config->maxBodyBytes) {
        result = notRun(Reason::BodyTooLarge);
    } else {
        const Duration allowed = std::min(callerDeadline.value_or(rule->deadline), rule->deadline);
        request.deadline = Deadline::after(startedAt, allowed);
        request.idempotent = rule->idempotent;
        request.priority = rule->priority;
        request.configVersion = config->version;
        request.fingerprint = fingerprintOf(request.service, request.method, request.path, request.body);
        return route(config, *rule, std::move(request));
    }
    record(request, result, {}, Clock.now() - startedAt);
    return result;
}

CallResult EntryService::route(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request)
{
    const SuspectState suspicion = m_parts.suspects.state(request.fingerprint);
    request.suspect = suspicion == SuspectState::Suspect;
    std::optional<CallResult> refusal;
    if (suspicion == SuspectState::Condemned) {
        refusal = notRun(Reason::Condemned);
    } else if (!rule.idempotent && rule.keyRequired && request.key.empty()) {
        refusal = notRun(Reason::Malformed);
    }
    if (refusal) {
        record(request, *refusal, {}, Duration::zero());
        return *refusal;
    }
    stateOf(*config)->budget.onFresh();
    if (!rule.idempotent && !request.key.empty()) {
        return routeClaimed(config, rule, std::move(request));
    }
    return runSession(config, rule, request);
}

CallResult EntryService::routeClaimed(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, CallRequest request)
{
    const TimePoint startedAt = Clock.now();
    const ClaimAnswer answer = claim(*config, request);
    if (answer.state != ClaimState::Won) {
        CallResult result = resultOfClaim(answer);
        record(request, result, {}, Clock.now() - startedAt);
        return result;
    }
    request.claimId = answer.claimId;
    CallResult result = runSession(config, rule, request);
    if (result.outcome == Outcome::NotRun) {
        m_parts.claims->release(request.service, request.key, request.claimId);
    }
    return result;
}

// A resend often arrives while the first request still runs, or before its result is recorded, so it asks a few times.
ClaimAnswer EntryService::claim(const ServiceConfig &config, const CallRequest &request)
{
    ClaimAnswer answer;
    if (!m_parts.claims) {
        return answer;
    }
    answer = m_parts.claims->claim(request.service, request.key, request.fingerprint, config.keyWindow, request.deadline);
    for (const std::chrono::milliseconds pause : UnresolvedClaimPauses) {
        if (answer.state != ClaimState::Unresolved || request.deadline.remaining(Clock.now()) <= pause) {
            return answer;
        }
        std::this_thread::sleep_for(pause);
        answer = m_parts.claims->claim(request.service, request.key, request.fingerprint, config.keyWindow, request.deadline);
    }
    return answer;
}

CallResult EntryService::runSession(const std::shared_ptr<const ServiceConfig> &config, const RouteRule &rule, const CallRequest &request)
{
    const TimePoint startedAt = Clock.now();
    const auto session = std::make_shared<EntrySession>(*this, config, request, rulesFor(*config, rule, request));
    CallResult result = session->run();
    const Duration duration = Clock.now() - startedAt;
    if (result.outcome == Outcome::Ran) {
        const auto state = stateOf(*config);
        const std::scoped_lock lock(state->mutex);
        auto &quantile = state->latencies[rule.method + rule.pathPrefix];
        if (!quantile) {
            quantile = std::make_unique<LatencyQuantile<SteadyClock>>(Clock, config->retries.hedgeQuantile);
        }
        quantile->record(duration);
    }
    record(request, result, session->attempts(), duration);
    return result;
}

AttemptRules EntryService::rulesFor(const ServiceConfig &config, const RouteRule &rule, const CallRequest &request)
{
    AttemptRules rules;
    rules.idempotent = rule.idempotent;
    rules.maxReroutes = config.routing.maxReroutes;
    rules.maxRetries = rule.idempotent ? rule.maxRetries : 0;
    rules.deadline = request.deadline;
    // A suspected request could crash a second backend server, so it is not hedged; nor are calls below a retry.
    if (rule.idempotent && rule.hedge && !request.suspect && request.retriesLeft > 0) {
        const auto state = stateOf(config);
        const std::scoped_lock lock(state->mutex);
        const auto found = state->latencies.find(rule.method + rule.pathPrefix);
        if (found != state->latencies.end()) {
            rules.hedgeDelay = found->second->quantile();
        }
    }
    return rules;
}

bool EntryService::isUsed(const std::string &service)
{
    const std::shared_lock lock(m_mutex);
    return m_services.contains(service);
}

std::shared_ptr<EntryService::ServiceState> EntryService::stateOf(const ServiceConfig &config)
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
    if (config.service == m_parts.settings.service) {
        // The load of the own target is known exactly at no cost.
        m_parts.targets.observeLoad(config.service, m_parts.settings.daemon, m_parts.admission.load());
    }
    return m_parts.targets.choose(config, excluded);
}

Metrics &EntryService::metrics()
{
    return m_parts.metrics;
}

bool EntryService::takeRetryToken(const ServiceConfig &config)
{
    const auto state = stateOf(config);
    state->budget.setShare(config.retries.budgetShare);
    return state->budget.tryTake();
}

void EntryService::countAttempt(AttemptKind kind)
{
    m_parts.metrics.add(Counter::Attempts);
    switch (kind) {
    case AttemptKind::First:
        return;
    case AttemptKind::Reroute:
        m_parts.metrics.add(Counter::Reroutes);
        return;
    case AttemptKind::Retry:
        m_parts.metrics.add(Counter::Retries);
        return;
    case AttemptKind::Hedge:
        m_parts.metrics.add(Counter::Hedges);
        return;
    }
}

std::function<void()> EntryService::dispatch(CallRequest request, const RouteChoice &choice, bool mayQueue, std::function<void(CallResult)> completion)
{
    if (choice.own) {
        const auto session = m_parts.admission.submit(std::move(request), choice.target.incarnation, mayQueue, std::move(completion));
        return [session] {
            session->cancel();
        };
    }
    const Duration delay = addedDelay(choice.target);
    if (delay > Duration::zero()) {
        std::this_thread::sleep_for(delay);
    }
    v1::DispatchRequest message = toMessage(request, request.deadline.remaining(Clock.now()));
    message.set_target_incarnation(choice.target.incarnation);
    message.set_may_queue(mayQueue);
    if (choice.target.region != m_parts.settings.region) {
        m_parts.metrics.add(Counter::DispatchBytesCrossRegion, message.ByteSizeLong());
    }
    const auto config = m_parts.configs.find(request.service);
    const Duration network = config ? networkTime(choice.target, *config) : NearNetworkTime;
    const auto call = m_parts.channels.dispatch(choice.target.peerAddress, std::move(message), request.deadline, network, std::move(completion));
    if (!call) {
        return {};
    }
    return [call] {
        call->cancel();
    };
}

// Time that the answer needs to come back; the peer must be done this much before the deadline.
Duration EntryService::networkTime(const TargetInfo &target, const ServiceConfig &config) const
{
    if (target.region == m_parts.settings.region) {
        return NearNetworkTime;
    }
    return config.routing.regionCost / 2;
}

void EntryService::reportAttempt(const CallRequest &request, const TargetInfo &target, const AttemptReport &report)
{
    m_parts.targets.finished(request.service, target.daemon, target.incarnation, report);
    if (report.reason == Reason::Leaving) {
        m_parts.targets.markLeaving(request.service, target.daemon, target.incarnation);
    }
    if (report.reason == Reason::PeerUnreachable || (report.outcome == Outcome::Unknown && report.reason == Reason::AnswerLost)) {
        m_parts.unreachable(target.daemon);
    }
}

Duration EntryService::addedDelay(const TargetInfo &target) const
{
    return target.region == m_parts.settings.region ? Duration::zero() : m_parts.settings.regionDelay;
}

void EntryService::record(const CallRequest &request, const CallResult &result, std::vector<AttemptRecord> attempts, Duration duration)
{
    switch (result.outcome) {
    case Outcome::Ran:
        m_parts.metrics.add(Counter::CallsRan);
        m_parts.metrics.observe(Quantile::AddedLatency, std::max<Duration>(duration - result.serviceTime, Duration::zero()));
        break;
    case Outcome::NotRun:
        m_parts.metrics.add(Counter::CallsNotRun);
        break;
    case Outcome::Unknown:
        m_parts.metrics.add(Counter::CallsUnknown);
        break;
    }
    m_parts.metrics.observe(Quantile::CallLatency, duration);
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
    m_parts.decisions.add(std::move(decision));
}

} // namespace carobjunction
