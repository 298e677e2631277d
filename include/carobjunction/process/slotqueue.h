#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/request/reason.h>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <tuple>
#include <vector>

namespace carobjunction
{

/** A request that asks for a slot of the backend server. */
struct SlotRequest {
    uint32_t priority = 0; /**< 0 is the most urgent. */
    TimePoint aimAt; /**< Time until which an answer is in good time. */
    TimePoint deadlineAt; /**< Time after which an answer is of no use. */
    Duration work = Duration::zero(); /**< Time that the backend server is expected to take. */
    bool mayQueue = false; /**< Whether the request may wait here, or is better off at another target. */
};

/** How a wait for a slot ended. */
enum class SlotEnd {
    Granted,
    Expired, /**< It can't be served before its deadline any more. */
    Closed, /**< The target accepts no new work. */
};

/** How slow work is on the backend server's VM at this moment. */
struct HostState {
    double factor = 1; /**< Time that work takes, relative to a calm VM. */
    double usualFactor = 1; /**< The same when the present slow spell is over. */
    bool isSlow = false; /**< Work is slow, and likely to be faster soon. */
};

/** Slots of a target at one moment. */
struct SlotUse {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t limit = 0; /**< Requests that may run at once. */
    Duration predictedWait = Duration::zero(); /**< Time until a new request would get a slot. */
};

/**
 * Slots of one backend server and the requests that wait for them. Not thread-safe.
 *
 * Requests wait here rather than in the backend server, where they could neither be ordered nor withdrawn. Those that can still be
 * answered in good time go first, by priority and then by the end of their good time; late ones use what is left. Short work is
 * never put behind: it takes little from the others, and what called it fails without it.
 */
class SlotQueue
{
public:
    using Waiter = std::function<void(SlotEnd)>;
    /** Names a waiting request. */
    using Ticket = uint64_t;

    /** Outcome of an offer. */
    struct Decision {
        bool isGranted = false;
        std::optional<Ticket> ticket; /**< Set if the request waits. */
        Reason reason = Reason::None; /**< Why it was refused. */
        Duration retryAfter = Duration::zero(); /**< Time after which another try has a chance; for refusals. */
    };

    /** Late requests that may wait at once, as a share of the limit; at least one may. */
    static constexpr double LateShare = 0.25;
    /** Work that takes this many times less than usual counts as short. */
    static constexpr int ShortWorkRatio = 3;
    /** Part of the usual time of work that must be left before the deadline. Half of all work takes less than two thirds of the mean. */
    static constexpr double LeastWorkShare = 0.5;
    /** Time until a slow spell of the VM is expected to end. */
    static constexpr Duration SpellRest = std::chrono::milliseconds(150);

    /**
     * @param slots  requests that the backend server runs at once
     * @param limit  requests that may run at once; short work may use the slots beyond, since its callers, at work in other
     *               targets, hold slots while they wait for it
     */
    void setLimit(uint32_t slots, uint32_t limit)
    {
        m_slots = slots;
        m_limit = limit;
    }

    /**
     * Takes a reading of the backend server's VM. Work that starts while the VM is slow stays slow, so it waits for the end of the
     * spell unless it can be answered in good time all the same.
     */
    void setHost(const HostState &host)
    {
        m_host = host;
    }

    /** Starts what can start now. To be called after setHost(). */
    void grantNext(TimePoint now);

    /** @param waiter  called once if the request has to wait; not called after withdraw() */
    Decision offer(const SlotRequest &request, TimePoint now, Waiter waiter);

    /** Gives up a slot and grants it to the next request. */
    void release(TimePoint now);

    /** Takes a waiting request out. */
    void withdraw(Ticket ticket);

    /** Ends the wait of requests that can't be served any more, and of late ones beyond their share. */
    void expire(TimePoint now);

    /** Ends the wait of all requests. */
    void closeAll();

    SlotUse use() const;

    /** Records the time that the backend server took for a request, for predictions. */
    void observeWork(Duration work);

private:
    struct Waiting {
        Ticket ticket = 0;
        SlotRequest request;
        Waiter waiter;
    };
    using Iterator = std::list<Waiting>::iterator;

    Duration predictedWait(size_t ahead) const;
    size_t countAhead(const SlotRequest &request, TimePoint now) const;
    /** Order of waiting requests: not late before late, urgent before less urgent, and then by the end of the good time. */
    using Rank = std::tuple<bool, uint32_t, TimePoint>;

    bool isShort(const SlotRequest &request) const;
    bool isLate(const SlotRequest &request, TimePoint now) const;
    Rank rank(const SlotRequest &request, TimePoint now) const;
    bool hasSlotFor(const SlotRequest &request) const;
    bool isWorthStarting(const SlotRequest &request, TimePoint now) const;
    Duration expectedWork(const SlotRequest &request) const;
    Iterator best(TimePoint now);
    size_t countLate(TimePoint now) const;
    bool hasRoomForLate(size_t late) const;

    uint32_t m_slots = 1;
    uint32_t m_limit = 1;
    uint32_t m_running = 0;
    HostState m_host;
    Ticket m_lastTicket = 0;
    std::list<Waiting> m_waiting;
    Duration m_meanWork = std::chrono::milliseconds(100);
};

} // namespace carobjunction
