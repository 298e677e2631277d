#include "request/requestrouter.h"

#include <carobjunction/process/durations.h>
#include <carobjunction/request/fingerprint.h>

#include "connection/messagefields.h"
#include "connection/peercodec.h"
#include "process/eventlog.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace carobjunction
{

namespace
{

constexpr auto ShortestRetryAfter = std::chrono::milliseconds(50);
constexpr auto LongestRetryAfter = std::chrono::seconds(2);
constexpr auto BodyRoomRetryAfter = std::chrono::milliseconds(500); // usual requests release their body memory within this time
constexpr auto StartupRetryAfter = std::chrono::milliseconds(500); // time allowed for a starting daemon to read its configuration
/** Minimum time before the deadline for a further attempt, as a share of the request's expected service time. */
constexpr double MinServiceTimeShareForRetry = 0.8;

std::string formatRetryAfter(Duration duration)
{
    const Duration bounded = std::clamp<Duration>(duration, ShortestRetryAfter, LongestRetryAfter);
    std::array<char, 16> text {};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(bounded).count());
    return text.data();
}

std::optional<int64_t> parseMs(const std::string &text)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

std::string formatMs(Duration duration)
{
    return std::to_string(toMs(duration));
}

} // namespace

/** State of one request while this daemon routes it. */
struct RequestRouter::RequestState {
    std::shared_ptr<const RouteTable> routes; /**< Keeps `route` valid when a newer table comes into force. */
    const HostRoute *route = nullptr;
    ForwardRequest request;
    TimePoint startedAt;
    Duration suspendedTime = Duration::zero(); /**< Total suspension of the VM when the deadlines were last adjusted. */
    TimePoint chosenAt; /**< Time at which the latest target was chosen. */
    std::set<std::string> triedDaemons; /**< Daemons to which the request was forwarded, whatever the result. */
    std::map<std::string, Duration> predictedWaitByDaemon; /**< Predicted wait of each daemon that refused the request for lack of capacity. */
    std::set<std::string> daemonsTriedForQueueing; /**< Daemons to which the request was forwarded with permission to queue it. */
    uint32_t backendAttempts = 0; /**< Attempts that reached a backend server. */
    uint32_t hops = 0; /**< Number of times that the request was forwarded to a daemon. */
    uint32_t otherRegionHops = 0; /**< Number of those to daemons of other regions. */
    Duration serviceTime = Duration::zero(); /**< Time that the latest backend server took. */
    bool mayHaveRun = false;
    Reason lastReason = Reason::NoTarget;
    std::optional<HttpResponse> failureResponse; /**< Latest 5xx answer of a backend server, returned if no further attempt succeeds. */
};

RequestRouter::RequestRouter(RouterEnvironment environment,
                             const PlatformHeaders &headers,
                             VmDirectory &vmDirectory,
                             ClusterRetryBudget &clusterRetryBudget,
                             const CrashHistory &crashHistory,
                             RouteServiceTimes &routeServiceTimes,
                             Metrics &metrics)
    : m_environment(std::move(environment))
    , m_headers(headers)
    , m_vmDirectory(vmDirectory)
    , m_clusterRetryBudget(clusterRetryBudget)
    , m_crashHistory(crashHistory)
    , m_routeServiceTimes(routeServiceTimes)
    , m_metrics(metrics)
{
}

Task<MaybeResponse> RequestRouter::handle(HttpRequest message, CancellationPtr cancellation)
{
    RequestState state;
    state.startedAt = SteadyClock().now();
    state.suspendedTime = m_environment.suspendedTime();
    std::optional<HttpResponse> response = prepareRequest(state, std::move(message));
    if (!response) {
        response = co_await forwardUntilAnswered(state, cancellation);
    }
    recordOutcome(state, *response, cancellation->isRequested());
    if (!state.request.requestId.empty()) {
        response->set(m_headers.requestId, state.request.requestId);
    }
    co_return std::move(response);
}

/** Logs an answered request and updates the metrics. */
void RequestRouter::recordOutcome(const RequestState &state, const HttpResponse &response, bool wasCancelled)
{
    const Duration elapsed = SteadyClock().now() - state.startedAt;
    m_metrics.add(state.backendAttempts == 0 ? Counter::CallsNotRun : state.lastReason == Reason::None ? Counter::CallsRan : Counter::CallsUnknown);
    m_metrics.add(Counter::Attempts, state.backendAttempts);
    m_metrics.add(Counter::Retries, state.backendAttempts > 1 ? state.backendAttempts - 1 : 0);
    m_metrics.add(Counter::Reroutes, state.hops > state.backendAttempts ? state.hops - state.backendAttempts : 0);
    m_metrics.observe(Histogram::CallLatency, elapsed);
    if (state.serviceTime > Duration::zero()) {
        m_metrics.observe(Histogram::ServiceTime, state.serviceTime);
        m_metrics.observe(Histogram::AddedLatency, elapsed - state.serviceTime);
    }
    EventLog::write(LogLevel::Info,
                    Event::CallAnswered,
                    { { "request", state.request.requestId },
                      { "route", state.request.route },
                      { "service", state.request.service },
                      { "config", std::to_string(state.request.configVersion) },
                      { "status", std::to_string(response.result_int()) },
                      { "reason", std::string(nameOf(state.lastReason)) },
                      { "hops", std::to_string(state.hops) },
                      { "arrivals", std::to_string(state.backendAttempts) },
                      { "backend", state.request.backend },
                      { "workMs", formatMs(state.serviceTime) },
                      { "cancelled", wasCancelled ? "yes" : "no" },
                      { "ms", formatMs(elapsed) } });
}

/**
 * Selects the route and fills in the request to be forwarded.
 * @return an answer if the request can't be forwarded, otherwise empty
 */
std::optional<HttpResponse> RequestRouter::prepareRequest(RequestState &state, HttpRequest message)
{
    state.request.requestId = fieldValue(message, m_headers.requestId);
    state.routes = m_environment.routes();
    if (!state.routes) {
        return refuse(state, state.lastReason = Reason::NoConfiguration, StartupRetryAfter);
    }
    state.request.configVersion = state.routes->version();
    const std::string path(message.target().data(), message.target().size());
    const std::string host = fieldValue(message, "Host");
    state.route = state.routes->match(host, path);
    if (state.route == nullptr) {
        state.lastReason = Reason::UnknownRoute;
        return textResponse(http::status::not_found, "no route for this host and path");
    }
    const HostRoute &route = *state.route;
    Duration remaining = route.timeout;
    if (hasField(message, m_headers.deadline)) {
        const auto callerDeadlineMs = parseMs(fieldValue(message, m_headers.deadline));
        if (!callerDeadlineMs) {
            state.lastReason = Reason::Malformed;
            return textResponse(http::status::bad_request, m_headers.deadline + " must be a whole number of milliseconds");
        }
        remaining = std::min<Duration>(remaining, std::chrono::milliseconds(*callerDeadlineMs));
    }
    ForwardRequest &request = state.request;
    request.route = route.name;
    request.service = chooseService(route);
    request.callerService = m_environment.callerService;
    request.idempotent = route.idempotent;
    request.priority = route.priority;
    request.softDeadlineAt = state.startedAt + route.aim;
    request.deadlineAt = state.startedAt + remaining;
    request.work = m_routeServiceTimes.estimate(route.name);
    request.fingerprint = computeFingerprint(host, std::string_view(message.method_string().data(), message.method_string().size()), path, message.body());
    removeHopByHopFields(message);
    message.erase(PeerCodec::RequestField);
    request.message = std::move(message);
    m_clusterRetryBudget.onRequest(request.service, state.startedAt);
    if (const Duration condemned = m_crashHistory.condemnedFor(request.fingerprint, state.startedAt); condemned > Duration::zero()) {
        return refuse(state, state.lastReason = Reason::Condemned, std::min<Duration>(condemned, LongestRetryAfter));
    }
    return std::nullopt;
}

/**
 * Chooses the service of a weighted route by smooth weighted round-robin: for each request, the current weight of each destination grows by its
 * configured weight, and the destination with the highest current weight is chosen and reduced by the total weight.
 */
const std::string &RequestRouter::chooseService(const HostRoute &route)
{
    if (route.destinations.size() == 1) {
        return route.destinations.front().service;
    }
    std::map<std::string, double> &currentWeights = m_currentWeights[route.name];
    double total = 0;
    const RouteDestination *next = nullptr;
    for (const RouteDestination &destination : route.destinations) {
        const auto [currentWeight, isNew] = currentWeights.try_emplace(destination.service, 0);
        if (isNew) {
            // A random initial weight keeps daemons that start together from sending their first requests to the same destination.
            currentWeight->second = destination.weight * std::uniform_real_distribution<double>(0, 1)(m_random);
        }
        total += destination.weight;
        currentWeight->second += destination.weight;
        if (next == nullptr || currentWeight->second > currentWeights[next->service]) {
            next = &destination;
        }
    }
    currentWeights[next->service] -= total;
    return next->service;
}

/**
 * Chooses the best untried target of a scope. Targets that failed calls recently are considered only if there is no other target and the scope
 * does not require a free slot.
 */
std::optional<std::string> RequestRouter::chooseInScope(RequestState &state, TargetScope scope, bool mayQueue, TimePoint now, std::optional<Duration> maxWait)
{
    const auto jitter = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    TargetQuery query { state.request.service, state.request.work, state.triedDaemons, scope, false, maxWait };
    auto chosen = m_vmDirectory.selectTarget(query, now, jitter);
    if (!chosen && scope != TargetScope::RegionWithFreeSlot && scope != TargetScope::OtherRegionWithFreeSlot) {
        query.includesBackedOff = true;
        chosen = m_vmDirectory.selectTarget(query, now, jitter);
    }
    state.request.mayQueue = mayQueue;
    return chosen;
}

/** @return a target in this region that can queue the request and still answer it by @p answerDeadline, or empty */
std::optional<std::string> RequestRouter::chooseForQueueing(RequestState &state, TimePoint answerDeadline, TimePoint now)
{
    Duration wait = answerDeadline - now - state.request.work;
    if (auto untriedTarget = chooseInScope(state, TargetScope::Region, true, now, wait)) {
        return untriedTarget;
    }
    std::optional<std::string> bestDaemon;
    for (const auto &[daemon, predictedWait] : state.predictedWaitByDaemon) {
        if (state.daemonsTriedForQueueing.count(daemon) == 0 && predictedWait < wait) {
            bestDaemon = daemon;
            wait = predictedWait;
        }
    }
    return bestDaemon;
}

/**
 * Chooses a target with a free slot in another region. Returns empty after MaxOtherRegionAttempts of them: if that many were full, that region
 * is probably overloaded too.
 * @return a target that can answer by @p answerDeadline, or empty
 */
std::optional<std::string> RequestRouter::chooseInOtherRegion(RequestState &state, TimePoint answerDeadline, TimePoint now)
{
    if (state.otherRegionHops >= MaxOtherRegionAttempts || now + RegionRoundTrip + state.request.work >= answerDeadline) {
        return std::nullopt;
    }
    return chooseInScope(state, TargetScope::OtherRegionWithFreeSlot, true, now);
}

/** @return time after which the first of the targets that refused the request for lack of capacity expects to have some */
Duration RequestRouter::shortestPredictedWait(const RequestState &state)
{
    const auto shortest = std::min_element(
        state.predictedWaitByDaemon.begin(), state.predictedWaitByDaemon.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return shortest == state.predictedWaitByDaemon.end() ? Duration(StartupRetryAfter) : shortest->second;
}

/**
 * Chooses the next target, in order of preference: a free slot in this region, a queue in this region that meets the aim, a free slot in
 * another region that meets the aim, a queue in this region that meets the deadline, a free slot in another region that meets the deadline.
 */
std::optional<std::string> RequestRouter::chooseTarget(RequestState &state, TimePoint now)
{
    if (state.hops >= MaxHops) {
        return std::nullopt;
    }
    if (state.hops < MaxFreeSlotAttempts) {
        if (auto freeSlotTarget = chooseInScope(state, TargetScope::RegionWithFreeSlot, false, now)) {
            return freeSlotTarget;
        }
    }
    if (auto queueTarget = chooseForQueueing(state, state.request.softDeadlineAt, now)) {
        return queueTarget;
    }
    if (auto remoteTarget = chooseInOtherRegion(state, state.request.softDeadlineAt, now)) {
        return remoteTarget;
    }
    if (auto lateTarget = chooseForQueueing(state, state.request.deadlineAt, now)) {
        return lateTarget;
    }
    if (auto remoteTarget = chooseInOtherRegion(state, state.request.deadlineAt, now)) {
        return remoteTarget;
    }
    return state.predictedWaitByDaemon.empty() ? chooseInScope(state, TargetScope::Anywhere, true, now) : std::nullopt;
}

/** Moves the deadlines forward by the time for which the VM was suspended, because the steady clock excludes it and the caller does not. */
void RequestRouter::subtractSuspension(RequestState &state) const
{
    const Duration total = m_environment.suspendedTime();
    const Duration suspended = total - std::exchange(state.suspendedTime, total);
    state.request.softDeadlineAt -= suspended;
    state.request.deadlineAt -= suspended;
}

/**
 * Shortens the deadline of a request to the end of a stop in progress, so that no target starts it when its answer would come too late.
 * @return whether another attempt may start
 */
bool RequestRouter::fitsStopSchedule(RequestState &state, TimePoint now) const
{
    const StopSchedule *schedule = m_environment.stopSchedule();
    if (schedule == nullptr) {
        return true;
    }
    state.request.deadlineAt = std::min(state.request.deadlineAt, schedule->answerBy());
    return schedule->mayStart(state.request.idempotent, state.request.work, now);
}

Task<HttpResponse> RequestRouter::forwardUntilAnswered(RequestState &state, CancellationPtr cancellation)
{
    while (true) {
        const TimePoint now = SteadyClock().now();
        subtractSuspension(state);
        if (cancellation->isRequested()) {
            co_return makeFinalAnswer(state, state.lastReason = Reason::Cancelled, {});
        }
        if (now >= state.request.deadlineAt) {
            co_return makeFinalAnswer(state, state.lastReason = Reason::DeadlineExceeded, ShortestRetryAfter);
        }
        if (!fitsStopSchedule(state, now)) {
            co_return makeFinalAnswer(state, state.lastReason = Reason::Leaving, ShortestRetryAfter);
        }
        const std::optional<std::string> daemon = chooseTarget(state, now);
        const VmState *vm = daemon ? m_vmDirectory.find(*daemon) : nullptr;
        if (vm == nullptr) {
            co_return makeFinalAnswer(state, state.lastReason, shortestPredictedWait(state));
        }
        state.request.backend = vm->record.backend.id;
        state.chosenAt = now;
        state.triedDaemons.insert(*daemon);
        if (state.request.mayQueue) {
            state.daemonsTriedForQueueing.insert(*daemon);
        }
        // A request that waits for a slot could start too late to be answered before the end of a stop.
        state.request.mayQueue = state.request.mayQueue && m_environment.stopSchedule() == nullptr;
        ++state.hops;
        state.otherRegionHops += m_vmDirectory.isSameRegion(vm->record) ? 0 : 1;
        m_vmDirectory.onRequestSent(*daemon);
        ForwardResult result = co_await m_environment.forward(*daemon, state.request, cancellation);
        if (auto response = evaluateResult(state, *daemon, std::move(result))) {
            co_return std::move(*response);
        }
    }
}

/** Logs an attempt that got no answer, with the target's reported load and the age of that report when the target was chosen. */
void RequestRouter::logAttempt(const RequestState &state, const std::string &daemon, const ForwardResult &result) const
{
    const VmState *vm = m_vmDirectory.find(daemon);
    EventLog::write(LogLevel::Info,
                    Event::RetryDecided,
                    { { "request", state.request.requestId },
                      { "daemon", daemon },
                      { "backend", state.request.backend },
                      { "outcome", std::string(nameOf(result.outcome)) },
                      { "reason", std::string(nameOf(result.reason)) },
                      { "queued", state.request.mayQueue ? "yes" : "no" },
                      { "reportAgeMs", vm == nullptr ? "" : formatMs(state.chosenAt - vm->reportedAt) },
                      { "reportedLoad", vm == nullptr ? "" : std::to_string(vm->report.running + vm->report.waiting) },
                      { "detail", result.detail } });
}

/**
 * Processes the result of a forwarded request.
 * @return the final answer, or empty if the next target must be tried
 */
std::optional<HttpResponse> RequestRouter::evaluateResult(RequestState &state, const std::string &daemon, ForwardResult result)
{
    const TimePoint now = SteadyClock().now();
    if (result.outcome != Outcome::Ran) {
        logAttempt(state, daemon, result);
    }
    if (result.report) {
        m_vmDirectory.onLoadReport(daemon, *result.report, now);
    }
    state.backendAttempts += result.reachedBackend ? 1 : 0;
    state.lastReason = result.reason;
    state.serviceTime = result.serviceTime;
    switch (result.outcome) {
    case Outcome::Ran:
        return handleAnswer(state, daemon, std::move(result));
    case Outcome::NotRun:
        return handleRefusal(state, daemon, result);
    case Outcome::Unknown:
        break;
    }
    return handleUnknownOutcome(state, daemon, result);
}

std::optional<HttpResponse> RequestRouter::handleAnswer(RequestState &state, const std::string &daemon, ForwardResult result)
{
    const TimePoint now = SteadyClock().now();
    const bool isFailure = result.response.result_int() >= 500;
    m_vmDirectory.onRequestEnded(daemon, isFailure, now);
    if (!isFailure) {
        if (result.isRepresentative) {
            m_routeServiceTimes.observe(state.request.route, result.serviceTime);
        }
        return std::move(result.response);
    }
    state.failureResponse = std::move(result.response);
    state.mayHaveRun = true;
    if (now + state.request.work < state.request.softDeadlineAt && tryAcquireRetry(state, now)) {
        return std::nullopt;
    }
    return std::move(state.failureResponse);
}

std::optional<HttpResponse> RequestRouter::handleRefusal(RequestState &state, const std::string &daemon, const ForwardResult &result)
{
    const TimePoint now = SteadyClock().now();
    const bool isTargetFailure = result.reason == Reason::TargetDown || result.reason == Reason::Shed || result.reason == Reason::PeerUnreachable;
    if (result.reason == Reason::PeerUnreachable) {
        m_vmDirectory.onUnreachable(daemon, now);
    } else {
        m_vmDirectory.onRequestEnded(daemon, isTargetFailure, now);
    }
    if (result.reason == Reason::Full || result.reason == Reason::HostSlow || result.reason == Reason::DeadlineTooShort) {
        state.predictedWaitByDaemon[daemon] = result.retryAfter;
    }
    if (result.reason == Reason::Condemned) {
        return makeFinalAnswer(state, Reason::Condemned, LongestRetryAfter);
    }
    // Another attempt that reaches a backend server counts against the retry budget, although this one did not run the request.
    if (result.reachedBackend && (state.backendAttempts >= state.route->attempts || !m_clusterRetryBudget.tryRetry(state.request.service, now))) {
        return makeFinalAnswer(state, result.reason, result.retryAfter);
    }
    return std::nullopt;
}

std::optional<HttpResponse> RequestRouter::handleUnknownOutcome(RequestState &state, const std::string &daemon, const ForwardResult &result)
{
    const TimePoint now = SteadyClock().now();
    const bool isTargetFailure = result.reason != Reason::Cancelled && result.reason != Reason::DeadlineExceeded;
    m_vmDirectory.onRequestEnded(daemon, isTargetFailure, now);
    state.mayHaveRun = true;
    if (tryAcquireRetry(state, now)) {
        return std::nullopt;
    }
    return makeFinalAnswer(state, result.reason, {});
}

/** Acquires a token of the retry budget if the request may be retried. @return whether a retry is allowed */
bool RequestRouter::tryAcquireRetry(RequestState &state, TimePoint now)
{
    const Duration minRemaining = scaled(state.request.work, MinServiceTimeShareForRetry);
    if (!state.request.idempotent || state.backendAttempts >= state.route->attempts || now + minRemaining > state.request.deadlineAt) {
        return false;
    }
    const bool isAllowed = m_clusterRetryBudget.tryRetry(state.request.service, now);
    m_metrics.add(Counter::RetriesDenied, isAllowed ? 0 : 1);
    return isAllowed;
}

HttpResponse RequestRouter::refuseWhenStopping(const HttpRequest &message)
{
    RequestState state;
    state.request.requestId = fieldValue(message, m_headers.requestId);
    return refuse(state, Reason::Leaving, LongestRetryAfter);
}

HttpResponse RequestRouter::refuseForBodyRoom(const http::fields &head)
{
    RequestState state;
    state.request.requestId = fieldValue(head, m_headers.requestId);
    HttpResponse response = refuse(state, Reason::BodyRoom, BodyRoomRetryAfter);
    if (!state.request.requestId.empty()) {
        response.set(m_headers.requestId, state.request.requestId);
    }
    return response;
}

/**
 * Returns the final answer if no attempt succeeded: the latest 5xx answer of a backend server if there is one, a refusal if the request is
 * proven not to have run, and otherwise 502 or 504.
 */
HttpResponse RequestRouter::makeFinalAnswer(RequestState &state, Reason reason, Duration retryAfter)
{
    if (state.failureResponse) {
        return std::move(*state.failureResponse);
    }
    if (!state.mayHaveRun) {
        return refuse(state, reason, retryAfter);
    }
    const bool isLate = reason == Reason::DeadlineExceeded;
    return textResponse(isLate ? http::status::gateway_timeout : http::status::bad_gateway, "the request may have run: " + std::string(nameOf(reason)));
}

HttpResponse RequestRouter::refuse(const RequestState &state, Reason reason, Duration retryAfter)
{
    m_metrics.addRefusal(reason);
    EventLog::write(LogLevel::Info,
                    Event::RequestRejected,
                    { { "request", state.request.requestId },
                      { "reason", std::string(nameOf(reason)) },
                      { "refusals", std::to_string(state.predictedWaitByDaemon.size()) },
                      { "retryAfterMs", formatMs(retryAfter) } });
    HttpResponse response = textResponse(http::status::service_unavailable, "the request did not run: " + std::string(nameOf(reason)));
    response.set(http::field::retry_after, formatRetryAfter(retryAfter));
    return response;
}

} // namespace carobjunction
