#include "process/targetservice.h"

#include <carobjunction/process/durations.h>

#include "connection/connectiontimer.h"
#include "connection/detachedtask.h"
#include "connection/messagefields.h"
#include "process/scopeguard.h"
#include "process/suspension.h"
#include "process/wallclock.h"

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto RecallTime = std::chrono::milliseconds(1500); // after the start; the store or a peer answers sooner unless both are out of reach
constexpr auto SuspensionLimit = std::chrono::milliseconds(250); // after a longer suspension, the entry may have given up
constexpr int ReceiveBuffer = 128 << 10; // bytes; the kernel would hold up to 6 MB for each connection of a server that sends without end
constexpr auto CloseMargin = std::chrono::milliseconds(20); // time for the backend server's own answer at its deadline

/** @return the numbers of a comma-separated list; stops at the first that can't be read */
std::vector<uint32_t> readNumbers(std::string_view text)
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

PoolLimits backendLimits(std::shared_ptr<BodyBudget> bodies)
{
    PoolLimits limits;
    limits.bodies = std::move(bodies);
    limits.receiveBuffer = ReceiveBuffer;
    return limits;
}

} // namespace

TargetService::TargetService(asio::io_context &loop,
                             const Tcp::endpoint &backend,
                             const ServedHeaders &headers,
                             Duration silenceLimit,
                             CrashHistory &crashes,
                             WorkEstimates &work,
                             TargetHooks hooks,
                             std::shared_ptr<BodyBudget> bodies)
    : m_loop(loop)
    , m_backend(std::make_shared<HttpClientPool>(loop, backend, backendLimits(std::move(bodies))))
    , m_headers(headers)
    , m_crashes(crashes)
    , m_work(work)
    , m_hooks(std::move(hooks))
    , m_gate(silenceLimit)
    , m_recallLimit(SteadyClock().now() + RecallTime)
    , m_probe(
          loop,
          backend,
          HostSlowness::Freshness,
          [this](const HttpResponse &response) { return fieldText(response, m_headers.requestId).empty(); },
          [this](const HttpResponse &response) { return readLoad(response); })
{
}

HeartbeatEffect TargetService::onHeartbeat(const Heartbeat &beat)
{
    const HeartbeatEffect effect = m_gate.onHeartbeat(beat, SteadyClock().now());
    if (effect == HeartbeatEffect::Changed) {
        m_tuner.setSlots(beat.slots);
        applyLimit();
        onRecordChanged();
    }
    return effect;
}

void TargetService::applyLimit()
{
    const uint32_t limit = m_tuner.limit();
    if (limit != m_slots.use().limit) {
        const SlotEvidence &evidence = m_tuner.evidence();
        EventLog::write(LogLevel::Info,
                        Event::LimitChanged,
                        { { "backend", m_gate.record().id },
                          { "limit", std::to_string(limit) },
                          { "upperRate", std::to_string(evidence.upper.rate()) },
                          { "upperAnswers", std::to_string(evidence.upper.ratio.answers) },
                          { "lowerRate", std::to_string(evidence.lower.rate()) },
                          { "lowerAnswers", std::to_string(evidence.lower.ratio.answers) } });
    }
    m_slots.setLimit(std::max<uint32_t>(m_gate.record().slots, 1), limit);
}

void TargetService::onLeave(const std::string &id)
{
    if (m_gate.onLeave(id, SteadyClock().now(), static_cast<uint64_t>(SystemWallClock().nowMs()))) {
        onRecordChanged();
    }
}

void TargetService::recall(const BackendRecord *former)
{
    m_hasRecalled = true;
    if (former != nullptr && m_gate.recall(*former, SteadyClock().now())) {
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
        m_slots.closeAll();
        m_backend->closeIdle();
        m_probe.closeIdle();
    }
    m_hooks.onRecordChanged();
}

void TargetService::stopAdmission()
{
    m_isStopping = true;
    m_slots.closeAll();
}

void TargetService::checkTimes()
{
    const TimePoint now = SteadyClock().now();
    m_slots.expire(now);
    if (m_gate.checkSilence(now)) {
        onRecordChanged();
    }
}

TargetReport TargetService::report() const
{
    const SlotUse use = m_slots.use();
    const TimePoint now = SteadyClock().now();
    return { use.running, use.waiting, use.limit, m_host.factor(now), m_gate.isCold(now), m_host.isSlow(now), m_tuner.evidence() };
}

std::optional<Reason> TargetService::reasonToRefuse(const ForwardRequest &request) const
{
    const BackendRecord &record = m_gate.record();
    if (m_isStopping || record.state == BackendState::Draining) {
        return Reason::Leaving;
    }
    if (!m_gate.isOpen() || (!m_hasRecalled && SteadyClock().now() < m_recallLimit)) {
        return Reason::TargetDown;
    }
    if (record.service != request.service) {
        return Reason::WrongService;
    }
    if (record.id != request.backend) {
        return Reason::StaleIncarnation;
    }
    if (m_crashes.isCondemned(request.fingerprint)) {
        return Reason::Condemned;
    }
    return std::nullopt;
}

/** Reads how slow the VM is, if the last reading is too old to start work by. */
Task<void> TargetService::refreshHost()
{
    if (!m_host.isFresh(SteadyClock().now())) {
        co_await m_probe.refresh(m_hooks.healthPath(m_gate.record().service));
    }
    applyHost(SteadyClock().now());
}

void TargetService::applyHost(TimePoint now)
{
    m_slots.setHost({ m_host.factor(now), m_host.usualFactor(), m_host.isSlow(now) });
}

/** Reads the VM's slowness again and again while requests wait for the end of a slow spell. */
Task<void> TargetService::watchSlowSpell()
{
    asio::steady_timer timer(m_loop);
    while (m_slots.use().waiting > 0 && m_host.isSlow(SteadyClock().now())) {
        timer.expires_after(HostSlowness::Freshness);
        ErrorCode ignored; // the timer is not cancelled
        co_await timer.async_wait(into(ignored));
        co_await refreshHost();
        m_slots.grantNext(SteadyClock().now());
    }
}

Task<std::optional<ForwardResult>> TargetService::waitForSlot(const ForwardRequest &request, CancellationPtr cancellation)
{
    const auto end = std::make_shared<std::optional<SlotEnd>>();
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, request.deadlineAt);
    const SlotRequest wanted { request.priority, request.aimAt, request.deadlineAt, std::max(request.work, m_work.estimate(request.route)), request.mayQueue };
    const SlotQueue::Decision decision = m_slots.offer(wanted, SteadyClock().now(), [end, timer](SlotEnd how) {
        *end = how;
        timer->cancel();
    });
    if (decision.isGranted) {
        co_return std::nullopt;
    }
    if (!decision.ticket) {
        co_return ForwardResult::notRun(decision.reason, decision.retryAfter);
    }
    if (m_host.isSlow(SteadyClock().now()) && !std::exchange(m_isWatchingSpell, true)) {
        spawnDetached(m_loop, "watch-slow-spell", watchSlowSpell(), [this] { m_isWatchingSpell = false; });
    }
    const Cancellation::Registration registration(*cancellation, [timer] { timer->cancel(); });
    ErrorCode ignored; // the timer is cancelled when the wait ends early
    co_await timer->async_wait(into(ignored));
    if (*end == SlotEnd::Granted) {
        co_return std::nullopt;
    }
    m_slots.withdraw(*decision.ticket);
    if (*end == SlotEnd::Closed) {
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
    const SlotUse use = m_slots.use();
    const TimePoint now = SteadyClock().now();
    EventLog::write(LogLevel::Info,
                    Event::AdmissionDecided,
                    { { "request", request.requestId },
                      { "route", request.route },
                      { "outcome", "not-run" },
                      { "reason", std::string(nameOf(result.reason)) },
                      { "backend", m_gate.record().id },
                      { "state", std::string(nameOf(m_gate.record().state)) },
                      { "running", std::to_string(use.running) },
                      { "waiting", std::to_string(use.waiting) },
                      { "limit", std::to_string(use.limit) },
                      { "workMs", std::to_string(toMs(request.work)) },
                      { "aimLeftMs", std::to_string(toMs(request.aimAt - now)) },
                      { "leftMs", std::to_string(toMs(request.deadlineAt - now)) } });
}

Task<ForwardResult> TargetService::admitAndDispatch(ForwardRequest &request, CancellationPtr cancellation)
{
    if (const auto reason = reasonToRefuse(request)) {
        co_return ForwardResult::notRun(*reason);
    }
    const SuspensionMeter suspension;
    co_await refreshHost();
    if (const auto reason = reasonToRefuse(request)) {
        co_return ForwardResult::notRun(*reason);
    }
    if (auto refused = co_await waitForSlot(request, cancellation)) {
        co_return std::move(*refused);
    }
    const ScopeGuard slot([this] {
        const TimePoint now = SteadyClock().now();
        applyHost(now);
        m_slots.release(now);
    });
    ForwardResult result;
    const auto reason = reasonToRefuse(request);
    if (cancellation->isRequested()) {
        result = ForwardResult::notRun(Reason::Cancelled);
    } else if (reason) {
        result = ForwardResult::notRun(*reason);
    } else if (suspension.elapsed() > SuspensionLimit || SteadyClock().now() >= request.deadlineAt) {
        result = ForwardResult::notRun(Reason::DeadlineExceeded);
    } else {
        result = co_await dispatch(request, cancellation);
    }
    co_return result;
}

HttpRequest TargetService::toBackendMessage(ForwardRequest &request) const
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
    m_inFlight.emplace(run, request.fingerprint);
    const ScopeGuard inFlight([this, run] { m_inFlight.erase(run); });
    const TimePoint start = SteadyClock().now();
    const bool isHostSlow = m_host.isSlow(start);
    const SlotTuner::Mark mark = m_tuner.onStart(m_slots.use().running, start);
    applyLimit();
    ExchangeOptions options;
    options.deadline = request.deadlineAt + CloseMargin;
    options.connectTimeout = ConnectTimeout;
    options.belongs = [this, id = request.requestId](const HttpResponse &response) {
        return !hasField(response, m_headers.requestId) || fieldText(response, m_headers.requestId) == id;
    };
    options.isNamed = [this](const HttpResponse &response) {
        return hasField(response, m_headers.requestId);
    };
    options.onNewConnection = request.requestId.empty();
    options.requestId = request.requestId;
    options.isRefusal = [this](const HttpResponse &response) {
        return isRefusal(response);
    };
    ExchangeResult exchange = co_await m_backend->exchange(toBackendMessage(request), std::move(options), cancellation);
    const ExchangeEnd end = exchange.end;
    ForwardResult result = classify(request, std::move(exchange));
    result.serviceTime = SteadyClock().now() - start;
    result.isTypical = result.outcome == Outcome::Ran && !isHostSlow;
    if (result.isTypical) {
        m_slots.observeWork(result.serviceTime);
        m_work.observe(request.route, result.serviceTime);
        m_tuner.onAnswer(mark, m_slots.use().running, request.route, std::chrono::duration<double>(result.serviceTime).count());
    }
    if (end == ExchangeEnd::NotSent) {
        m_inFlight.erase(run); // it was not running, so it has no part in a crash
    }
    if (end == ExchangeEnd::Lost || end == ExchangeEnd::NotSent) {
        co_await checkForCrash();
    }
    co_return result;
}

ForwardResult TargetService::classify(const ForwardRequest &request, ExchangeResult exchange)
{
    if (exchange.end == ExchangeEnd::Answered) {
        return classifyAnswer(request, std::move(exchange.response));
    }
    if (exchange.end == ExchangeEnd::TooLarge) {
        EventLog::write(LogLevel::Warning,
                        Event::AnswerDiscarded,
                        { { "request", request.requestId },
                          { "backend", request.backend },
                          { "reason", std::string(nameOf(Reason::AnswerTooLarge)) },
                          { "detail", exchange.detail } });
    }
    return ForwardResult::unanswered(exchange.end, Reason::TargetDown, std::move(exchange.detail));
}

/** @return whether the answer states that the request did not run */
bool TargetService::isRefusal(const HttpResponse &response) const
{
    return response.result() == http::status::misdirected_request || hasField(response, m_headers.notExecuted);
}

/** @param response  names the request, or is the first answer of its connection: a refusal written once more never gets here */
ForwardResult TargetService::classifyAnswer(const ForwardRequest &request, HttpResponse response)
{
    readLoad(response);
    const auto status = response.result();
    if (status == http::status::misdirected_request) {
        EventLog::write(LogLevel::Warning,
                        Event::TargetDown,
                        { { "backend", request.backend }, { "request", request.requestId }, { "reason", "another-backend-at-the-address" } });
        if (m_gate.onLost()) {
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
    const bool isOwn = hasField(response, m_headers.seal) && fieldText(response, m_headers.requestId) == request.requestId;
    if ((isSuccess && !isOwn) || response.find(http::field::content_encoding) != response.end()) {
        EventLog::write(LogLevel::Warning, Event::AnswerDiscarded, { { "request", request.requestId }, { "status", std::to_string(response.result_int()) } });
        return ForwardResult::unknown(Reason::AnswerLost, "answer without the backend server's seal");
    }
    ForwardResult result;
    result.outcome = Outcome::Ran;
    result.reachedBackend = true;
    removeConnectionFields(response);
    result.response = std::move(response);
    return result;
}

/** @return whether the response tells how slow the VM is */
bool TargetService::readLoad(const HttpResponse &response)
{
    constexpr size_t SlownessIndex = 3;
    constexpr double Percent = 100;
    constexpr uint32_t LargestPercent = 100'000; // no work is a thousand times as slow; keeps odd values out of the reports to peers
    const std::vector<uint32_t> numbers = readNumbers(fieldText(response, m_headers.load));
    if (numbers.size() <= SlownessIndex) {
        return false;
    }
    const TimePoint now = SteadyClock().now();
    m_host.observe(std::min(numbers[SlownessIndex], LargestPercent) / Percent, m_gate.isCold(now), now);
    return true;
}

/** A backend server that refuses connections after it lost a request has ended while it ran what was in flight. */
Task<void> TargetService::checkForCrash()
{
    const auto socket = std::make_shared<Tcp::socket>(m_loop);
    const ConnectionTimer timer(m_loop, SteadyClock().now() + ConnectTimeout, [socket] {
        ErrorCode ignored; // the connection is given up in any case
        socket->close(ignored);
    });
    ErrorCode error;
    co_await socket->async_connect(m_backend->server(), into(error));
    if (error != asio::error::connection_refused) {
        co_return;
    }
    const BackendRecord record = m_gate.record();
    const std::string process = record.id + "@" + std::to_string(record.bornMs);
    for (const auto &[run, fingerprint] : m_inFlight) {
        m_hooks.onCrash({ fingerprint, process });
    }
    if (m_gate.onLost()) {
        onRecordChanged();
    }
}

} // namespace carobjunction
