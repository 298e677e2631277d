#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/waitcorrection.h>
#include <carobjunction/request/reason.h>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <tuple>
#include <vector>

namespace carobjunction
{

/** Scheduling attributes of a request for a slot of the backend server. */
struct SlotRequest {
    uint32_t priority = 0; /**< Priority; 0 is the highest. */
    TimePoint softDeadlineAt; /**< Soft deadline: time by which the request should be answered. */
    TimePoint deadlineAt; /**< Hard deadline: time after which an answer is useless. */
    Duration serviceTime = Duration::zero(); /**< Expected service time at the backend server. */
    bool mayQueue = false; /**< Whether the request may wait for a slot; if not, it is refused, so that another target can be tried. */
};

/** Result of waiting for a slot. */
enum class SlotWaitResult {
    Granted, /**< The request has been given a slot. */
    Expired, /**< The request can no longer be answered before its deadline, or too many late requests are waiting. */
    Closed, /**< The target accepts no new requests. */
};

/** Current slowdown of the backend server's VM, see HostSlowdownDetector. */
struct HostSlowdownState {
    double slowdownFactor = 1; /**< Current service time relative to a VM that is not slowed down. */
    double baselineFactor = 1; /**< Factor that is expected after the current slowdown. */
    bool isSlow = false; /**< Whether the VM is temporarily slowed down. */
};

/** Current utilisation of the slots of a target. */
struct SlotUsage {
    uint32_t running = 0; /**< Number of running requests. */
    uint32_t waiting = 0; /**< Number of waiting requests. */
    uint32_t limit = 0; /**< Maximum number of concurrent requests. */
    Duration predictedWait = Duration::zero(); /**< Predicted waiting time of a new request. */
};

/**
 * Assigns the slots of one backend server to requests and queues the requests that have to wait. Not thread-safe.
 *
 * Requests wait here and not in the backend server, where they could be neither reordered nor cancelled. Requests that can still meet
 * their soft deadline are served first, by priority and then by soft deadline; late requests get the remaining slots. Short requests
 * are never treated as late: they delay other requests very little, and the requests that depend on them would fail.
 */
class SlotQueue
{
public:
    /** Called with the result when the wait for a slot ends. */
    using WaitCallback = std::function<void(SlotWaitResult)>;
    /** Identifies a waiting request. */
    using Ticket = uint64_t;

    /** Decision on a request for a slot. */
    struct Decision {
        bool isGranted = false; /**< Whether the request has been given a slot. */
        std::optional<Ticket> ticket; /**< Set if the request has been queued. */
        Reason reason = Reason::None; /**< Reason of the refusal. */
        Duration retryAfter = Duration::zero(); /**< Time after which a refused request may be retried. */
    };

    /** Maximum number of waiting requests that are late or expected to be, as a share of the limit. At least one may wait. */
    static constexpr double MaxLateShare = 0.25;
    /** A request is short if its expected service time is at most the mean divided by this number. */
    static constexpr int ShortRequestRatio = 3;
    /**
     * Minimum time before the deadline at which a request may start, as a share of its expected service time. It is less than 1 because
     * half of all requests take less than two thirds of the mean.
     */
    static constexpr double MinServiceTimeShare = 0.5;
    /** Expected remaining time of a slowdown of the VM. */
    static constexpr Duration ExpectedSlowdownRemaining = std::chrono::milliseconds(150);

    /**
     * Sets the concurrency limits.
     * @param slots  maximum number of concurrent requests that the backend server supports
     * @param limit  maximum number of concurrent requests; short requests may use all slots, because their callers hold slots of other
     *               targets while waiting for them
     */
    void setLimit(uint32_t slots, uint32_t limit)
    {
        m_slots = slots;
        m_limit = limit;
    }

    /**
     * Sets the current slowdown of the backend server's VM. A request that starts during a slowdown remains slow until it is answered,
     * so it waits for the end of the slowdown unless it would still meet its soft deadline, or is so short that it ends before a request
     * that waited.
     */
    void setHostSlowdown(const HostSlowdownState &host)
    {
        m_hostSlowdown = host;
    }

    /** Grants free slots to waiting requests. To be called after setHostSlowdown(). */
    void grantWaiting(TimePoint now);

    /**
     * Grants a slot to a request, queues it or refuses it.
     * @param callback  called once with the result if the request is queued, unless the request is removed first
     */
    Decision requestSlot(const SlotRequest &request, TimePoint now, WaitCallback callback);

    /** Releases a slot and grants it to the next waiting request. */
    void release(TimePoint now);

    /** Removes a waiting request without calling its callback. */
    void cancelWait(Ticket ticket);

    /** Removes requests that can no longer meet their deadline and late requests in excess of MaxLateShare, and calls their callbacks with
     * SlotWaitResult::Expired. */
    void expire(TimePoint now);

    /** Removes all waiting requests and calls their callbacks with SlotWaitResult::Closed. */
    void closeAll();

    /** @return current utilisation of the slots */
    SlotUsage usage() const;

    /** Records the service time of a completed request, from which waiting times are predicted. */
    void recordServiceTime(Duration serviceTime);

private:
    struct WaitingRequest {
        Ticket ticket = 0;
        SlotRequest request;
        WaitCallback callback;
        bool isExpectedLate = false; /**< Whether it was expected to miss its soft deadline when it was queued. */
        TimePoint queuedAt;
        Duration predictedWait = Duration::zero(); /**< Wait predicted from the queue when it was queued, without the correction. */
    };
    using Iterator = std::list<WaitingRequest>::iterator;

    Duration predictedWait(size_t ahead) const;
    size_t countAhead(const SlotRequest &request, TimePoint now) const;
    /** Sort key of the waiting requests: whether the request is late, priority, soft deadline. The lowest key is served first. */
    using SchedulingKey = std::tuple<bool, uint32_t, TimePoint>;

    bool isShort(const SlotRequest &request) const;
    bool isLate(const SlotRequest &request, TimePoint now) const;
    SchedulingKey schedulingKey(const SlotRequest &request, TimePoint now) const;
    bool hasSlotFor(const SlotRequest &request) const;
    bool isSlowRunSooner(const SlotRequest &request) const;
    bool shouldStartNow(const SlotRequest &request, TimePoint now) const;
    Duration expectedServiceTime(const SlotRequest &request) const;
    Iterator nextToGrant(TimePoint now);
    size_t countLate(TimePoint now) const;
    bool isWithinLateShare(size_t lateCount) const;

    uint32_t m_slots = 1;
    uint32_t m_limit = 1;
    uint32_t m_running = 0;
    HostSlowdownState m_hostSlowdown;
    Ticket m_lastTicket = 0;
    std::list<WaitingRequest> m_waiting;
    WaitCorrection m_waitCorrection;
    Duration m_meanServiceTime = std::chrono::milliseconds(100);
};

} // namespace carobjunction
