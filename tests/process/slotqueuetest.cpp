#include "fakeclock.h"

#include <carobjunction/process/slotqueue.h>

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace std::chrono_literals;

struct SlotQueueFixture {
    SlotQueueFixture()
    {
        queue.setLimit(3, 2);
        for (int i = 0; i < 60; ++i) {
            queue.recordServiceTime(100ms);
        }
    }

    SlotRequest request(uint32_t priority, Duration softDeadline, Duration deadline, Duration serviceTime = 100ms) const
    {
        return { priority, clock.now() + softDeadline, clock.now() + deadline, serviceTime, true };
    }

    SlotQueue::Decision requestSlot(const SlotRequest &slotRequest, const std::string &name = "")
    {
        return queue.requestSlot(slotRequest, clock.now(), [this, name](SlotWaitResult waitResult) {
            if (waitResult == SlotWaitResult::Granted) {
                granted.push_back(name);
            } else {
                notGranted.push_back(name);
            }
        });
    }

    void fillToLimit()
    {
        REQUIRE(requestSlot(request(1, 1s, 2s)).isGranted);
        REQUIRE(requestSlot(request(1, 1s, 2s)).isGranted);
    }

    FakeClock clock;
    SlotQueue queue;
    std::vector<std::string> granted;
    std::vector<std::string> notGranted;
};

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.allSlotsTaken.queuesOnlyWhatMayWait")
{
    fillToLimit();
    SlotRequest slotRequest = request(1, 1s, 2s);
    slotRequest.mayQueue = false;
    const auto refused = requestSlot(slotRequest);
    CHECK(refused.reason == Reason::Full);
    CHECK(refused.retryAfter > 0ms);
    slotRequest.mayQueue = true;
    CHECK(requestSlot(slotRequest).ticket.has_value());
    CHECK(queue.usage().waiting == 1);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.shortCallOfATarget.takesASlotBeyondTheLimit")
{
    // Guards against requests sent by backend servers that wait behind long requests until the parent requests time out and their work is lost.
    fillToLimit();
    CHECK_FALSE(requestSlot(request(1, 100ms, 250ms, 60ms)).isGranted);
    CHECK(requestSlot(request(1, 100ms, 250ms, 20ms)).isGranted);
    CHECK_FALSE(requestSlot(request(1, 100ms, 250ms, 20ms)).isGranted);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.lateShortCall.stillGoesFirst")
{
    // Guards against a request sent by a backend server that is refused or queued last because it will miss its soft deadline: its parent
    // request would then fail after most of its work is done.
    fillToLimit();
    REQUIRE(requestSlot(request(1, 1s, 2s, 20ms)).isGranted);
    CHECK(requestSlot(request(2, 500ms, 2s), "lookup").ticket.has_value());
    CHECK(requestSlot(request(1, 10ms, 600ms, 20ms), "call").ticket.has_value());
    CHECK(requestSlot(request(1, 10ms, 600ms, 20ms), "another call").ticket.has_value());
    queue.release(clock.now());
    CHECK(granted == std::vector<std::string> { "call" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.release.grantsTheMostUrgentInGoodTime")
{
    // Guards against a burst in which requests of lower priority arrive first and are served before urgent ones.
    fillToLimit();
    requestSlot(request(2, 500ms, 2s), "lookup");
    requestSlot(request(1, 800ms, 2s), "order");
    requestSlot(request(1, 600ms, 2s), "earlier order");
    queue.release(clock.now());
    queue.release(clock.now());
    queue.release(clock.now());
    CHECK(granted == std::vector<std::string> { "earlier order", "order", "lookup" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.lateRequest.givesWayToOneInGoodTime")
{
    // Guards against late requests that, under overload, displace requests which can still meet their soft deadline.
    fillToLimit();
    requestSlot(request(1, 150ms, 2s), "becomes late");
    clock.advance(100ms);
    requestSlot(request(2, 400ms, 2s), "in time");
    queue.release(clock.now());
    CHECK(granted == std::vector<std::string> { "in time" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.noChanceBeforeTheDeadline.refusesAtOnce")
{
    fillToLimit();
    CHECK(requestSlot(request(1, 60ms, 70ms)).reason == Reason::DeadlineTooShort);
    CHECK(queue.usage().waiting == 0);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.deadlineApproaches.endsTheWait")
{
    fillToLimit();
    requestSlot(request(1, 300ms, 400ms), "short of time");
    clock.advance(349ms);
    queue.expire(clock.now());
    CHECK(notGranted.empty());
    clock.advance(2ms);
    queue.expire(clock.now());
    CHECK(notGranted == std::vector<std::string> { "short of time" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.overload.boundsTheLateOnes")
{
    fillToLimit();
    int queued = 0;
    for (int i = 0; i < 50; ++i) {
        queued += requestSlot(request(2, 50ms, 60s)).ticket ? 1 : 0;
    }
    CHECK(queued <= 1);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.requestsThatBecomeLate.areRefusedRatherThanHeld")
{
    // Guards against late requests that, under overload, wait until the timeout of their route and are refused only then. This happened to
    // 623 lookups in one day of the workload epistrofi-mesh scale-1.
    queue.setLimit(8, 8);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(requestSlot(request(1, 1s, 9s)).isGranted);
    }
    int queued = 0;
    for (int i = 0; i < 8; ++i) {
        queued += requestSlot(request(2, 250ms, 9s)).ticket ? 1 : 0;
    }
    REQUIRE(queued > 2);
    clock.advance(200ms);
    queue.expire(clock.now());
    CHECK(queue.usage().waiting == 2);
    CHECK(notGranted.size() == static_cast<size_t>(queued) - 2);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.closed.endsAllWaits")
{
    fillToLimit();
    requestSlot(request(1, 1s, 2s), "a");
    const auto cancelled = requestSlot(request(1, 1s, 2s), "b");
    queue.cancelWait(*cancelled.ticket);
    queue.closeAll();
    CHECK(notGranted == std::vector<std::string> { "a" });
    CHECK(queue.usage().waiting == 0);
}

struct SlowHostFixture : SlotQueueFixture {
    void setHostSlowdown(double slowdownFactor, double baselineFactor = 1)
    {
        queue.setHostSlowdown({ slowdownFactor, baselineFactor, slowdownFactor > baselineFactor });
    }
};

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slowSpell.refusesWhatCanGoElsewhere")
{
    // Guards against starting a request during a temporary slowdown of the VM, of about 150 ms: the request would take five times as long,
    // while other VMs run at normal speed.
    setHostSlowdown(5);
    SlotRequest slotRequest = request(1, 300ms, 2s);
    slotRequest.mayQueue = false;
    const auto refused = requestSlot(slotRequest);
    CHECK_FALSE(refused.isGranted);
    CHECK(refused.reason == Reason::HostSlow);
    CHECK(refused.retryAfter > 0ms);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slowSpell.isWaitedOut")
{
    // Guards against starting a request during a temporary slowdown of all VMs of a service: it completes sooner if it waits for the end of
    // the slowdown.
    setHostSlowdown(5);
    CHECK(requestSlot(request(1, 300ms, 2s), "lookup").ticket.has_value());
    clock.advance(20ms);
    queue.grantWaiting(clock.now());
    CHECK(granted.empty());
    setHostSlowdown(1);
    queue.grantWaiting(clock.now());
    CHECK(granted == std::vector<std::string> { "lookup" });
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slowSpellWithTimeEnough.startsAtOnce")
{
    // Guards against an unnecessary wait: the request meets its soft deadline even if it starts during the slowdown.
    setHostSlowdown(5);
    CHECK(requestSlot(request(1, 600ms, 2s)).isGranted);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.releasedSlotInASlowSpell.isNotGranted")
{
    // Guards against granting a released slot during a slowdown that is detected only after requests have been queued.
    fillToLimit();
    CHECK(requestSlot(request(1, 300ms, 2s), "lookup").ticket.has_value());
    setHostSlowdown(5);
    queue.release(clock.now());
    CHECK(granted.empty());
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slownessThatStays.startsWhatCanStillBeAnswered")
{
    // Guards against requests that miss their deadlines because they wait for the end of a slowdown that lasts for seconds.
    setHostSlowdown(5, 5);
    CHECK(requestSlot(request(1, 300ms, 2s)).isGranted);
    CHECK(requestSlot(request(1, 100ms, 200ms)).reason == Reason::DeadlineTooShort);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slownessThatStays.endsHopelessWaits")
{
    setHostSlowdown(5);
    CHECK(requestSlot(request(1, 100ms, 240ms), "lookup").ticket.has_value());
    setHostSlowdown(5, 5);
    queue.expire(clock.now());
    CHECK(notGranted == std::vector<std::string> { "lookup" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.overload.queuesOnlyOneThatIsExpectedLate")
{
    // Guards against a burst whose requests are all queued, because none of them is late yet, and then held until their deadlines pass.
    fillToLimit();
    int queuedCount = 0;
    while (requestSlot(request(1, 300ms, 2s)).ticket) {
        ++queuedCount;
        REQUIRE(queuedCount < 20);
    }
    CHECK(queuedCount == 5); // each waits 50 ms for the one ahead of it: four are answered within 300 ms, the fifth is the late one
    CHECK(requestSlot(request(1, 300ms, 2s)).reason == Reason::Full);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slowSpellWithFreeSlots.countsThoseAheadInThePredictedWait")
{
    // Guards against a queue that grows without bound during a temporary slowdown, because the slots are free meanwhile.
    setHostSlowdown(5);
    int queuedCount = 0;
    while (requestSlot(request(1, 420ms, 5s)).ticket) {
        ++queuedCount;
        REQUIRE(queuedCount < 40);
    }
    CHECK(queuedCount == 6); // two in the free slots, three that wait for them, and one that is expected to be late
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.shortCallInASlowSpell.startsIfItEndsSoonerThanTheSpell")
{
    // Guards against calls of running requests that wait for the end of a slowdown until their deadline, which fails the requests too.
    setHostSlowdown(5);
    CHECK(requestSlot(request(1, 50ms, 200ms, 30ms)).isGranted);
    CHECK_FALSE(requestSlot(request(1, 50ms, 2s, 60ms)).isGranted);
    SlotRequest elsewhere = request(1, 50ms, 200ms, 30ms);
    elsewhere.mayQueue = false;
    CHECK(requestSlot(elsewhere).reason == Reason::HostSlow);
}
