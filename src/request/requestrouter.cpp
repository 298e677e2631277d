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
constexpr auto RoomRetryAfter = std::chrono::milliseconds(500); // in which bodies of usual requests come and go
constexpr auto StartupRetryAfter = std::chrono::milliseconds(500); // until the configuration has been read
constexpr double UsefulShare = 0.8; // of the usual work that must be left for another attempt

std::string toSeconds(Duration duration)
{
    const Duration bounded = std::clamp<Duration>(duration, ShortestRetryAfter, LongestRetryAfter);
    std::array<char, 16> text {};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(bounded).count());
    return text.data();
}

std::optional<int64_t> readMs(const std::string &text)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

std::string msText(Duration duration)
{
    return std::to_string(toMs(duration));
}

} // namespace

/** State of one request. */
struct RequestRouter::Call {
    std::shared_ptr<const RouteTable> routes; /**< Keeps the route alive when a newer table comes into force. */
    const HostRoute *route = nullptr;
    ForwardRequest request;
    TimePoint startedAt;
    TimePoint chosenAt; /**< When the last target was chosen. */
    std::set<std::string> tried; /**< Daemons whose target has had the request, or refused it. */
    std::map<std::string, Duration> refusals; /**< Daemons that were full, with the wait that they predict. */
    std::set<std::string> queuedAt; /**< Daemons that refused even a wait. */
    uint32_t arrivals = 0; /**< Backend servers that the request reached. */
    uint32_t hops = 0;
    Duration serviceTime = Duration::zero(); /**< Time at the last backend server. */
    bool mayHaveRun = false;
    Reason lastReason = Reason::NoTarget;
    std::optional<HttpResponse> failure; /**< A backend server's own failure, answered if nothing better comes. */
};

RequestRouter::RequestRouter(RouterEnvironment environment,
                             const ServedHeaders &headers,
                             VmDirectory &directory,
                             RetryLedger &ledger,
                             const CrashHistory &crashes,
                             WorkEstimates &work,
                             Metrics &metrics)
    : m_environment(std::move(environment)), m_headers(headers), m_directory(directory), m_ledger(ledger), m_crashes(crashes), m_work(work), m_metrics(metrics)
{
}

Task<MaybeResponse> RequestRouter::handle(HttpRequest message, CancellationPtr cancellation)
{
    Call call;
    call.startedAt = SteadyClock().now();
    std::optional<HttpResponse> response = prepare(call, std::move(message));
    if (!response) {
        response = co_await attempt(call, cancellation);
    }
    record(call, *response, cancellation->isRequested());
    if (!call.request.requestId.empty()) {
        response->set(m_headers.requestId, call.request.requestId);
    }
    co_return std::move(response);
}

/** Writes the line and counts the figures of a request that has its answer. */
void RequestRouter::record(const Call &call, const HttpResponse &response, bool wasCancelled)
{
    const Duration taken = SteadyClock().now() - call.startedAt;
    m_metrics.add(call.arrivals == 0 ? Counter::CallsNotRun : call.lastReason == Reason::None ? Counter::CallsRan : Counter::CallsUnknown);
    m_metrics.add(Counter::Attempts, call.arrivals);
    m_metrics.add(Counter::Retries, call.arrivals > 1 ? call.arrivals - 1 : 0);
    m_metrics.add(Counter::Reroutes, call.hops > call.arrivals ? call.hops - call.arrivals : 0);
    m_metrics.observe(Quantile::CallLatency, taken);
    if (call.serviceTime > Duration::zero()) {
        m_metrics.observe(Quantile::ServiceTime, call.serviceTime);
        m_metrics.observe(Quantile::AddedLatency, taken - call.serviceTime);
    }
    EventLog::write(LogLevel::Info,
                    Event::CallAnswered,
                    { { "request", call.request.requestId },
                      { "route", call.request.route },
                      { "service", call.request.service },
                      { "config", std::to_string(call.request.configVersion) },
                      { "status", std::to_string(response.result_int()) },
                      { "reason", std::string(nameOf(call.lastReason)) },
                      { "hops", std::to_string(call.hops) },
                      { "arrivals", std::to_string(call.arrivals) },
                      { "backend", call.request.backend },
                      { "workMs", msText(call.serviceTime) },
                      { "cancelled", wasCancelled ? "yes" : "no" },
                      { "ms", msText(taken) } });
}

/** Finds the route and fills in the request. @return an answer if the request can't be served */
std::optional<HttpResponse> RequestRouter::prepare(Call &call, HttpRequest message)
{
    call.request.requestId = fieldText(message, m_headers.requestId);
    call.routes = m_environment.routes();
    if (!call.routes) {
        return refuse(call, call.lastReason = Reason::NoConfiguration, StartupRetryAfter);
    }
    call.request.configVersion = call.routes->version();
    const std::string path(message.target().data(), message.target().size());
    const std::string host = fieldText(message, "Host");
    call.route = call.routes->match(host, path);
    if (call.route == nullptr) {
        call.lastReason = Reason::UnknownRoute;
        return ownAnswer(http::status::not_found, "no route for this host and path");
    }
    const HostRoute &route = *call.route;
    Duration left = route.timeout;
    if (hasField(message, m_headers.deadline)) {
        const auto sent = readMs(fieldText(message, m_headers.deadline));
        if (!sent) {
            call.lastReason = Reason::Malformed;
            return ownAnswer(http::status::bad_request, m_headers.deadline + " must be a whole number of milliseconds");
        }
        left = std::min<Duration>(left, std::chrono::milliseconds(*sent));
    }
    ForwardRequest &request = call.request;
    request.route = route.name;
    request.service = chooseService(route);
    request.callerService = m_environment.callerService;
    request.idempotent = route.idempotent;
    request.priority = route.priority;
    request.aimAt = call.startedAt + route.aim;
    request.deadlineAt = call.startedAt + left;
    request.work = m_work.estimate(route.name);
    request.fingerprint = fingerprintOf(host, std::string_view(message.method_string().data(), message.method_string().size()), path, message.body());
    removeConnectionFields(message);
    message.erase(PeerCodec::RequestField);
    request.message = std::move(message);
    m_ledger.onRequest(request.service, call.startedAt);
    if (m_crashes.isCondemned(request.fingerprint)) {
        return refuse(call, call.lastReason = Reason::Condemned, LongestRetryAfter);
    }
    return std::nullopt;
}

/** Spreads the requests of a split route evenly: the part that is furthest behind its share is next. */
const std::string &RequestRouter::chooseService(const HostRoute &route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    std::map<std::string, double> &credits = m_credits[route.name];
    double total = 0;
    const RoutePart *next = nullptr;
    for (const RoutePart &part : route.parts) {
        const auto [credit, isNew] = credits.try_emplace(part.service, 0);
        if (isNew) {
            // Daemons start at different places of the sequence, so that their first requests don't all go to the same part.
            credit->second = part.weight * std::uniform_real_distribution<double>(0, 1)(m_random);
        }
        total += part.weight;
        credit->second += part.weight;
        if (next == nullptr || credit->second > credits[next->service]) {
            next = &part;
        }
    }
    credits[next->service] -= total;
    return next->service;
}

std::optional<std::string> RequestRouter::chooseIn(Call &call, TargetScope scope, bool mayQueue, TimePoint now)
{
    const auto jitter = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    };
    TargetQuery query { call.request.service, call.request.work, call.tried, scope, false };
    auto chosen = m_directory.choose(query, now, jitter);
    if (!chosen && scope != TargetScope::RegionWithRoom && scope != TargetScope::OtherRegionWithRoom) {
        query.withAvoided = true;
        chosen = m_directory.choose(query, now, jitter);
    }
    call.request.mayQueue = mayQueue;
    return chosen;
}

/** @return a target of this region at which the request can wait and still be answered by @p answerBy */
std::optional<std::string> RequestRouter::chooseQueue(Call &call, TimePoint answerBy, TimePoint now)
{
    if (auto fresh = chooseIn(call, TargetScope::Region, true, now)) {
        return fresh;
    }
    std::optional<std::string> shortest;
    Duration wait = answerBy - now - call.request.work;
    for (const auto &[daemon, predicted] : call.refusals) {
        if (call.queuedAt.count(daemon) == 0 && predicted < wait) {
            shortest = daemon;
            wait = predicted;
        }
    }
    return shortest;
}

/**
 * @return a target of another region that can answer by @p answerBy. After several refusals none: a load that fills so many targets at
 *         once is that of all regions, and each call there is billed by volume
 */
std::optional<std::string> RequestRouter::chooseFar(Call &call, TimePoint answerBy, TimePoint now)
{
    if (call.hops >= MaxFreeTries || now + RegionRoundTrip + call.request.work >= answerBy) {
        return std::nullopt;
    }
    return chooseIn(call, TargetScope::OtherRegionWithRoom, true, now);
}

/**
 * A free slot in this region goes first, then a wait there that keeps the request in good time, then a free slot in another region,
 * then a late answer from this region, then one from another.
 */
std::optional<std::string> RequestRouter::chooseTarget(Call &call, TimePoint now)
{
    if (call.hops >= MaxHops) {
        return std::nullopt;
    }
    if (call.hops < MaxFreeTries) {
        if (auto free = chooseIn(call, TargetScope::RegionWithRoom, false, now)) {
            return free;
        }
    }
    if (auto queue = chooseQueue(call, call.request.aimAt, now)) {
        return queue;
    }
    if (auto far = chooseFar(call, call.request.aimAt, now)) {
        return far;
    }
    if (auto late = chooseQueue(call, call.request.deadlineAt, now)) {
        return late;
    }
    if (auto far = chooseFar(call, call.request.deadlineAt, now)) {
        return far;
    }
    return call.refusals.empty() ? chooseIn(call, TargetScope::Anywhere, true, now) : std::nullopt;
}

Task<HttpResponse> RequestRouter::attempt(Call &call, CancellationPtr cancellation)
{
    while (true) {
        const TimePoint now = SteadyClock().now();
        if (cancellation->isRequested()) {
            co_return finish(call, call.lastReason = Reason::Cancelled, {});
        }
        if (now >= call.request.deadlineAt) {
            co_return finish(call, call.lastReason = Reason::DeadlineExceeded, ShortestRetryAfter);
        }
        const std::optional<std::string> daemon = chooseTarget(call, now);
        const VmView *vm = daemon ? m_directory.find(*daemon) : nullptr;
        if (vm == nullptr) {
            const Duration wait = call.refusals.empty() ? Duration(StartupRetryAfter) : call.refusals.begin()->second;
            co_return finish(call, call.lastReason, wait);
        }
        call.request.backend = vm->record.backend.id;
        call.chosenAt = now;
        call.tried.insert(*daemon);
        if (call.request.mayQueue) {
            call.queuedAt.insert(*daemon);
        }
        ++call.hops;
        m_directory.onSent(*daemon);
        ForwardResult result = co_await m_environment.forward(*daemon, call.request, cancellation);
        if (auto response = judge(call, *daemon, std::move(result))) {
            co_return std::move(*response);
        }
    }
}

/** Writes an attempt without an answer, with the load and the age of the report by which the target was chosen. */
void RequestRouter::logAttempt(const Call &call, const std::string &daemon, const ForwardResult &result) const
{
    const VmView *vm = m_directory.find(daemon);
    EventLog::write(LogLevel::Info,
                    Event::RetryDecided,
                    { { "request", call.request.requestId },
                      { "daemon", daemon },
                      { "backend", call.request.backend },
                      { "outcome", std::string(nameOf(result.outcome)) },
                      { "reason", std::string(nameOf(result.reason)) },
                      { "queued", call.request.mayQueue ? "yes" : "no" },
                      { "reportAgeMs", vm == nullptr ? "" : msText(call.chosenAt - vm->reportedAt) },
                      { "reportedLoad", vm == nullptr ? "" : std::to_string(vm->report.running + vm->report.waiting) },
                      { "detail", result.detail } });
}

std::optional<HttpResponse> RequestRouter::judge(Call &call, const std::string &daemon, ForwardResult result)
{
    const TimePoint now = SteadyClock().now();
    if (result.outcome != Outcome::Ran) {
        logAttempt(call, daemon, result);
    }
    if (result.report) {
        m_directory.onReport(daemon, *result.report, now);
    }
    call.arrivals += result.reachedBackend ? 1 : 0;
    call.lastReason = result.reason;
    call.serviceTime = result.serviceTime;
    switch (result.outcome) {
    case Outcome::Ran:
        return judgeAnswer(call, daemon, std::move(result));
    case Outcome::NotRun:
        return judgeRefusal(call, daemon, result);
    case Outcome::Unknown:
        break;
    }
    return judgeLoss(call, daemon, result);
}

std::optional<HttpResponse> RequestRouter::judgeAnswer(Call &call, const std::string &daemon, ForwardResult result)
{
    const TimePoint now = SteadyClock().now();
    const bool isFailure = result.response.result_int() >= 500;
    m_directory.onEnded(daemon, isFailure, now);
    if (!isFailure) {
        if (result.isTypical) {
            m_work.observe(call.request.route, result.serviceTime);
        }
        return std::move(result.response);
    }
    call.failure = std::move(result.response);
    call.mayHaveRun = true;
    if (now + call.request.work < call.request.aimAt && mayRepeat(call, now)) {
        return std::nullopt;
    }
    return std::move(call.failure);
}

std::optional<HttpResponse> RequestRouter::judgeRefusal(Call &call, const std::string &daemon, const ForwardResult &result)
{
    const TimePoint now = SteadyClock().now();
    const bool isFault = result.reason == Reason::TargetDown || result.reason == Reason::Shed || result.reason == Reason::PeerUnreachable;
    if (result.reason == Reason::PeerUnreachable) {
        m_directory.onUnreachable(daemon, now);
    } else {
        m_directory.onEnded(daemon, isFault, now);
    }
    if (result.reason == Reason::Full || result.reason == Reason::HostSlow || result.reason == Reason::DeadlineTooShort) {
        call.refusals[daemon] = result.retryAfter;
    }
    if (result.reason == Reason::Condemned) {
        return finish(call, Reason::Condemned, LongestRetryAfter);
    }
    // The next arrival counts as a repeat, although the backend server did not run the request.
    if (result.reachedBackend && (call.arrivals >= call.route->attempts || !m_ledger.tryRepeat(call.request.service, now))) {
        return finish(call, result.reason, result.retryAfter);
    }
    return std::nullopt;
}

std::optional<HttpResponse> RequestRouter::judgeLoss(Call &call, const std::string &daemon, const ForwardResult &result)
{
    const TimePoint now = SteadyClock().now();
    const bool isFault = result.reason != Reason::Cancelled && result.reason != Reason::DeadlineExceeded;
    m_directory.onEnded(daemon, isFault, now);
    call.mayHaveRun = true;
    if (mayRepeat(call, now)) {
        return std::nullopt;
    }
    return finish(call, result.reason, {});
}

bool RequestRouter::mayRepeat(Call &call, TimePoint now)
{
    const Duration needed = scaled(call.request.work, UsefulShare);
    if (!call.request.idempotent || call.arrivals >= call.route->attempts || now + needed > call.request.deadlineAt) {
        return false;
    }
    const bool isAllowed = m_ledger.tryRepeat(call.request.service, now);
    m_metrics.add(Counter::RetriesDenied, isAllowed ? 0 : 1);
    return isAllowed;
}

HttpResponse RequestRouter::refuseStopped(const HttpRequest &message)
{
    Call call;
    call.request.requestId = fieldText(message, m_headers.requestId);
    return refuse(call, Reason::Leaving, LongestRetryAfter);
}

HttpResponse RequestRouter::refuseForRoom(const http::fields &head)
{
    Call call;
    call.request.requestId = fieldText(head, m_headers.requestId);
    HttpResponse response = refuse(call, Reason::BodyRoom, RoomRetryAfter);
    if (!call.request.requestId.empty()) {
        response.set(m_headers.requestId, call.request.requestId);
    }
    return response;
}

/** Final answer when no backend server gave one. */
HttpResponse RequestRouter::finish(Call &call, Reason reason, Duration retryAfter)
{
    if (call.failure) {
        return std::move(*call.failure);
    }
    if (!call.mayHaveRun) {
        return refuse(call, reason, retryAfter);
    }
    const bool isLate = reason == Reason::DeadlineExceeded;
    return ownAnswer(isLate ? http::status::gateway_timeout : http::status::bad_gateway, "the request may have run: " + std::string(nameOf(reason)));
}

HttpResponse RequestRouter::refuse(const Call &call, Reason reason, Duration retryAfter)
{
    m_metrics.addRefusal(reason);
    EventLog::write(LogLevel::Info,
                    Event::RequestRejected,
                    { { "request", call.request.requestId },
                      { "reason", std::string(nameOf(reason)) },
                      { "refusals", std::to_string(call.refusals.size()) },
                      { "retryAfterMs", msText(retryAfter) } });
    HttpResponse response = ownAnswer(http::status::service_unavailable, "the request did not run: " + std::string(nameOf(reason)));
    response.set(http::field::retry_after, toSeconds(retryAfter));
    return response;
}

} // namespace carobjunction
