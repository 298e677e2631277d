#pragma once

#include "behaviour.h"

#include <carobjunction/process/clock.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <utility>

namespace carobjunction::standin
{

/** How a request ended inside the backend server. */
enum class RunEnd {
    Finished,
    Cancelled, /**< Cancelled after it had started. */
    NotStarted, /**< Past its deadline, or cancelled, before it started. */
};

/** Load at one point in time. */
struct LoadSample {
    TimePoint at;
    uint32_t inFlight = 0;
    uint32_t queued = 0;
};

/** Slots of the backend server and the first-come, first-served queue in front of them. Thread-safe. */
class SlotPool
{
public:
    explicit SlotPool(uint32_t slots);

    /**
     * Waits for a slot and holds it for the service time. Blocks the calling thread.
     * @param requestId  for cancel()
     * @param deadline  the request isn't started past it
     * @param work  service time at speed factor 1
     * @param onStart  called once when the request has its slot
     */
    RunEnd run(const std::string &requestId, TimePoint deadline, Duration work, const std::function<void()> &onStart);

    /** @return whether a request of this id was waiting or running */
    bool cancel(const std::string &requestId);

    /**
     * @param age  how long ago
     * @return the load that applied @p age ago, as far back as the history reaches
     */
    LoadSample load(Duration age) const;

    /** Changes the behaviour under the pool's lock, and lets running requests go on at the new speed. */
    void change(const std::function<void(Behaviour &)> &edit);

    /** @return a copy of the behaviour in force */
    Behaviour behaviour() const;

    uint32_t slots() const
    {
        return m_slots;
    }

private:
    struct Entry {
        std::string requestId;
        std::condition_variable wake;
        bool hasSlot = false;
        bool cancelled = false;
    };

    void grantSlots();
    void recordLoad();
    void workUntilDone(std::unique_lock<std::mutex> &lock, Entry &entry, Duration work);

    const uint32_t m_slots;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::list<Entry> m_waiting;
    std::list<Entry> m_running;
    std::deque<LoadSample> m_history;
};

} // namespace carobjunction::standin
