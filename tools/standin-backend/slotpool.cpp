#include "slotpool.h"

#include <algorithm>

namespace carobjunction::standin
{

namespace
{

// About ten seconds of changes at 400 calls/s; more than any lag that the tests use.
constexpr std::size_t HistoryLimit = 16384;

} // namespace

SlotPool::SlotPool(uint32_t slots) : m_slots(slots)
{
    recordLoad();
}

RunEnd SlotPool::run(const std::string &requestId, TimePoint deadline, Duration work, const std::function<void()> &onStart)
{
    std::unique_lock lock(m_mutex);
    const auto entry = m_waiting.emplace(m_waiting.end());
    entry->requestId = requestId;
    grantSlots();
    recordLoad();
    const auto isSettled = [&] {
        return entry->hasSlot || entry->cancelled;
    };
    if (deadline == TimePoint::max()) {
        entry->wake.wait(lock, isSettled);
    } else {
        entry->wake.wait_until(lock, deadline, isSettled);
    }
    const bool starts = entry->hasSlot && !entry->cancelled && std::chrono::steady_clock::now() < deadline;
    RunEnd end = RunEnd::NotStarted;
    if (starts) {
        onStart();
        workUntilDone(lock, *entry, work);
        end = entry->cancelled ? RunEnd::Cancelled : RunEnd::Finished;
    }
    (entry->hasSlot ? m_running : m_waiting).erase(entry);
    grantSlots();
    recordLoad();
    return end;
}

bool SlotPool::cancel(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    bool found = false;
    for (std::list<Entry> *list : { &m_waiting, &m_running }) {
        for (Entry &entry : *list) {
            if (entry.requestId == requestId) {
                entry.cancelled = true;
                entry.wake.notify_all();
                found = true;
            }
        }
    }
    return found;
}

LoadSample SlotPool::load(Duration age) const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = std::chrono::steady_clock::now() - age;
    const auto after = std::upper_bound(m_history.begin(), m_history.end(), at, [](TimePoint t, const LoadSample &sample) { return t < sample.at; });
    return after == m_history.begin() ? m_history.front() : *std::prev(after);
}

void SlotPool::change(const std::function<void(Behaviour &)> &edit)
{
    const std::lock_guard lock(m_mutex);
    edit(m_behaviour);
    for (Entry &entry : m_running) {
        entry.wake.notify_all();
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
        m_waiting.front().wake.notify_all();
        m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
    }
}

void SlotPool::recordLoad()
{
    m_history.push_back({ std::chrono::steady_clock::now(), static_cast<uint32_t>(m_running.size()), static_cast<uint32_t>(m_waiting.size()) });
    if (m_history.size() > HistoryLimit) {
        m_history.pop_front();
    }
}

/** Work proceeds at the inverse of the speed factor, so a request that is running when a disturbance starts or ends is affected for just that time. */
void SlotPool::workUntilDone(std::unique_lock<std::mutex> &lock, Entry &entry, Duration work)
{
    using Work = std::chrono::duration<double, std::nano>;
    Work left = work;
    while (!entry.cancelled && left > Work::zero()) {
        const TimePoint from = std::chrono::steady_clock::now();
        const double factor = m_behaviour.factor(from);
        const TimePoint done = from + std::chrono::ceil<Duration>(left * factor);
        entry.wake.wait_until(lock, std::min(done, m_behaviour.nextChange(from)));
        left -= Work(std::chrono::steady_clock::now() - from) / factor;
    }
}

} // namespace carobjunction::standin
