#pragma once

#include <carobjunction/process/admission.h>
#include <carobjunction/process/callershares.h>
#include <carobjunction/process/concurrencylimit.h>
#include <carobjunction/process/servicetimeestimate.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace carobjunction
{

namespace detail
{

/** A request waiting for a slot. */
struct QueuedRequest {
    AdmissionTicket ticket = 0;
    AdmissionRequest request;
};

/** A request running on the backend server. */
struct RunningRequest {
    std::string caller;
    TimePoint startedAt;
    bool suspect = false;
};

} // namespace detail

/**
 * Admission control for the backend server on this daemon's VM. All requests to the backend server pass through the controller, so
 * its slot and queue counts are exact and a refusal guarantees that the request did not run.
 *
 * Thread-safe. Performs no I/O: the component that owns the controller dispatches the admitted requests.
 *
 * @tparam Clock  time source
 */
template<MonotonicClock Clock>
class AdmissionController
{
public:
    /**
     * @param clock  time source; must outlive the controller
     * @param limits  limits in effect until configure() is called
     */
    explicit AdmissionController(const Clock &clock, AdmissionLimits limits = {})
        : m_clock(clock), m_limits(limits), m_concurrencyLimit(limits.slots), m_reportSequence(firstReportSequence(clock.now()))
    {
    }

    /** Applies new limits. Running and queued requests are not affected. @return queued requests that are admitted or refused */
    AdmissionChanges configure(const AdmissionLimits &limits)
    {
        const std::scoped_lock lock(m_mutex);
        if (limits.slots != m_limits.slots) {
            m_concurrencyLimit.reset(limits.slots);
        }
        m_limits = limits;
        return admitQueuedRequests();
    }

    /**
     * Registers the backend server and starts to admit requests.
     * @param service  service that the backend server runs
     * @param incarnation  number that increases with each start of the backend server; an announcement with an older incarnation is ignored
     * @return whether the announcement is from a new process of the backend server
     */
    bool announce(const std::string &service, uint64_t incarnation)
    {
        const std::scoped_lock lock(m_mutex);
        if (incarnation < m_incarnation || (incarnation == m_incarnation && m_isLeaving)) {
            return false;
        }
        m_service = service;
        m_isPresent = true;
        if (incarnation == m_incarnation) {
            return false;
        }
        m_incarnation = incarnation;
        m_isLeaving = false;
        m_startedAt = m_clock.now();
        m_serviceTime.reset();
        m_concurrencyLimit.reset(m_limits.slots);
        return true;
    }

    /** Permanently stops admission for the current process of the backend server. @return all queued requests, as refused */
    AdmissionChanges leave()
    {
        const std::scoped_lock lock(m_mutex);
        m_isLeaving = true;
        return refuseAllQueued(Reason::Leaving);
    }

    /** Stops admission until the backend server is announced again. @return all queued requests, as refused */
    AdmissionChanges markTargetDown()
    {
        const std::scoped_lock lock(m_mutex);
        m_isPresent = false;
        return refuseAllQueued(Reason::TargetDown);
    }

    /** Admits, queues or refuses a new request. */
    AdmissionDecision request(const AdmissionRequest &request)
    {
        AdmissionChanges ignored;
        return this->request(request, ignored);
    }

    /**
     * Admits, queues or refuses a new request.
     * @param changes  receives the queued request that was evicted in favour of this one, if any
     */
    AdmissionDecision request(const AdmissionRequest &request, AdmissionChanges &changes)
    {
        const std::scoped_lock lock(m_mutex);
        const Reason refusalReason = immediateRefusalReason(request);
        if (refusalReason != Reason::None) {
            return refused(refusalReason);
        }
        if (canRunNow(request)) {
            return admitted(request);
        }
        return queueOrRefuse(request, changes);
    }

    /**
     * Releases the slot of a request.
     * @param ticket  ticket of an admitted request; an unknown ticket is ignored
     * @param kind  result of the request
     * @return queued requests that are admitted or refused
     */
    AdmissionChanges finished(AdmissionTicket ticket, CompletionKind kind)
    {
        const std::scoped_lock lock(m_mutex);
        const auto running = m_running.find(ticket);
        if (running == m_running.end()) {
            return {};
        }
        recordCompletion(running->second, kind);
        if (m_exclusiveTicket == ticket) {
            m_exclusiveTicket = 0;
        }
        m_callerShares.release(running->second.caller);
        m_running.erase(running);
        return admitQueuedRequests();
    }

    /** Removes a queued request. @return whether the request was still queued */
    bool cancel(AdmissionTicket ticket)
    {
        const std::scoped_lock lock(m_mutex);
        return removeQueued(ticket);
    }

    /** Refuses queued requests that can no longer meet their deadline and admits others to free slots. @return the admitted and refused requests */
    AdmissionChanges expire()
    {
        const std::scoped_lock lock(m_mutex);
        return admitQueuedRequests();
    }

    /** @return current load */
    LoadReport load()
    {
        const std::scoped_lock lock(m_mutex);
        return makeReport();
    }

    /** @return number of requests running on the backend server */
    size_t running() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size();
    }

    /** @return whether the request is the only one running on the backend server */
    bool runsAlone(AdmissionTicket ticket) const
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size() == 1 && m_running.contains(ticket);
    }

    bool isLeaving() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_isLeaving;
    }

    bool isPresent() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_isPresent;
    }

    /** @return service of the backend server; empty until it is announced */
    std::string service() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_service;
    }

    uint64_t incarnation() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_incarnation;
    }

private:
    Reason immediateRefusalReason(const AdmissionRequest &request) const
    {
        if (m_isLeaving) {
            return Reason::Leaving;
        }
        if (!m_isPresent) {
            return Reason::TargetDown;
        }
        if (request.service != m_service) {
            return Reason::WrongService;
        }
        if (request.targetIncarnation != 0 && request.targetIncarnation != m_incarnation) {
            return Reason::StaleIncarnation;
        }
        if (request.suspect && m_exclusiveTicket != 0) {
            return Reason::SuspectBusy;
        }
        return cannotMeetDeadline(request, Duration::zero()) ? Reason::DeadlineTooShort : Reason::None;
    }

    // An idle backend server accepts any request whose deadline has not passed; otherwise an outdated estimate could keep it idle indefinitely.
    bool cannotMeetDeadline(const AdmissionRequest &request, Duration wait) const
    {
        const Duration remaining = request.deadline.remaining(m_clock.now());
        if (remaining == Duration::zero()) {
            return true;
        }
        return !m_running.empty() && remaining < wait + m_serviceTime.smoothed();
    }

    uint32_t limit() const
    {
        return m_concurrencyLimit.current();
    }

    bool canRunNow(const AdmissionRequest &request) const
    {
        if (m_exclusiveTicket != 0) {
            return false;
        }
        if (request.suspect) {
            return m_running.empty();
        }
        return m_running.size() < limit() && m_queue.empty();
    }

    AdmissionDecision admitted(const AdmissionRequest &request)
    {
        const AdmissionTicket ticket = ++m_lastTicket;
        start(ticket, request);
        m_callerShares.acquire(request.caller);
        return { AdmissionVerdict::Admitted, Reason::None, ticket, makeReport() };
    }

    void start(AdmissionTicket ticket, const AdmissionRequest &request)
    {
        m_running.emplace(ticket, detail::RunningRequest { request.caller, m_clock.now(), request.suspect });
        if (request.suspect) {
            m_exclusiveTicket = ticket;
        }
    }

    AdmissionDecision refused(Reason reason)
    {
        return { AdmissionVerdict::Refused, reason, 0, makeReport() };
    }

    AdmissionDecision queueOrRefuse(const AdmissionRequest &request, AdmissionChanges &changes)
    {
        if (!request.mayQueue && !request.suspect) {
            return refused(m_running.size() < m_limits.slots ? Reason::AdaptiveLimit : Reason::Full);
        }
        if (cannotMeetDeadline(request, predictedWait())) {
            return refused(Reason::DeadlineTooShort);
        }
        if (m_callerShares.hasUsedFairShare(request.caller, totalCapacity())) {
            return refused(Reason::CallerShare);
        }
        if (m_queue.size() >= m_limits.queue && !evictQueuedRequestFor(request, changes)) {
            return refused(Reason::Full);
        }
        const AdmissionTicket ticket = ++m_lastTicket;
        m_queue.push_back({ ticket, request });
        m_callerShares.acquire(request.caller);
        if (request.suspect) {
            m_exclusiveTicket = ticket;
        }
        return { AdmissionVerdict::Queued, Reason::None, ticket, makeReport() };
    }

    /** @return number of slots and queue entries */
    uint32_t totalCapacity() const
    {
        return m_limits.slots + m_limits.queue;
    }

    // Evicts, from a full queue, the last request in service order that has a lower priority or whose caller exceeds its fair share.
    bool evictQueuedRequestFor(const AdmissionRequest &request, AdmissionChanges &changes)
    {
        auto entryToRemove = m_queue.end();
        for (auto candidate = m_queue.begin(); candidate != m_queue.end(); ++candidate) {
            const bool hasLowerPriority = candidate->request.priority > request.priority;
            const bool exceedsFairShare = candidate->request.caller != request.caller
                && m_callerShares.heldBy(candidate->request.caller) > m_callerShares.fairShare(request.caller, totalCapacity());
            if ((hasLowerPriority || exceedsFairShare) && !candidate->request.suspect
                && (entryToRemove == m_queue.end() || takesPrecedence(*entryToRemove, *candidate))) {
                entryToRemove = candidate;
            }
        }
        if (entryToRemove == m_queue.end()) {
            return false;
        }
        changes.refused.push_back({ entryToRemove->ticket, Reason::CallerShare });
        m_callerShares.release(entryToRemove->request.caller);
        m_queue.erase(entryToRemove);
        return true;
    }

    bool takesPrecedence(const detail::QueuedRequest &left, const detail::QueuedRequest &right) const
    {
        if (left.request.priority != right.request.priority) {
            return left.request.priority < right.request.priority;
        }
        if (left.request.deadline.timePoint() != right.request.deadline.timePoint()) {
            return left.request.deadline.timePoint() < right.request.deadline.timePoint();
        }
        return left.ticket < right.ticket;
    }

    AdmissionChanges admitQueuedRequests()
    {
        AdmissionChanges changes;
        refuseMissedDeadlines(changes);
        while (!m_queue.empty()) {
            const auto next = nextToAdmit();
            if (next == m_queue.end()) {
                break;
            }
            start(next->ticket, next->request);
            changes.admitted.push_back(next->ticket);
            m_queue.erase(next);
        }
        return changes;
    }

    auto nextToAdmit()
    {
        if (m_exclusiveTicket != 0) {
            return exclusiveIfTargetIdle();
        }
        if (m_running.size() >= limit()) {
            return m_queue.end();
        }
        return std::min_element(m_queue.begin(), m_queue.end(), [this](const auto &left, const auto &right) { return takesPrecedence(left, right); });
    }

    // No other request starts while a suspected request is waiting, so that the running requests drain.
    auto exclusiveIfTargetIdle()
    {
        const auto found = std::find_if(m_queue.begin(), m_queue.end(), [this](const auto &queued) { return queued.ticket == m_exclusiveTicket; });
        return m_running.empty() ? found : m_queue.end();
    }

    void refuseMissedDeadlines(AdmissionChanges &changes)
    {
        for (auto queued = m_queue.begin(); queued != m_queue.end();) {
            if (!cannotMeetDeadline(queued->request, Duration::zero())) {
                ++queued;
                continue;
            }
            changes.refused.push_back({ queued->ticket, Reason::DeadlineTooShort });
            queued = eraseQueued(queued);
        }
    }

    AdmissionChanges refuseAllQueued(Reason reason)
    {
        AdmissionChanges changes;
        for (auto queued = m_queue.begin(); queued != m_queue.end();) {
            changes.refused.push_back({ queued->ticket, reason });
            queued = eraseQueued(queued);
        }
        return changes;
    }

    bool removeQueued(AdmissionTicket ticket)
    {
        const auto found = std::find_if(m_queue.begin(), m_queue.end(), [ticket](const auto &queued) { return queued.ticket == ticket; });
        if (found == m_queue.end()) {
            return false;
        }
        eraseQueued(found);
        return true;
    }

    auto eraseQueued(std::vector<detail::QueuedRequest>::iterator queued)
    {
        m_callerShares.release(queued->request.caller);
        if (m_exclusiveTicket == queued->ticket) {
            m_exclusiveTicket = 0;
        }
        return m_queue.erase(queued);
    }

    void recordCompletion(const detail::RunningRequest &running, CompletionKind kind)
    {
        switch (kind) {
        case CompletionKind::Answered:
            m_serviceTime.onCompletion(m_clock.now() - running.startedAt, m_clock.now());
            m_concurrencyLimit.onAnswer(m_serviceTime);
            return;
        case CompletionKind::Overloaded:
            m_concurrencyLimit.onOverload();
            return;
        case CompletionKind::Failed:
            return;
        }
    }

    Duration medianRunningAge() const
    {
        if (m_running.empty()) {
            return Duration::zero();
        }
        std::vector<Duration> ages;
        ages.reserve(m_running.size());
        const TimePoint now = m_clock.now();
        for (const auto &[ticket, running] : m_running) {
            ages.push_back(now - running.startedAt);
        }
        const auto middle = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
        std::nth_element(ages.begin(), middle, ages.end());
        return *middle;
    }

    // Slots become free at a rate of limit / service time.
    Duration predictedWait() const
    {
        const size_t busy = m_running.size() + m_queue.size();
        if (busy < limit() && m_exclusiveTicket == 0) {
            return Duration::zero();
        }
        const auto ahead = static_cast<int64_t>(busy + 1 - std::min<size_t>(busy, limit()));
        return m_serviceTime.expected(medianRunningAge()) * ahead / static_cast<int64_t>(limit());
    }

    static uint64_t firstReportSequence(TimePoint now)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
    }

    LoadReport makeReport()
    {
        const TimePoint now = m_clock.now();
        LoadReport report;
        report.incarnation = m_incarnation;
        report.sequence = ++m_reportSequence;
        report.limit = limit();
        report.inFlight = static_cast<uint32_t>(m_running.size());
        report.queued = static_cast<uint32_t>(m_queue.size());
        if (!m_running.empty() || !m_serviceTime.isStale(now)) {
            report.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(m_serviceTime.expected(medianRunningAge()));
        }
        report.predictedWait = std::chrono::duration_cast<std::chrono::microseconds>(predictedWait());
        report.leaving = m_isLeaving || !m_isPresent;
        report.cold = now - m_startedAt < m_limits.coldRamp;
        return report;
    }

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    AdmissionLimits m_limits;
    ConcurrencyLimit m_concurrencyLimit;
    ServiceTimeEstimate m_serviceTime;
    std::string m_service;
    uint64_t m_incarnation = 0;
    bool m_isPresent = false;
    bool m_isLeaving = false;
    TimePoint m_startedAt {};
    AdmissionTicket m_lastTicket = 0;
    AdmissionTicket m_exclusiveTicket = 0; /**< Suspected request that is running alone or waiting to run alone; 0 if there is none. */
    /**
     * Sequence number of the last load report. It starts at the clock's time in microseconds, because the numbers of a restarted daemon must
     * follow those of its previous run: the backend server may have kept its incarnation.
     */
    uint64_t m_reportSequence;
    std::unordered_map<AdmissionTicket, detail::RunningRequest> m_running;
    std::vector<detail::QueuedRequest> m_queue;
    CallerShares m_callerShares; /**< Slots and queue entries held by each caller. */
};

} // namespace carobjunction
