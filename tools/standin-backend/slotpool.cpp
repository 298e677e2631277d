#include "slotpool.h"

#include <algorithm>

namespace carobjunction::standin
{

namespace
{

// Two samples are recorded per request, so the history covers about 20 s at 400 requests/s, more than any Behaviour::loadLag in the tests.
constexpr std::size_t MaxLoadSamples = 16384;

} // namespace

SlotPool::SlotPool(uint32_t slots) : m_slots(slots)
{
    recordLoadSample();
}

RunOutcome SlotPool::run(const std::string &requestId, TimePoint deadline, Duration serviceTime, const std::function<void()> &onStart)
{
    std::unique_lock lock(m_mutex);
    const auto request = m_waiting.emplace(m_waiting.end());
    request->requestId = requestId;
    grantSlots();
    recordLoadSample();
    const auto isGrantedOrCancelled = [&] {
        return request->hasSlot || request->cancelled;
    };
    if (deadline == TimePoint::max()) {
        request->stateChanged.wait(lock, isGrantedOrCancelled);
    } else {
        request->stateChanged.wait_until(lock, deadline, isGrantedOrCancelled);
    }
    const bool canStart = request->hasSlot && !request->cancelled && std::chrono::steady_clock::now() < deadline;
    RunOutcome outcome = RunOutcome::NotStarted;
    if (canStart) {
        onStart();
        occupySlot(lock, *request, serviceTime);
        outcome = request->cancelled ? RunOutcome::Cancelled : RunOutcome::Finished;
    }
    (request->hasSlot ? m_running : m_waiting).erase(request);
    grantSlots();
    recordLoadSample();
    return outcome;
}

bool SlotPool::cancel(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    bool isFound = false;
    for (std::list<PooledRequest> *list : { &m_waiting, &m_running }) {
        for (PooledRequest &request : *list) {
            if (request.requestId == requestId) {
                request.cancelled = true;
                request.stateChanged.notify_all();
                isFound = true;
            }
        }
    }
    return isFound;
}

LoadSample SlotPool::load(Duration age) const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint requestedTime = std::chrono::steady_clock::now() - age;
    const auto nextSample
        = std::upper_bound(m_history.begin(), m_history.end(), requestedTime, [](TimePoint t, const LoadSample &sample) { return t < sample.time; });
    return nextSample == m_history.begin() ? m_history.front() : *std::prev(nextSample);
}

void SlotPool::updateBehaviour(const std::function<void(Behaviour &)> &update)
{
    const std::lock_guard lock(m_mutex);
    update(m_behaviour);
    for (PooledRequest &request : m_running) {
        request.stateChanged.notify_all();
    }
}

Behaviour SlotPool::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

void SlotPool::grantSlots()
{
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        m_waiting.front().hasSlot = true;
        m_waiting.front().stateChanged.notify_all();
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
    }
}

void SlotPool::recordLoadSample()
{
    m_history.push_back({ std::chrono::steady_clock::now(), static_cast<uint32_t>(m_running.size()), static_cast<uint32_t>(m_waiting.size()) });
    if (m_history.size() > MaxLoadSamples) {
        m_history.pop_front();
    }
}

/**
 * The remaining service time shrinks by the elapsed time divided by the service time factor, so that a fault that starts or ends during
 * the run affects only the part of the run in which it is active.
 */
void SlotPool::occupySlot(std::unique_lock<std::mutex> &lock, PooledRequest &request, Duration serviceTime)
{
    using ServiceTime = std::chrono::duration<double, std::nano>;
    ServiceTime remaining = serviceTime;
    while (!request.cancelled && remaining > ServiceTime::zero()) {
        const TimePoint stepStart = std::chrono::steady_clock::now();
        const double serviceTimeFactor = m_behaviour.serviceTimeFactor(stepStart);
        const TimePoint expectedEnd = stepStart + std::chrono::ceil<Duration>(remaining * serviceTimeFactor);
        request.stateChanged.wait_until(lock, std::min(expectedEnd, m_behaviour.nextFactorChange(stepStart)));
        remaining -= ServiceTime(std::chrono::steady_clock::now() - stepStart) / serviceTimeFactor;
    }
}

} // namespace carobjunction::standin
