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

/** A request that waits for a slot. */
struct QueuedRequest {
    AdmissionTicket ticket = 0;
    AdmissionRequest request;
};

/** A request that runs on the backend server. */
struct RunningRequest {
    std::string caller;
    TimePoint startedAt;
    bool suspect = false;
};

} // namespace detail

/**
 * Decides which requests the backend server beside this daemon runs. Its knowledge of slots and queue is exact, because every
 * request to the backend server passes through it; so a refusal proves that the request did not run.
 *
 * Thread-safe. Does no I/O: the owner of the controller dispatches the tickets that it admits.
 *
 * @tparam Clock  source of time
 */
template<MonotonicClock Clock>
class AdmissionController
{
public:
    /**
     * @param clock  must outlive the controller
     * @param limits  limits used until configure() is called
     */
    explicit AdmissionController(const Clock &clock, AdmissionLimits limits = {}) : m_clock(clock), m_limits(limits), m_concurrency(limits.slots)
    {
    }

    /** Applies new limits. Requests in progress and in the queue keep their places. */
    AdmissionChanges configure(const AdmissionLimits &limits)
    {
        const std::scoped_lock lock(m_mutex);
        if (limits.slots != m_limits.slots) {
            m_concurrency.reset(limits.slots);
        }
        m_limits = limits;
        return grant();
    }

    /**
     * Notes that the backend server is present.
     * @param service  service that it runs
     * @param incarnation  grows with each start of the backend server; a lower one than known is ignored
     * @return whether this is a new process of the backend server
     */
    bool announce(const std::string &service, uint64_t incarnation)
    {
        const std::scoped_lock lock(m_mutex);
        if (incarnation < m_incarnation || (incarnation == m_incarnation && m_leaving)) {
            return false;
        }
        m_service = service;
        m_present = true;
        if (incarnation == m_incarnation) {
            return false;
        }
        m_incarnation = incarnation;
        m_leaving = false;
        m_startedAt = m_clock.now();
        m_times.reset();
        m_concurrency.reset(m_limits.slots);
        return true;
    }

    /** Stops admission for good for this process of the backend server. @return the queued requests, all refused */
    AdmissionChanges leave()
    {
        const std::scoped_lock lock(m_mutex);
        m_leaving = true;
        return refuseQueue(Reason::Leaving);
    }

    /** Stops admission until the next announcement. @return the queued requests, all refused */
    AdmissionChanges targetDown()
    {
        const std::scoped_lock lock(m_mutex);
        m_present = false;
        return refuseQueue(Reason::TargetDown);
    }

    /** Decides on a new request. */
    AdmissionDecision request(const AdmissionRequest &request)
    {
        AdmissionChanges ignored;
        return this->request(request, ignored);
    }

    /**
     * Decides on a new request.
     * @param changes  receives a queued request that had to give way to this one
     */
    AdmissionDecision request(const AdmissionRequest &request, AdmissionChanges &changes)
    {
        const std::scoped_lock lock(m_mutex);
        const Reason hardReason = hardRefusal(request);
        if (hardReason != Reason::None) {
            return refused(hardReason);
        }
        if (canRunNow(request)) {
            return admitted(request);
        }
        return queueOrRefuse(request, changes);
    }

    /**
     * Frees the slot of a request.
     * @param ticket  ticket of an admitted request
     * @param kind  how it ended
     * @return queued requests that are admitted or refused now
     */
    AdmissionChanges finished(AdmissionTicket ticket, CompletionKind kind)
    {
        const std::scoped_lock lock(m_mutex);
        const auto running = m_running.find(ticket);
        if (running == m_running.end()) {
            return {};
        }
        learn(running->second, kind);
        if (m_exclusive == ticket) {
            m_exclusive = 0;
        }
        m_callers.release(running->second.caller);
        m_running.erase(running);
        return grant();
    }

    /** Removes a queued request. @return false if it is not queued any more */
    bool cancel(AdmissionTicket ticket)
    {
        const std::scoped_lock lock(m_mutex);
        return removeQueued(ticket);
    }

    /** Refuses queued requests whose deadline has come too near, and grants free slots. */
    AdmissionChanges expire()
    {
        const std::scoped_lock lock(m_mutex);
        return grant();
    }

    /** @return the load at this instant */
    LoadReport load()
    {
        const std::scoped_lock lock(m_mutex);
        return makeReport();
    }

    /** @return requests running on the backend server */
    size_t running() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size();
    }

    /** @return whether the request runs with no other beside it */
    bool runsAlone(AdmissionTicket ticket) const
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size() == 1 && m_running.contains(ticket);
    }

    bool isLeaving() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_leaving;
    }

    bool isPresent() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_present;
    }

    /** @return service of the backend server, empty before the first announcement */
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
    Reason hardRefusal(const AdmissionRequest &request) const
    {
        if (m_leaving) {
            return Reason::Leaving;
        }
        if (!m_present) {
            return Reason::TargetDown;
        }
        if (request.service != m_service) {
            return Reason::WrongService;
        }
        if (request.targetIncarnation != 0 && request.targetIncarnation != m_incarnation) {
            return Reason::StaleIncarnation;
        }
        if (request.suspect && m_exclusive != 0) {
            return Reason::SuspectBusy;
        }
        return cannotFinish(request, Duration::zero()) ? Reason::DeadlineTooShort : Reason::None;
    }

    // An idle backend server always gets a request whose time is not up, so that an outdated estimate cannot keep it idle for good.
    bool cannotFinish(const AdmissionRequest &request, Duration wait) const
    {
        const Duration remaining = request.deadline.remaining(m_clock.now());
        if (remaining == Duration::zero()) {
            return true;
        }
        return !m_running.empty() && remaining < wait + m_times.smoothed();
    }

    uint32_t limit() const
    {
        return m_concurrency.current();
    }

    bool canRunNow(const AdmissionRequest &request) const
    {
        if (m_exclusive != 0) {
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
        m_callers.take(request.caller);
        return { AdmissionVerdict::Admitted, Reason::None, ticket, makeReport() };
    }

    void start(AdmissionTicket ticket, const AdmissionRequest &request)
    {
        m_running.emplace(ticket, detail::RunningRequest { request.caller, m_clock.now(), request.suspect });
        if (request.suspect) {
            m_exclusive = ticket;
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
        if (cannotFinish(request, predictedWait())) {
            return refused(Reason::DeadlineTooShort);
        }
        if (m_callers.isExhausted(request.caller, places())) {
            return refused(Reason::CallerShare);
        }
        if (m_queue.size() >= m_limits.queue && !evictFor(request, changes)) {
            return refused(Reason::Full);
        }
        const AdmissionTicket ticket = ++m_lastTicket;
        m_queue.push_back({ ticket, request });
        m_callers.take(request.caller);
        if (request.suspect) {
            m_exclusive = ticket;
        }
        return { AdmissionVerdict::Queued, Reason::None, ticket, makeReport() };
    }

    /** @return slots and queue places */
    uint32_t places() const
    {
        return m_limits.slots + m_limits.queue;
    }

    // A full queue gives the last place of the caller that holds most above its share, or the last place of a lower priority.
    bool evictFor(const AdmissionRequest &request, AdmissionChanges &changes)
    {
        auto victim = m_queue.end();
        for (auto candidate = m_queue.begin(); candidate != m_queue.end(); ++candidate) {
            const bool lowerPriority = candidate->request.priority > request.priority;
            const bool overShare
                = candidate->request.caller != request.caller && m_callers.held(candidate->request.caller) > m_callers.fairShare(request.caller, places());
            if ((lowerPriority || overShare) && !candidate->request.suspect && (victim == m_queue.end() || isBefore(*victim, *candidate))) {
                victim = candidate;
            }
        }
        if (victim == m_queue.end()) {
            return false;
        }
        changes.refused.push_back({ victim->ticket, Reason::CallerShare });
        m_callers.release(victim->request.caller);
        m_queue.erase(victim);
        return true;
    }

    bool isBefore(const detail::QueuedRequest &left, const detail::QueuedRequest &right) const
    {
        if (left.request.priority != right.request.priority) {
            return left.request.priority < right.request.priority;
        }
        if (left.request.deadline.at() != right.request.deadline.at()) {
            return left.request.deadline.at() < right.request.deadline.at();
        }
        return left.ticket < right.ticket;
    }

    AdmissionChanges grant()
    {
        AdmissionChanges changes;
        refuseHopeless(changes);
        while (!m_queue.empty()) {
            const auto next = nextToRun();
            if (next == m_queue.end()) {
                break;
            }
            start(next->ticket, next->request);
            changes.admitted.push_back(next->ticket);
            m_queue.erase(next);
        }
        return changes;
    }

    auto nextToRun()
    {
        if (m_exclusive != 0) {
            return waitingSuspect();
        }
        if (m_running.size() >= limit()) {
            return m_queue.end();
        }
        return std::min_element(m_queue.begin(), m_queue.end(), [this](const auto &left, const auto &right) { return isBefore(left, right); });
    }

    // While a suspected request waits, nothing else starts, so that the target empties.
    auto waitingSuspect()
    {
        const auto found = std::find_if(m_queue.begin(), m_queue.end(), [this](const auto &queued) { return queued.ticket == m_exclusive; });
        return m_running.empty() ? found : m_queue.end();
    }

    void refuseHopeless(AdmissionChanges &changes)
    {
        for (auto queued = m_queue.begin(); queued != m_queue.end();) {
            if (!cannotFinish(queued->request, Duration::zero())) {
                ++queued;
                continue;
            }
            changes.refused.push_back({ queued->ticket, Reason::DeadlineTooShort });
            queued = eraseQueued(queued);
        }
    }

    AdmissionChanges refuseQueue(Reason reason)
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
        m_callers.release(queued->request.caller);
        if (m_exclusive == queued->ticket) {
            m_exclusive = 0;
        }
        return m_queue.erase(queued);
    }

    void learn(const detail::RunningRequest &running, CompletionKind kind)
    {
        switch (kind) {
        case CompletionKind::Answered:
            m_times.onCompletion(m_clock.now() - running.startedAt, m_clock.now());
            m_concurrency.onAnswer(m_times);
            return;
        case CompletionKind::Overloaded:
            m_concurrency.onOverload();
            return;
        case CompletionKind::Failed:
            return;
        }
    }

    Duration middleAge() const
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

    // Slots become free at the rate of limit / service time.
    Duration predictedWait() const
    {
        const size_t busy = m_running.size() + m_queue.size();
        if (busy < limit() && m_exclusive == 0) {
            return Duration::zero();
        }
        const auto ahead = static_cast<int64_t>(busy + 1 - std::min<size_t>(busy, limit()));
        return m_times.expected(middleAge()) * ahead / static_cast<int64_t>(limit());
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
        if (!m_running.empty() || !m_times.isOutdated(now)) {
            report.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(m_times.expected(middleAge()));
        }
        report.predictedWait = std::chrono::duration_cast<std::chrono::microseconds>(predictedWait());
        report.leaving = m_leaving || !m_present;
        report.cold = now - m_startedAt < m_limits.coldRamp;
        return report;
    }

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    AdmissionLimits m_limits;
    ConcurrencyLimit m_concurrency;
    ServiceTimeEstimate m_times;
    std::string m_service;
    uint64_t m_incarnation = 0;
    bool m_present = false;
    bool m_leaving = false;
    TimePoint m_startedAt {};
    AdmissionTicket m_lastTicket = 0;
    AdmissionTicket m_exclusive = 0; /**< Suspected request that runs alone or waits to; 0 if there is none. */
    uint64_t m_reportSequence;
    std::unordered_map<AdmissionTicket, detail::RunningRequest> m_running;
    std::vector<detail::QueuedRequest> m_queue;
    CallerShares m_callers; /**< Slots and queue places held. */
};

} // namespace carobjunction
