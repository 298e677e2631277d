#include <carobjunction/process/slotqueue.h>

#include <carobjunction/process/durations.h>

#include <algorithm>

namespace carobjunction
{

namespace
{

constexpr double ServiceTimeSmoothing = 0.1; // weight of a new sample in the moving average

} // namespace

bool SlotQueue::isShort(const SlotRequest &request) const
{
    return request.serviceTime * ShortRequestRatio <= m_meanServiceTime;
}

bool SlotQueue::isLate(const SlotRequest &request, TimePoint now) const
{
    return now + request.serviceTime > request.softDeadlineAt && !isShort(request);
}

SlotQueue::SchedulingKey SlotQueue::schedulingKey(const SlotRequest &request, TimePoint now) const
{
    return { isLate(request, now), request.priority, request.softDeadlineAt };
}

bool SlotQueue::hasSlotFor(const SlotRequest &request) const
{
    return m_running < (isShort(request) ? m_slots : m_limit);
}

/** @return expected service time of the request, assuming that it waits for the end of a slowdown */
Duration SlotQueue::expectedServiceTime(const SlotRequest &request) const
{
    return scaled(request.serviceTime, m_hostSlowdown.isSlow ? m_hostSlowdown.baselineFactor : m_hostSlowdown.slowdownFactor);
}

/** @return whether a request that runs slowly from now on is answered no later than one that waits for the end of the slowdown */
bool SlotQueue::isSlowRunSooner(const SlotRequest &request) const
{
    return scaled(request.serviceTime, m_hostSlowdown.slowdownFactor) <= ExpectedSlowdownRemaining + expectedServiceTime(request);
}

bool SlotQueue::shouldStartNow(const SlotRequest &request, TimePoint now) const
{
    if (!m_hostSlowdown.isSlow) {
        return true;
    }
    if (!request.mayQueue) {
        return false;
    }
    return isSlowRunSooner(request) || now + scaled(request.serviceTime, m_hostSlowdown.slowdownFactor) <= request.softDeadlineAt;
}

Duration SlotQueue::predictedWait(size_t ahead) const
{
    const Duration slowdownWait = m_hostSlowdown.isSlow ? ExpectedSlowdownRemaining : Duration::zero();
    const uint32_t freeSlots = m_limit - std::min(m_running, m_limit);
    if (ahead < freeSlots) {
        return slowdownWait;
    }
    // During a slowdown, requests also wait while slots are free, so those ahead use the free slots first.
    return slowdownWait + scaled(m_meanServiceTime, (static_cast<double>(ahead - freeSlots) + 0.5) / static_cast<double>(m_limit));
}

size_t SlotQueue::countAhead(const SlotRequest &request, TimePoint now) const
{
    return static_cast<size_t>(std::count_if(
        m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest &other) { return schedulingKey(other.request, now) <= schedulingKey(request, now); }));
}

SlotQueue::Decision SlotQueue::requestSlot(const SlotRequest &request, TimePoint now, WaitCallback callback)
{
    Decision decision;
    const bool hasSlot = hasSlotFor(request);
    const bool isFree = hasSlot && shouldStartNow(request, now);
    const Duration queueWait = isFree ? Duration::zero() : predictedWait(countAhead(request, now));
    const Duration wait = m_waitCorrection.corrected(request.priority, queueWait);
    decision.retryAfter = std::max<Duration>(m_waitCorrection.corrected(request.priority, predictedWait(m_waiting.size())), std::chrono::milliseconds(50));
    if (now + wait + scaled(expectedServiceTime(request), MinServiceTimeShare) >= request.deadlineAt) {
        decision.reason = Reason::DeadlineTooShort;
        return decision;
    }
    if (isFree) {
        ++m_running;
        m_waitCorrection.onGranted(request.priority, queueWait, Duration::zero());
        decision.isGranted = true;
        return decision;
    }
    if (!request.mayQueue) {
        decision.reason = hasSlot ? Reason::HostSlow : Reason::Full;
        return decision;
    }
    const bool isExpectedLate = now + wait + request.serviceTime > request.softDeadlineAt && !isShort(request);
    if (isExpectedLate && !isWithinLateShare(countLate(now) + 1)) {
        decision.reason = Reason::Full;
        return decision;
    }
    decision.ticket = ++m_lastTicket;
    m_waiting.push_back({ m_lastTicket, request, std::move(callback), isExpectedLate, now, queueWait });
    return decision;
}

void SlotQueue::release(TimePoint now)
{
    --m_running;
    grantWaiting(now);
}

void SlotQueue::grantWaiting(TimePoint now)
{
    expire(now);
    while (!m_waiting.empty()) {
        const Iterator next = nextToGrant(now);
        if (!hasSlotFor(next->request) || !shouldStartNow(next->request, now)) {
            return;
        }
        m_waitCorrection.onGranted(next->request.priority, next->predictedWait, now - next->queuedAt);
        const WaitCallback callback = std::move(next->callback);
        m_waiting.erase(next);
        ++m_running;
        callback(SlotWaitResult::Granted);
    }
}

SlotQueue::Iterator SlotQueue::nextToGrant(TimePoint now)
{
    return std::min_element(m_waiting.begin(), m_waiting.end(), [this, now](const WaitingRequest &a, const WaitingRequest &b) {
        return schedulingKey(a.request, now) < schedulingKey(b.request, now);
    });
}

void SlotQueue::cancelWait(Ticket ticket)
{
    m_waiting.remove_if([ticket](const WaitingRequest &waiting) { return waiting.ticket == ticket; });
}

size_t SlotQueue::countLate(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(
        m_waiting.begin(), m_waiting.end(), [this, now](const WaitingRequest &waiting) { return waiting.isExpectedLate || isLate(waiting.request, now); }));
}

bool SlotQueue::isWithinLateShare(size_t lateCount) const
{
    return static_cast<double>(lateCount) <= std::max(1.0, MaxLateShare * m_limit);
}

void SlotQueue::expire(TimePoint now)
{
    std::list<WaitingRequest> expired;
    size_t lateCount = countLate(now);
    for (Iterator it = m_waiting.begin(); it != m_waiting.end();) {
        const Iterator current = it++;
        const bool cannotMeetDeadline = now + scaled(expectedServiceTime(current->request), MinServiceTimeShare) >= current->request.deadlineAt;
        const bool isLateRequest = isLate(current->request, now);
        if (cannotMeetDeadline || (isLateRequest && !isWithinLateShare(lateCount))) {
            lateCount -= isLateRequest ? 1 : 0;
            expired.splice(expired.end(), m_waiting, current);
        }
    }
    for (const WaitingRequest &waiting : expired) {
        m_waitCorrection.onExpired(waiting.request.priority, waiting.predictedWait, now - waiting.queuedAt);
        waiting.callback(SlotWaitResult::Expired);
    }
}

void SlotQueue::closeAll()
{
    std::list<WaitingRequest> closed;
    closed.swap(m_waiting);
    for (const WaitingRequest &waiting : closed) {
        waiting.callback(SlotWaitResult::Closed);
    }
}

SlotUsage SlotQueue::usage() const
{
    return { m_running, static_cast<uint32_t>(m_waiting.size()), m_limit, predictedWait(m_waiting.size()) };
}

void SlotQueue::recordServiceTime(Duration serviceTime)
{
    m_meanServiceTime += scaled(serviceTime - m_meanServiceTime, ServiceTimeSmoothing);
}

} // namespace carobjunction
