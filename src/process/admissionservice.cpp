#include "process/admissionservice.h"

#include "connection/socketaddress.h"
#include "process/eventlog.h"
#include "process/metrics.h"

namespace carobjunction
{

AdmissionSession::AdmissionSession(AdmissionService &service, CallRequest request, Completion completion)
    : m_service(service), m_request(std::move(request)), m_completion(std::move(completion))
{
}

void AdmissionSession::cancel()
{
    m_service.cancelSession(shared_from_this());
}

AdmissionService::AdmissionService(WorkerPool &workers, SuspectTable<SteadyClock> &suspects, Metrics &metrics, uint64_t maxBodyBytes)
    : m_workers(workers), m_suspects(suspects), m_metrics(metrics), m_controller(m_clock), m_backend(maxBodyBytes)
{
}

void AdmissionService::setHandlers(RequestRanHandler ran, SuspectsChangedHandler suspectsChanged)
{
    m_requestRanHandler = std::move(ran);
    m_suspectsChangedHandler = std::move(suspectsChanged);
}

void AdmissionService::configure(const AdmissionLimits &limits)
{
    apply(m_controller.configure(limits));
}

std::shared_ptr<AdmissionSession>
AdmissionService::submit(CallRequest request, uint64_t targetIncarnation, bool mayQueue, AdmissionSession::Completion completion)
{
    auto session = std::make_shared<AdmissionSession>(*this, std::move(request), std::move(completion));
    const SuspectState suspectState = m_suspects.state(session->m_request.fingerprint);
    if (suspectState == SuspectState::Condemned) {
        refuse(session, Reason::Condemned, m_controller.load());
        return session;
    }
    session->m_request.suspect = session->m_request.suspect || suspectState == SuspectState::Suspect;
    AdmissionChanges changes;
    AdmissionDecision decision;
    {
        // The lock is held until the session is in the table, so that a thread that admits the request finds the session there.
        const std::scoped_lock lock(m_sessionsMutex);
        decision = m_controller.request(makeAdmissionRequest(session->m_request, targetIncarnation, mayQueue), changes);
        session->m_ticket = decision.ticket;
        if (decision.verdict == AdmissionVerdict::Queued) {
            m_queuedSessions.emplace(decision.ticket, session);
        }
    }
    apply(changes);
    if (decision.verdict == AdmissionVerdict::Refused) {
        refuse(session, decision.reason, decision.load);
        return session;
    }
    logDecision(session->m_request, decision.verdict, decision.reason, decision.load);
    if (decision.verdict == AdmissionVerdict::Admitted) {
        run(session);
    }
    return session;
}

AdmissionRequest AdmissionService::makeAdmissionRequest(const CallRequest &request, uint64_t targetIncarnation, bool mayQueue)
{
    AdmissionRequest admission;
    admission.service = request.service;
    admission.caller = request.caller;
    admission.priority = request.priority;
    admission.deadline = request.deadline;
    admission.targetIncarnation = targetIncarnation;
    admission.suspect = request.suspect;
    admission.mayQueue = mayQueue;
    return admission;
}

void AdmissionService::run(const SessionPtr &session)
{
    session->m_isRunning = true;
    m_crashDetector.onRequestStarted(session->m_ticket, m_controller.incarnation(), session->m_request.fingerprint);
    m_workers.run([this, session] {
        const TimePoint startedAt = m_clock.now();
        CallResult result = m_backend.call(session->m_request);
        finish(session, std::move(result), m_clock.now() - startedAt);
    });
}

void AdmissionService::finish(const SessionPtr &session, CallResult result, Duration serviceTime)
{
    result.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(serviceTime);
    const bool ranAlone = m_controller.runsAlone(session->m_ticket);
    recordOutcome(*session, result, ranAlone);
    CompletionKind kind = CompletionKind::Failed;
    if (result.outcome == Outcome::Ran) {
        kind = CompletionKind::Answered;
    } else if (result.reason == Reason::Shed) {
        kind = CompletionKind::Overloaded;
    }
    const AdmissionChanges changes = m_controller.finished(session->m_ticket, kind);
    result.load = m_controller.load();
    m_metrics.observe(Histogram::ServiceTime, serviceTime);
    session->m_isFinished = true;
    session->m_completion(std::move(result));
    apply(changes);
}

void AdmissionService::recordOutcome(const AdmissionSession &session, const CallResult &result, bool ranAlone)
{
    const bool mayHaveCrashed = result.outcome == Outcome::Unknown && maySignalCrash(result.reason);
    m_crashDetector.onRequestFinished(session.m_ticket, mayHaveCrashed);
    if (mayHaveCrashed) {
        checkForCrash();
    }
    if (result.outcome == Outcome::NotRun && result.reason == Reason::TargetDown) {
        reportCrash(m_controller.incarnation());
        markTargetDown("connection-refused");
    }
    if (result.outcome == Outcome::Ran) {
        if (m_suspects.state(session.m_request.fingerprint) == SuspectState::Suspect) {
            m_suspects.onRequestCompleted(session.m_request.fingerprint, ranAlone && session.m_request.suspect);
        }
        if (m_requestRanHandler) {
            m_requestRanHandler(session.m_request, result);
        }
    } else if (result.reason == Reason::DeadlineExceeded) {
        m_backend.cancel(session.m_request.requestId);
    }
}

void AdmissionService::checkForCrash()
{
    if (m_backend.acceptsConnections()) {
        return;
    }
    reportCrash(m_controller.incarnation());
    markTargetDown("crash");
}

void AdmissionService::reportCrash(uint64_t incarnation)
{
    const std::optional<CrashedRequests> report = m_crashDetector.onProcessEnded(incarnation);
    if (!report) {
        return;
    }
    m_suspects.onCrash(m_controller.service(), report->fingerprints);
    m_metrics.add(Counter::Crashes);
    for (const uint64_t fingerprint : report->fingerprints) {
        const bool isCondemned = m_suspects.state(fingerprint) == SuspectState::Condemned;
        EventLog::write(LogLevel::Warning,
                        isCondemned ? Event::SuspectCondemned : Event::SuspectRecorded,
                        { { "fingerprint", std::to_string(fingerprint) },
                          { "inflight", std::to_string(report->fingerprints.size()) },
                          { "incarnation", std::to_string(incarnation) } });
    }
    if (m_suspectsChangedHandler) {
        m_suspectsChangedHandler();
    }
}

bool AdmissionService::announce(const std::string &service, const SocketAddress &address, uint64_t incarnation)
{
    const uint64_t previousIncarnation = m_controller.incarnation();
    if (incarnation > previousIncarnation) {
        m_backend.setAddress(address);
        reportCrash(previousIncarnation);
    }
    const bool wasPresent = m_controller.isPresent();
    const bool isNew = m_controller.announce(service, incarnation);
    if (isNew || (!wasPresent && m_controller.isPresent())) {
        EventLog::write(LogLevel::Info,
                        Event::TargetAnnounced,
                        { { "service", service }, { "address", address.toString() }, { "incarnation", std::to_string(incarnation) } });
    }
    return isNew;
}

void AdmissionService::leave()
{
    const AdmissionChanges changes = m_controller.leave();
    EventLog::write(LogLevel::Info, Event::TargetLeaving, { { "inflight", std::to_string(running()) }, { "queued", std::to_string(changes.refused.size()) } });
    apply(changes);
}

void AdmissionService::markTargetDown(const std::string &cause)
{
    if (!m_controller.isPresent()) {
        return;
    }
    const AdmissionChanges changes = m_controller.markTargetDown();
    EventLog::write(LogLevel::Warning, Event::TargetDown, { { "cause", cause }, { "incarnation", std::to_string(incarnation()) } });
    apply(changes);
}

void AdmissionService::expire()
{
    apply(m_controller.expire());
}

void AdmissionService::apply(const AdmissionChanges &changes)
{
    for (const AdmissionRefusal &refusal : changes.refused) {
        if (const SessionPtr session = removeQueuedSession(refusal.ticket)) {
            refuse(session, refusal.reason, m_controller.load());
        }
    }
    for (const AdmissionTicket ticket : changes.admitted) {
        if (const SessionPtr session = removeQueuedSession(ticket)) {
            run(session);
        }
    }
}

void AdmissionService::refuse(const SessionPtr &session, Reason reason, const LoadReport &load)
{
    logDecision(session->m_request, AdmissionVerdict::Refused, reason, load);
    m_metrics.add(Counter::Refusals);
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    result.load = load;
    session->m_completion(std::move(result));
}

void AdmissionService::cancelSession(const SessionPtr &session)
{
    if (session->m_isFinished) {
        return;
    }
    if (session->m_isRunning) {
        // Only an idempotent request can have competing attempts, of which all but the first to be answered are cancelled. If any other
        // request is cancelled, its entry daemon has failed. The request must then complete, so that a resend by the caller gets its result.
        if (!session->m_request.idempotent) {
            return;
        }
        EventLog::write(LogLevel::Info, Event::CancelSent, { { "request", session->m_request.requestId } });
        m_workers.run([this, session] { m_backend.cancel(session->m_request.requestId); });
        return;
    }
    if (m_controller.cancel(session->m_ticket) && removeQueuedSession(session->m_ticket)) {
        refuse(session, Reason::Cancelled, m_controller.load());
    }
}

AdmissionService::SessionPtr AdmissionService::removeQueuedSession(AdmissionTicket ticket)
{
    const std::scoped_lock lock(m_sessionsMutex);
    const auto found = m_queuedSessions.find(ticket);
    if (found == m_queuedSessions.end()) {
        return nullptr;
    }
    SessionPtr session = std::move(found->second);
    m_queuedSessions.erase(found);
    return session;
}

void AdmissionService::logDecision(const CallRequest &request, AdmissionVerdict verdict, Reason reason, const LoadReport &load)
{
    if (!EventLog::isEnabled(LogLevel::Info)) {
        return;
    }
    EventLog::write(LogLevel::Info,
                    Event::AdmissionDecided,
                    { { "request", request.requestId },
                      { "service", request.service },
                      { "verdict", std::string(nameOf(verdict)) },
                      { "reason", std::string(nameOf(reason)) },
                      { "inflight", std::to_string(load.inFlight) },
                      { "limit", std::to_string(load.limit) },
                      { "queued", std::to_string(load.queued) },
                      { "wait_us", std::to_string(load.predictedWait.count()) },
                      { "caller", request.caller } });
}

LoadReport AdmissionService::load()
{
    return m_controller.load();
}

size_t AdmissionService::running() const
{
    return m_controller.running();
}

bool AdmissionService::isLeaving() const
{
    return m_controller.isLeaving();
}

bool AdmissionService::isPresent() const
{
    return m_controller.isPresent();
}

uint64_t AdmissionService::incarnation() const
{
    return m_controller.incarnation();
}

} // namespace carobjunction
