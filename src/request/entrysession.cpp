#include "request/entrysession.h"

#include "process/entryservice.h"
#include "process/eventlog.h"
#include "process/metrics.h"

#include <sstream>

namespace carobjunction
{

namespace
{

std::string formatCandidates(const std::vector<ScoredCandidate> &candidates)
{
    std::ostringstream text;
    text.precision(3);
    for (const ScoredCandidate &candidate : candidates) {
        text << (text.tellp() > 0 ? "," : "") << candidate.daemon << ':' << candidate.score;
    }
    return text.str();
}

} // namespace

EntrySession::EntrySession(EntryService &service, std::shared_ptr<const ServiceConfig> config, CallRequest request, AttemptRules rules)
    : m_service(service), m_config(std::move(config)), m_request(std::move(request)), m_rules(rules), m_startedAt(SteadyClock().now())
{
}

CallResult EntrySession::run()
{
    AttemptPlanner<EntrySession> planner(*this, m_rules);
    while (true) {
        for (const PendingResult &pendingResult : takeAvailableResults()) {
            planner.onResult(pendingResult.number, pendingResult.result);
        }
        const PlanStep step = planner.nextStep(SteadyClock().now());
        if (const auto *attempt = std::get_if<StartAttempt>(&step)) {
            startAttempt(*attempt);
        } else if (const auto *waitStep = std::get_if<WaitUntil>(&step)) {
            waitForResult(waitStep->timePoint);
        } else {
            cancelUnfinishedAttempts(planner.unfinishedAttempts());
            return std::get<FinishCall>(step).result;
        }
    }
}

std::vector<AttemptRecord> EntrySession::attempts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_attempts;
}

std::optional<std::string> EntrySession::chooseTarget(std::span<const std::string> excluded)
{
    m_lastChoice = m_service.choose(*m_config, excluded);
    if (!m_lastChoice) {
        return std::nullopt;
    }
    return m_lastChoice->target.daemon;
}

bool EntrySession::tryAcquireRetryToken()
{
    if (m_request.retriesLeft == 0 || !m_service.tryAcquireRetryToken(*m_config)) {
        m_service.metrics().add(Counter::RetriesDenied);
        EventLog::write(LogLevel::Info,
                        Event::RetryDecided,
                        { { "request", m_request.requestId }, { "verdict", "denied" }, { "reason", m_request.retriesLeft == 0 ? "call-chain" : "budget" } });
        return false;
    }
    return true;
}

void EntrySession::startAttempt(const StartAttempt &attempt)
{
    const RouteChoice choice = *m_lastChoice;
    AttemptRecord record;
    record.number = attempt.number;
    record.kind = attempt.kind;
    record.mayQueue = attempt.mayQueue;
    record.choice = choice;
    record.startedAfter = SteadyClock().now() - m_startedAt;
    {
        const std::scoped_lock lock(m_mutex);
        m_attempts.push_back(std::move(record));
    }
    m_service.countAttempt(attempt.kind);
    logAttempt(attempt, choice);
    dispatchAttempt(attempt, choice);
}

void EntrySession::dispatchAttempt(const StartAttempt &attempt, const RouteChoice &choice)
{
    auto cancel
        = m_service.dispatch(makeAttemptRequest(attempt), choice, attempt.mayQueue, [self = shared_from_this(), number = attempt.number](CallResult result) {
              self->onResult(number, std::move(result));
          });
    const std::scoped_lock lock(m_mutex);
    m_cancelFunctions[attempt.number] = std::move(cancel);
}

CallRequest EntrySession::makeAttemptRequest(const StartAttempt &attempt) const
{
    CallRequest request = m_request;
    request.suspect = request.suspect || attempt.isExclusive;
    // Downstream calls of a retry or hedge must not be retried, because retries at each level would multiply the load along the chain of calls.
    const bool isRetryOrHedge = attempt.kind == AttemptKind::Retry || attempt.kind == AttemptKind::Hedge;
    request.retriesLeft = isRetryOrHedge ? 0 : request.retriesLeft;
    return request;
}

void EntrySession::onResult(uint32_t number, CallResult result)
{
    const TimePoint now = SteadyClock().now();
    AttemptRecord record;
    bool wasCancelled = false;
    {
        const std::scoped_lock lock(m_mutex);
        AttemptRecord &attempt = m_attempts[number];
        attempt.isFinished = true;
        attempt.outcome = result.outcome;
        attempt.reason = result.reason;
        attempt.duration = now - m_startedAt - attempt.startedAfter;
        result.target = attempt.choice.target.daemon;
        wasCancelled = m_isFinished;
        record = attempt;
    }
    reportAttempt(record, result, wasCancelled);
    const TimePoint availableAt = now + m_service.artificialDelay(record.choice.target);
    const std::scoped_lock lock(m_mutex);
    m_pendingResults.push_back({ number, std::move(result), availableAt });
    m_resultArrived.notify_one();
}

void EntrySession::reportAttempt(const AttemptRecord &attempt, const CallResult &result, bool wasCancelled)
{
    AttemptReport report;
    report.outcome = result.outcome;
    report.reason = result.reason;
    report.status = result.status;
    report.latency = attempt.duration;
    report.load = result.load;
    report.cancelled = wasCancelled;
    m_service.reportAttempt(m_request, attempt.choice.target, report);
}

void EntrySession::waitForResult(TimePoint until)
{
    std::unique_lock lock(m_mutex);
    if (m_pendingResults.empty()) {
        m_resultArrived.wait_until(lock, until, [this] { return !m_pendingResults.empty(); });
    }
    TimePoint availableAt = until;
    for (const PendingResult &pendingResult : m_pendingResults) {
        availableAt = std::min(availableAt, pendingResult.availableAt);
    }
    if (!m_pendingResults.empty() && availableAt > SteadyClock().now()) {
        m_resultArrived.wait_until(lock, availableAt);
    }
}

std::vector<EntrySession::PendingResult> EntrySession::takeAvailableResults()
{
    const TimePoint now = SteadyClock().now();
    std::vector<PendingResult> available;
    const std::scoped_lock lock(m_mutex);
    for (auto pendingResult = m_pendingResults.begin(); pendingResult != m_pendingResults.end();) {
        if (pendingResult->availableAt > now) {
            ++pendingResult;
            continue;
        }
        available.push_back(std::move(*pendingResult));
        pendingResult = m_pendingResults.erase(pendingResult);
    }
    return available;
}

void EntrySession::cancelUnfinishedAttempts(const std::vector<StartAttempt> &unfinishedAttempts)
{
    std::vector<std::function<void()>> cancelFunctions;
    {
        const std::scoped_lock lock(m_mutex);
        m_isFinished = true;
        for (const StartAttempt &attempt : unfinishedAttempts) {
            cancelFunctions.push_back(std::move(m_cancelFunctions[attempt.number]));
        }
        // Breaks the reference cycle: the cancel functions own the calls, and the calls own this session.
        m_cancelFunctions.clear();
    }
    for (const auto &cancel : cancelFunctions) {
        if (cancel) {
            cancel();
        }
    }
}

void EntrySession::logAttempt(const StartAttempt &attempt, const RouteChoice &choice) const
{
    if (!EventLog::isEnabled(LogLevel::Info)) {
        return;
    }
    EventLog::write(LogLevel::Info,
                    Event::RouteDecided,
                    { { "request", m_request.requestId },
                      { "service", m_request.service },
                      { "target", choice.target.daemon },
                      { "why", choice.selectionReason },
                      { "kind", std::string(nameOf(attempt.kind)) },
                      { "attempt", std::to_string(attempt.number) },
                      { "may_queue", attempt.mayQueue ? "yes" : "no" },
                      { "candidates", formatCandidates(choice.scored) },
                      { "config_version", std::to_string(m_request.configVersion) } });
}

} // namespace carobjunction
