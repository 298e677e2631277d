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

    SlotRequest request(uint32_t priority, Duration aim, Duration deadline, Duration work = 100ms) const
    {
        return { priority, clock.now() + aim, clock.now() + deadline, work, true };
    }

    SlotQueue::Decision requestSlot(const SlotRequest &wanted, const std::string &name = "")
    {
        return queue.requestSlot(wanted, clock.now(), [this, name](SlotWaitResult end) {
            if (end == SlotWaitResult::Granted) {
                granted.push_back(name);
            } else {
                ended.push_back(name);
            }
        });
    }

    void fill()
    {
        REQUIRE(requestSlot(request(1, 1s, 2s)).isGranted);
        REQUIRE(requestSlot(request(1, 1s, 2s)).isGranted);
    }

    FakeClock clock;
    SlotQueue queue;
    std::vector<std::string> granted;
    std::vector<std::string> ended;
};

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.allSlotsTaken.queuesOnlyWhatMayWait")
{
    fill();
    SlotRequest wanted = request(1, 1s, 2s);
    wanted.mayQueue = false;
    const auto refused = requestSlot(wanted);
    CHECK(refused.reason == Reason::Full);
    CHECK(refused.retryAfter > 0ms);
    wanted.mayQueue = true;
    CHECK(requestSlot(wanted).ticket.has_value());
    CHECK(queue.usage().waiting == 1);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.shortCallOfATarget.takesASlotBeyondTheLimit")
{
    // Pattern: calls made by targets wait behind long work until their parents fail and the parents' work is lost.
    fill();
    CHECK_FALSE(requestSlot(request(1, 100ms, 250ms, 60ms)).isGranted);
    CHECK(requestSlot(request(1, 100ms, 250ms, 20ms)).isGranted);
    CHECK_FALSE(requestSlot(request(1, 100ms, 250ms, 20ms)).isGranted);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.lateShortCall.stillGoesFirst")
{
    // Pattern: a target's own call is late for its aim; refused or put behind, the request that made it fails after most of its work.
    fill();
    REQUIRE(requestSlot(request(1, 1s, 2s, 20ms)).isGranted);
    CHECK(requestSlot(request(2, 500ms, 2s), "lookup").ticket.has_value());
    CHECK(requestSlot(request(1, 10ms, 600ms, 20ms), "call").ticket.has_value());
    CHECK(requestSlot(request(1, 10ms, 600ms, 20ms), "another call").ticket.has_value());
    queue.release(clock.now());
    CHECK(granted == std::vector<std::string> { "call" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.release.grantsTheMostUrgentInGoodTime")
{
    // Pattern: a burst in which the less urgent kind arrives first.
    fill();
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
    // Pattern: overload; late work must not displace work that can still be in time.
    fill();
    requestSlot(request(1, 150ms, 2s), "becomes late");
    clock.advance(100ms);
    requestSlot(request(2, 400ms, 2s), "in time");
    queue.release(clock.now());
    CHECK(granted == std::vector<std::string> { "in time" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.noChanceBeforeTheDeadline.refusesAtOnce")
{
    fill();
    CHECK(requestSlot(request(1, 60ms, 70ms)).reason == Reason::DeadlineTooShort);
    CHECK(queue.usage().waiting == 0);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.deadlineApproaches.endsTheWait")
{
    fill();
    requestSlot(request(1, 300ms, 400ms), "short of time");
    clock.advance(349ms);
    queue.expire(clock.now());
    CHECK(ended.empty());
    clock.advance(2ms);
    queue.expire(clock.now());
    CHECK(ended == std::vector<std::string> { "short of time" });
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.overload.boundsTheLateOnes")
{
    fill();
    int queued = 0;
    for (int i = 0; i < 50; ++i) {
        queued += requestSlot(request(2, 50ms, 60s)).ticket ? 1 : 0;
    }
    CHECK(queued <= 1);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.requestsThatBecomeLate.areRefusedRatherThanHeld")
{
    // Pattern: overload; 623 lookups of one day waited until their route's timeout and were refused then (epistrofi-mesh scale-1).
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
    CHECK(ended.size() == static_cast<size_t>(queued) - 2);
}

TEST_CASE_METHOD(SlotQueueFixture, "SlotQueue.closed.endsAllWaits")
{
    fill();
    requestSlot(request(1, 1s, 2s), "a");
    const auto b = requestSlot(request(1, 1s, 2s), "b");
    queue.cancelWait(*b.ticket);
    queue.closeAll();
    CHECK(ended == std::vector<std::string> { "a" });
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
    // Pattern: a VM is slow for some 150 ms at a time; work that starts then takes five times as long, and other VMs are as usual.
    setHostSlowdown(5);
    SlotRequest wanted = request(1, 300ms, 2s);
    wanted.mayQueue = false;
    const auto refused = requestSlot(wanted);
    CHECK_FALSE(refused.isGranted);
    CHECK(refused.reason == Reason::HostSlow);
    CHECK(refused.retryAfter > 0ms);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slowSpell.isWaitedOut")
{
    // Pattern: all VMs of a service are slow at once; waiting for the end of the spell is sooner than starting in it.
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
    // Guards against a wait that gains nothing: the answer is in good time all the same.
    setHostSlowdown(5);
    CHECK(requestSlot(request(1, 600ms, 2s)).isGranted);
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.releasedSlotInASlowSpell.isNotGranted")
{
    // Guards against a spell that is noticed when requests wait already.
    fill();
    CHECK(requestSlot(request(1, 300ms, 2s), "lookup").ticket.has_value());
    setHostSlowdown(5);
    queue.release(clock.now());
    CHECK(granted.empty());
}

TEST_CASE_METHOD(SlowHostFixture, "SlotQueue.slownessThatStays.startsWhatCanStillBeAnswered")
{
    // Pattern: a VM is slow for seconds; requests that wait for its end miss their deadlines.
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
    CHECK(ended == std::vector<std::string> { "lookup" });
}
