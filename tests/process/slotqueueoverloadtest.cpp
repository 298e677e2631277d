#include "fakeclock.h"

#include <carobjunction/process/slotqueue.h>

#include <catch2/catch.hpp>

#include <map>

using namespace carobjunction;
using namespace std::chrono_literals;

/**
 * Sustained overload of one target: urgent requests use four fifths of its capacity, and less urgent ones ask for as much again as it has.
 * The less urgent ones that wait are overtaken all the time.
 */
struct SustainedOverloadFixture {
    static constexpr Duration Step = 5ms;
    static constexpr Duration ServiceTime = 100ms;
    static constexpr uint32_t Slots = 4;

    struct Counts {
        int granted = 0;
        int refusedAtOnce = 0;
        int refusedAfterAWait = 0;
    };

    SustainedOverloadFixture()
    {
        queue.setLimit(Slots, Slots);
        for (int i = 0; i < 60; ++i) {
            queue.recordServiceTime(ServiceTime);
        }
    }

    void arrive(uint32_t priority)
    {
        const SlotRequest request { priority, clock.now() + 300ms, clock.now() + 800ms, ServiceTime, true };
        const auto decision = queue.requestSlot(request, clock.now(), [this, priority](SlotWaitResult result) {
            if (result == SlotWaitResult::Granted) {
                start(priority);
            } else {
                ++counts[priority].refusedAfterAWait;
            }
        });
        if (decision.isGranted) {
            start(priority);
        } else if (!decision.ticket) {
            ++counts[priority].refusedAtOnce;
        }
    }

    void start(uint32_t priority)
    {
        ++counts[priority].granted;
        m_ends.emplace(clock.now() + ServiceTime, priority);
    }

    void run(Duration time)
    {
        for (Duration elapsed {}; elapsed < time; elapsed += Step) {
            clock.advance(Step);
            while (!m_ends.empty() && m_ends.begin()->first <= clock.now()) {
                m_ends.erase(m_ends.begin());
                queue.release(clock.now());
            }
            queue.expire(clock.now());
            ++m_steps;
            // The capacity is 40 requests a second: 32 urgent ones and 40 others arrive.
            for (m_urgentDue += 32 * 0.005; m_urgentDue >= 1; --m_urgentDue) {
                arrive(0);
            }
            if (m_steps % 5 == 0) {
                arrive(1);
            }
        }
    }

    FakeClock clock;
    SlotQueue queue;
    std::map<uint32_t, Counts> counts;

private:
    std::multimap<TimePoint, uint32_t> m_ends;
    double m_urgentDue = 0;
    int m_steps = 0;
};

TEST_CASE_METHOD(SustainedOverloadFixture, "SlotQueue.sustainedOverload.refusesAtOnceWhatItCannotServe")
{
    // Guards against requests that are queued because the present queue is short, overtaken until they are late, and then refused: their
    // callers learn too late that they must try again.
    run(5s);
    counts.clear();
    run(20s);
    const Counts &lessUrgent = counts[1];
    CHECK(lessUrgent.refusedAfterAWait < lessUrgent.refusedAtOnce / 2);
    CHECK(counts[0].refusedAtOnce + counts[0].refusedAfterAWait == 0);
    // The slots stay busy: 20 s with 40 requests each.
    CHECK(counts[0].granted + lessUrgent.granted > 0.97 * 800);
}
