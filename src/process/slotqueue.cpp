#include <carobjunction/process/slotqueue.h>

#include <carobjunction/process/durations.h>

#include <algorithm>

namespace carobjunction
{

namespace
{

constexpr double MeanWeight = 0.1; // weight of a new observation in the mean

} // namespace

bool SlotQueue::isShort(const SlotRequest &request) const
{
    return request.work * ShortWorkRatio <= m_meanWork;
}

bool SlotQueue::isLate(const SlotRequest &request, TimePoint now) const
{
    return now + request.work > request.aimAt && !isShort(request);
}

SlotQueue::Rank SlotQueue::rank(const SlotRequest &request, TimePoint now) const
{
    return { isLate(request, now), request.priority, request.aimAt };
}

bool SlotQueue::hasSlotFor(const SlotRequest &request) const
{
    return m_running < (isShort(request) ? m_slots : m_limit);
}

/** @return time that the backend server takes for the request; a slow spell is waited out */
Duration SlotQueue::expectedWork(const SlotRequest &request) const
{
    return scaled(request.work, m_host.isSlow ? m_host.usualFactor : m_host.factor);
}

bool SlotQueue::isWorthStarting(const SlotRequest &request, TimePoint now) const
{
    if (!m_host.isSlow) {
        return true;
    }
    return request.mayQueue && now + scaled(request.work, m_host.factor) <= request.aimAt;
}

Duration SlotQueue::predictedWait(size_t ahead) const
{
    const Duration spell = m_host.isSlow ? SpellRest : Duration::zero();
    if (m_running < m_limit) {
        return spell;
    }
    return spell + scaled(m_meanWork, (static_cast<double>(ahead) + 0.5) / static_cast<double>(m_limit));
}

size_t SlotQueue::countAhead(const SlotRequest &request, TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &other) { return rank(other.request, now) <= rank(request, now); }));
}

SlotQueue::Decision SlotQueue::offer(const SlotRequest &request, TimePoint now, Waiter waiter)
{
    Decision decision;
    const bool hasSlot = hasSlotFor(request);
    const bool isFree = hasSlot && isWorthStarting(request, now);
    const Duration wait = isFree ? Duration::zero() : predictedWait(countAhead(request, now));
    decision.retryAfter = std::max<Duration>(predictedWait(m_waiting.size()), std::chrono::milliseconds(50));
    if (now + wait + scaled(expectedWork(request), LeastWorkShare) >= request.deadlineAt) {
        decision.reason = Reason::DeadlineTooShort;
        return decision;
    }
    if (isFree) {
        ++m_running;
        decision.isGranted = true;
        return decision;
    }
    if (!request.mayQueue) {
        decision.reason = hasSlot ? Reason::HostSlow : Reason::Full;
        return decision;
    }
    if (now + wait + request.work > request.aimAt && !isShort(request) && !hasRoomForLate(countLate(now) + 1)) {
        decision.reason = Reason::Full;
        return decision;
    }
    decision.ticket = ++m_lastTicket;
    m_waiting.push_back({ m_lastTicket, request, std::move(waiter) });
    return decision;
}

void SlotQueue::release(TimePoint now)
{
    --m_running;
    grantNext(now);
}

void SlotQueue::grantNext(TimePoint now)
{
    expire(now);
    while (!m_waiting.empty()) {
        const Iterator next = best(now);
        if (!hasSlotFor(next->request) || !isWorthStarting(next->request, now)) {
            return;
        }
        const Waiter waiter = std::move(next->waiter);
        m_waiting.erase(next);
        ++m_running;
        waiter(SlotEnd::Granted);
    }
}

SlotQueue::Iterator SlotQueue::best(TimePoint now)
{
    return std::min_element(
        m_waiting.begin(), m_waiting.end(), [this, now](const Waiting &a, const Waiting &b) { return rank(a.request, now) < rank(b.request, now); });
}

void SlotQueue::withdraw(Ticket ticket)
{
    m_waiting.remove_if([ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
}

size_t SlotQueue::countLate(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [this, now](const Waiting &waiting) { return isLate(waiting.request, now); }));
}

bool SlotQueue::hasRoomForLate(size_t late) const
{
    return static_cast<double>(late) <= std::max(1.0, LateShare * m_limit);
}

void SlotQueue::expire(TimePoint now)
{
    std::list<Waiting> expired;
    size_t late = countLate(now);
    for (Iterator it = m_waiting.begin(); it != m_waiting.end();) {
        const Iterator current = it++;
        const bool isHopeless = now + scaled(expectedWork(current->request), LeastWorkShare) >= current->request.deadlineAt;
        const bool isLateOne = isLate(current->request, now);
        if (isHopeless || (isLateOne && !hasRoomForLate(late))) {
            late -= isLateOne ? 1 : 0;
            expired.splice(expired.end(), m_waiting, current);
        }
    }
    for (const Waiting &waiting : expired) {
        waiting.waiter(SlotEnd::Expired);
    }
}

void SlotQueue::closeAll()
{
    std::list<Waiting> closed;
    closed.swap(m_waiting);
    for (const Waiting &waiting : closed) {
        waiting.waiter(SlotEnd::Closed);
    }
}

SlotUse SlotQueue::use() const
{
    return { m_running, static_cast<uint32_t>(m_waiting.size()), m_limit, predictedWait(m_waiting.size()) };
}

void SlotQueue::observeWork(Duration work)
{
    m_meanWork += scaled(work - m_meanWork, MeanWeight);
}

} // namespace carobjunction
