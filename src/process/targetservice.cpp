#include "process/targetservice.h"

#include <carobjunction/process/durations.h>

#include "connection/connectiontimer.h"
#include "connection/detachedtask.h"
#include "connection/messagefields.h"
#include "connection/sleepfor.h"
#include "process/scopeguard.h"
#include "process/suspensionmeter.h"
#include "process/wallclock.h"

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto RestoreTimeout = std::chrono::milliseconds(1500); // after the start; the store or a peer answers within it unless both are unreachable
constexpr auto SuspensionLimit = std::chrono::milliseconds(250); // after a longer suspension of the VM, the entry daemon may have abandoned the request
constexpr int ReceiveBuffer = 128 << 10; // bytes; by default the kernel buffers up to 6 MB per connection if the server sends without limit
constexpr auto DeadlineMargin = std::chrono::milliseconds(20); // time for the answer that the backend server itself sends at the deadline to arrive

/** @return the numbers of a comma-separated list up to the first element that can't be parsed */
std::vector<uint32_t> parseNumbers(std::string_view text)
{
    std::vector<uint32_t> numbers;
    while (!text.empty()) {
        uint32_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc()) {
            break;
        }
        numbers.push_back(number);
        text.remove_prefix(static_cast<size_t>(end - text.data()));
        if (!text.empty() && text.front() == ',') {
            text.remove_prefix(1);
        }
    }
    return numbers;
}

PoolLimits backendPoolLimits(std::shared_ptr<BodyBudget> sharedBodyBudget)
{
    PoolLimits limits;
    limits.sharedBodyBudget = std::move(sharedBodyBudget);
    limits.receiveBufferBytes = ReceiveBuffer;
    return limits;
}

} // namespace

TargetService::TargetService(asio::io_context &loop,
                             const Tcp::endpoint &backend,
                             const std::string &service,
                             const PlatformHeaders &headers,
                             Duration heartbeatTimeout,
                             CrashHistory &crashHistory,
                             RouteServiceTimes &routeServiceTimes,
                             TargetCallbacks callbacks,
                             std::shared_ptr<BodyBudget> sharedBodyBudget)
    : m_loop(loop)
    , m_backendPool(std::make_shared<HttpClientPool>(loop, backend, backendPoolLimits(std::move(sharedBodyBudget))))
    , m_headers(headers)
    , m_crashHistory(crashHistory)
    , m_routeServiceTimes(routeServiceTimes)
    , m_callbacks(std::move(callbacks))
    , m_gate(service, heartbeatTimeout, SteadyClock().now())
    , m_restoreDeadline(SteadyClock().now() + RestoreTimeout)
    , m_probe(
          loop,
          backend,
          HostSlowdownDetector::ReadingRefreshInterval,
          [this](const HttpResponse &response) { return fieldValue(response, m_headers.requestId).empty(); },
          [this](const HttpResponse &response) { return applyLoadField(response); })
{
}

HeartbeatResult TargetService::onHeartbeat(const Heartbeat &heartbeat)
{
    const HeartbeatResult effect = m_gate.onHeartbeat(heartbeat, SteadyClock().now());
    if (effect == HeartbeatResult::Changed) {
        m_tuner.setSlots(heartbeat.slots);
        applyLimit();
        onRecordChanged();
    }
    return effect;
}

void TargetService::applyLimit()
{
    const uint32_t limit = m_tuner.limit();
    if (limit != m_slotQueue.usage().limit) {
        const SlotLimitStatistics &statistics = m_tuner.statistics();
        EventLog::write(LogLevel::Info,
                        Event::LimitChanged,
                        { { "backend", m_gate.record().id },
                          { "limit", std::to_string(limit) },
                          { "upperRate", std::to_string(statistics.upper.relativeThroughput()) },
                          { "upperAnswers", std::to_string(statistics.upper.serviceTimeRatio.sampleCount) },
                          { "lowerRate", std::to_string(statistics.lower.relativeThroughput()) },
                          { "lowerAnswers", std::to_string(statistics.lower.serviceTimeRatio.sampleCount) } });
    }
    m_slotQueue.setLimit(std::max<uint32_t>(m_gate.record().slots, 1), limit);
}

void TargetService::onLeave(const std::string &id)
{
    if (m_gate.onLeave(id, SteadyClock().now(), static_cast<uint64_t>(SystemWallClock().nowMs()))) {
        onRecordChanged();
    }
}

void TargetService::restoreRecord(const BackendRecord *storedRecord)
{
    m_isRecordRestored = true;
    if (storedRecord != nullptr && m_gate.restoreRecord(*storedRecord, SteadyClock().now())) {
        onRecordChanged();
    }
}

void TargetService::onRecordChanged()
{
    const BackendRecord &record = m_gate.record();
    const Event event = record.state == BackendState::Ready ? Event::TargetAnnounced
        : record.state == BackendState::Draining            ? Event::TargetLeaving
                                                            : Event::TargetDown;
    EventLog::write(LogLevel::Info, event, { { "backend", record.id }, { "service", record.service }, { "state", std::string(nameOf(record.state)) } });
    if (!m_gate.isOpen()) {
        m_slotQueue.closeAll();
        m_backendPool->closeIdle();
        m_probe.closeIdle();
    }
    m_callbacks.onRecordChanged();
}

void TargetService::stopAdmission()
{
    m_isStopping = true;
    m_slotQueue.closeAll();
}

void TargetService::checkTimeouts()
{
    const TimePoint now = SteadyClock().now();
    m_slotQueue.expire(now);
    if (m_gate.checkHeartbeatTimeout(now)) {
        onRecordChanged();
    }
}

TargetReport TargetService::report() const
{
    const SlotUsage usage = m_slotQueue.usage();
    const TimePoint now = SteadyClock().now();
    return { usage.running,       usage.waiting, usage.limit, m_slowdownDetector.slowdownFactor(now), m_gate.isCold(now), m_slowdownDetector.isSlow(now),
             m_tuner.statistics() };
}

std::optional<Reason> TargetService::refusalReason(const ForwardRequest &request) const
{
    const BackendRecord &record = m_gate.record();
    if (m_isStopping || record.state == BackendState::Draining) {
        return Reason::Leaving;
    }
    if (!m_gate.isOpen() || (!m_isRecordRestored && SteadyClock().now() < m_restoreDeadline)) {
        return Reason::TargetDown;
    }
    if (record.service != request.service) {
        return Reason::WrongService;
    }
    if (record.id != request.backend) {
        return Reason::StaleIncarnation;
    }
    if (m_crashHistory.isCondemned(request.fingerprint, SteadyClock().now())) {
        return Reason::Condemned;
    }
    return std::nullopt;
}

/** Measures the slowdown of the VM by a probe if the last reading is not fresh, and passes it to the slot queue. */
Task<void> TargetService::refreshHostSlowdown()
{
    if (!m_slowdownDetector.isFresh(SteadyClock().now())) {
        co_await m_probe.refreshLoad(m_callbacks.healthPath(m_gate.record().service));
    }
    applyHostSlowdown(SteadyClock().now());
}

void TargetService::applyHostSlowdown(TimePoint now)
{
    m_slotQueue.setHostSlowdown({ m_slowdownDetector.slowdownFactor(now), m_slowdownDetector.baselineFactor(), m_slowdownDetector.isSlow(now) });
}

/** Measures the slowdown of the VM periodically while requests wait for its end, and starts them when it ends. */
Task<void> TargetService::watchSlowdown()
{
    while (m_slotQueue.usage().waiting > 0 && m_slowdownDetector.isSlow(SteadyClock().now())) {
        co_await sleepFor(m_loop, HostSlowdownDetector::ReadingRefreshInterval);
        co_await refreshHostSlowdown();
        m_slotQueue.grantWaiting(SteadyClock().now());
    }
}

Task<std::optional<ForwardResult>> TargetService::waitForSlot(const ForwardRequest &request, CancellationPtr cancellation)
{
    const auto end = std::make_shared<std::optional<SlotWaitResult>>();
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, request.deadlineAt);
    const SlotRequest slotRequest {
        request.priority, request.softDeadlineAt, request.deadlineAt, std::max(request.work, m_routeServiceTimes.estimate(request.route)), request.mayQueue
    };
    const SlotQueue::Decision decision = m_slotQueue.requestSlot(slotRequest, SteadyClock().now(), [end, timer](SlotWaitResult slotEnd) {
        *end = slotEnd;
        timer->cancel();
    });
    if (decision.isGranted) {
        co_return std::nullopt;
    }
    if (!decision.ticket) {
        co_return ForwardResult::notRun(decision.reason, decision.retryAfter);
    }
    if (m_slowdownDetector.isSlow(SteadyClock().now()) && !std::exchange(m_isWatchingSlowdown, true)) {
        spawnDetached(m_loop, "watch-slow-spell", watchSlowdown(), [this] { m_isWatchingSlowdown = false; });
    }
    const Cancellation::Registration registration(*cancellation, [timer] { timer->cancel(); });
    ErrorCode ignored; // the timer is cancelled if the wait ends before the deadline
    co_await timer->async_wait(redirectError(ignored));
    if (*end == SlotWaitResult::Granted) {
        co_return std::nullopt;
    }
    m_slotQueue.cancelWait(*decision.ticket);
    if (*end == SlotWaitResult::Closed) {
        co_return ForwardResult::notRun(Reason::Leaving);
    }
    co_return ForwardResult::notRun(cancellation->isRequested() ? Reason::Cancelled : Reason::DeadlineTooShort, decision.retryAfter);
}

Task<ForwardResult> TargetService::run(ForwardRequest request, CancellationPtr cancellation)
{
    ForwardResult result = co_await admitAndDispatch(request, std::move(cancellation));
    if (result.outcome == Outcome::NotRun) {
        logRefusal(request, result);
    }
    co_return result;
}

void TargetService::logRefusal(const ForwardRequest &request, const ForwardResult &result) const
{
    const SlotUsage usage = m_slotQueue.usage();
    const TimePoint now = SteadyClock().now();
    EventLog::write(LogLevel::Info,
                    Event::AdmissionDecided,
                    { { "request", request.requestId },
                      { "route", request.route },
                      { "outcome", "not-run" },
                      { "reason", std::string(nameOf(result.reason)) },
                      { "backend", m_gate.record().id },
                      { "state", std::string(nameOf(m_gate.record().state)) },
                      { "running", std::to_string(usage.running) },
                      { "waiting", std::to_string(usage.waiting) },
                      { "limit", std::to_string(usage.limit) },
                      { "workMs", std::to_string(toMs(request.work)) },
                      { "aimLeftMs", std::to_string(toMs(request.softDeadlineAt - now)) },
                      { "leftMs", std::to_string(toMs(request.deadlineAt - now)) } });
}

Task<ForwardResult> TargetService::admitAndDispatch(ForwardRequest &request, CancellationPtr cancellation)
{
    if (const auto reason = refusalReason(request)) {
        co_return ForwardResult::notRun(*reason);
    }
    const SuspensionMeter suspension;
    co_await refreshHostSlowdown();
    if (const auto reason = refusalReason(request)) {
        co_return ForwardResult::notRun(*reason);
    }
    if (auto refused = co_await waitForSlot(request, cancellation)) {
        co_return std::move(*refused);
    }
    const ScopeGuard slot([this] {
        const TimePoint now = SteadyClock().now();
        applyHostSlowdown(now);
        m_slotQueue.release(now);
    });
    ForwardResult result;
    const auto reason = refusalReason(request);
    if (cancellation->isRequested()) {
        result = ForwardResult::notRun(Reason::Cancelled);
    } else if (reason) {
        result = ForwardResult::notRun(*reason);
    } else if (suspension.suspendedTime() > SuspensionLimit || SteadyClock().now() >= request.deadlineAt) {
        result = ForwardResult::notRun(Reason::DeadlineExceeded);
    } else {
        result = co_await dispatch(request, cancellation);
    }
    co_return result;
}

HttpRequest TargetService::toBackendRequest(ForwardRequest &request) const
{
    HttpRequest message = std::move(request.message);
    message.set(m_headers.deadline, std::to_string(std::max<int64_t>(toMs(request.deadlineAt - SteadyClock().now()), 1)));
    message.set(m_headers.expectedBackend, request.backend);
    message.set(m_headers.callerService, request.callerService);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

Task<ForwardResult> TargetService::dispatch(ForwardRequest &request, CancellationPtr cancellation)
{
    const uint64_t run = ++m_lastRun;
    m_fingerprintsInFlight.emplace(run, request.fingerprint);
    const ScopeGuard inFlight([this, run] { m_fingerprintsInFlight.erase(run); });
    const TimePoint start = SteadyClock().now();
    const bool isHostSlow = m_slowdownDetector.isSlow(start);
    const SlotTuner::LimitAtStart limitAtStart = m_tuner.onStart(m_slotQueue.usage().running, start);
    applyLimit();
    ExchangeOptions options;
    options.deadline = request.deadlineAt + DeadlineMargin;
    options.connectTimeout = ConnectTimeout;
    options.matchesRequest = [this, id = request.requestId](const HttpResponse &response) {
        return !hasField(response, m_headers.requestId) || fieldValue(response, m_headers.requestId) == id;
    };
    options.identifiesRequest = [this](const HttpResponse &response) {
        return hasField(response, m_headers.requestId);
    };
    options.requiresNewConnection = request.requestId.empty();
    options.requestId = request.requestId;
    options.isRefusal = [this](const HttpResponse &response) {
        return isRefusal(response);
    };
    ExchangeResult exchange = co_await m_backendPool->exchange(toBackendRequest(request), std::move(options), cancellation);
    const ExchangeEnd end = exchange.end;
    ForwardResult result = classify(request, std::move(exchange));
    result.serviceTime = SteadyClock().now() - start;
    result.isRepresentative = result.outcome == Outcome::Ran && !isHostSlow;
    if (result.isRepresentative) {
        m_slotQueue.recordServiceTime(result.serviceTime);
        m_routeServiceTimes.observe(request.route, result.serviceTime);
        m_tuner.onAnswer(limitAtStart, m_slotQueue.usage().running, request.route, std::chrono::duration<double>(result.serviceTime).count());
    }
    if (result.outcome == Outcome::Ran && m_crashHistory.onAnswered(request.fingerprint, SteadyClock().now())) {
        m_callbacks.onCrashesCleared(request.fingerprint);
    }
    if (end == ExchangeEnd::NotSent) {
        m_fingerprintsInFlight.erase(run); // the request did not run, so it can't have caused a crash
    }
    if (end == ExchangeEnd::ResponseLost || end == ExchangeEnd::Malformed || end == ExchangeEnd::NotSent) {
        co_await checkForCrash();
    }
    co_return result;
}

ForwardResult TargetService::classify(const ForwardRequest &request, ExchangeResult exchange)
{
    if (exchange.end == ExchangeEnd::Answered) {
        return classifyAnswer(request, std::move(exchange.response));
    }
    return ForwardResult::fromUnansweredExchange(exchange.end, Reason::TargetDown, std::move(exchange.detail));
}

/** @return whether the answer indicates that the request did not run */
bool TargetService::isRefusal(const HttpResponse &response) const
{
    return response.result() == http::status::misdirected_request || hasField(response, m_headers.notExecuted);
}

/**
 * Classifies an answer of the backend server.
 * @param response  must contain the request's id or be the first answer on its connection; otherwise it could be a duplicate refusal that
 *                  belongs to an earlier request
 */
ForwardResult TargetService::classifyAnswer(const ForwardRequest &request, HttpResponse response)
{
    applyLoadField(response);
    const auto status = response.result();
    if (status == http::status::misdirected_request) {
        EventLog::write(LogLevel::Warning,
                        Event::TargetDown,
                        { { "backend", request.backend }, { "request", request.requestId }, { "reason", "another-backend-at-the-address" } });
        if (m_gate.markGone()) {
            onRecordChanged();
        }
        ForwardResult result = ForwardResult::notRun(Reason::StaleIncarnation);
        result.reachedBackend = true;
        return result;
    }
    if (isRefusal(response)) {
        ForwardResult result = ForwardResult::notRun(Reason::Shed);
        result.reachedBackend = true;
        return result;
    }
    const bool isSuccess = http::to_status_class(status) == http::status_class::successful;
    const bool isSealed = hasField(response, m_headers.seal) && fieldValue(response, m_headers.requestId) == request.requestId;
    const bool isEncoded = response.find(http::field::content_encoding) != response.end();
    if ((isSuccess && !isSealed) || isEncoded) {
        const std::string cause = isEncoded ? "answer with a content encoding" : "answer without the backend server's seal";
        EventLog::write(LogLevel::Warning,
                        Event::AnswerDiscarded,
                        { { "request", request.requestId }, { "status", std::to_string(response.result_int()) }, { "reason", cause } });
        return ForwardResult::unknown(Reason::AnswerLost, cause);
    }
    ForwardResult result;
    result.outcome = Outcome::Ran;
    result.reachedBackend = true;
    removeHopByHopFields(response);
    result.response = std::move(response);
    return result;
}

/**
 * Records the slowdown of the VM from the load field of a response.
 * @return whether the response contains it
 */
bool TargetService::applyLoadField(const HttpResponse &response)
{
    constexpr size_t SlowdownFieldIndex = 3;
    constexpr double Percent = 100;
    constexpr uint32_t MaxSlowdownPercent = 100'000; // factor 1000, above any real slowdown; keeps invalid values out of the reports to peers
    const std::vector<uint32_t> numbers = parseNumbers(fieldValue(response, m_headers.load));
    if (numbers.size() <= SlowdownFieldIndex) {
        return false;
    }
    const TimePoint now = SteadyClock().now();
    m_slowdownDetector.observe(std::min(numbers[SlowdownFieldIndex], MaxSlowdownPercent) / Percent, m_gate.isCold(now), now);
    return true;
}

/**
 * Checks for a crash of the backend server after a connection failed. If the server refuses a new connection, it has terminated, and all
 * requests in flight are reported as running at the crash.
 */
Task<void> TargetService::checkForCrash()
{
    const auto socket = std::make_shared<Tcp::socket>(m_loop);
    const ConnectionTimer timer(m_loop, SteadyClock().now() + ConnectTimeout, [socket] {
        ErrorCode ignored; // the connection is abandoned in any case
        socket->close(ignored);
    });
    ErrorCode error;
    co_await socket->async_connect(m_backendPool->server(), redirectError(error));
    if (error != asio::error::connection_refused) {
        co_return;
    }
    const BackendRecord record = m_gate.record();
    const std::string backendProcess = record.id + "@" + std::to_string(record.startedAtMs);
    for (const auto &[run, fingerprint] : m_fingerprintsInFlight) {
        m_callbacks.onCrash({ fingerprint, backendProcess });
    }
    if (m_gate.markGone()) {
        onRecordChanged();
    }
}

} // namespace carobjunction
