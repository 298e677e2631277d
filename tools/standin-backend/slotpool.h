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

/** How the run of a request in the backend server ended. */
enum class RunOutcome {
    Finished,
    Cancelled, /**< Cancelled after the start. */
    NotStarted, /**< The deadline passed or the request was cancelled before the start. */
};

/** Load of the backend server at one point in time. */
struct LoadSample {
    TimePoint time;
    uint32_t inFlight = 0;
    uint32_t queued = 0;
};

/** Slots of the backend server, with a FIFO queue of waiting requests. Thread-safe. */
class SlotPool
{
public:
    explicit SlotPool(uint32_t slots);

    /**
     * Waits for a slot and occupies it for the service time. Blocks the calling thread.
     * @param requestId  ID by which cancel() finds the request
     * @param deadline  latest time for the start of the request
     * @param serviceTime  service time without active faults
     * @param onStart  called under the pool's lock when the request starts
     * @return how the run ended
     */
    RunOutcome run(const std::string &requestId, TimePoint deadline, Duration serviceTime, const std::function<void()> &onStart);

    /** Cancels all requests with this ID. @return whether any such request was waiting or running */
    bool cancel(const std::string &requestId);

    /**
     * Returns the load at a past point in time, or the oldest known load if the history is shorter.
     * @param age  time between that point and now
     */
    LoadSample load(Duration age) const;

    /** Changes the behaviour under the pool's lock. Running requests continue with the new service time factor. */
    void updateBehaviour(const std::function<void(Behaviour &)> &update);

    /** Returns a copy of the current behaviour. */
    Behaviour behaviour() const;

    uint32_t slots() const
    {
        return m_slots;
    }

private:
    /** Request that is waiting for a slot or running. */
    struct PooledRequest {
        std::string requestId;
        std::condition_variable stateChanged;
        bool hasSlot = false;
        bool cancelled = false;
    };

    /** Moves waiting requests to free slots. */
    void grantSlots();
    /** Adds the current load to the history. */
    void recordLoadSample();
    /** Occupies the slot until the service time has passed or the request is cancelled. */
    void occupySlot(std::unique_lock<std::mutex> &lock, PooledRequest &request, Duration serviceTime);

    const uint32_t m_slots;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::list<PooledRequest> m_waiting;
    std::list<PooledRequest> m_running;
    std::deque<LoadSample> m_history;
};

} // namespace carobjunction::standin
