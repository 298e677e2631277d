#include "fakeclock.h"

#include <carobjunction/process/admissioncontroller.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

class AdmissionFixture
{
public:
    AdmissionFixture()
    {
        controller.announce("ordering", 7);
    }

    AdmissionRequest request(const std::string &caller = "depot")
    {
        AdmissionRequest request;
        request.service = "ordering";
        request.caller = caller;
        request.deadline = Deadline::after(clock.now(), 5s);
        request.targetIncarnation = 7;
        return request;
    }

    std::vector<AdmissionTicket> fillSlots()
    {
        std::vector<AdmissionTicket> tickets;
        for (int slot = 0; slot < 9; ++slot) {
            tickets.push_back(controller.request(request()).ticket);
        }
        return tickets;
    }

    FakeClock clock;
    AdmissionController<FakeClock> controller { clock };
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.idleTarget.doesNotReportTheSlownessOfLongAgo")
{
    // Guards against a target that receives no requests because it reports a high service time, and keeps reporting it because it
    // receives no requests from which a lower service time could be measured.
    const AdmissionTicket ticket = controller.request(request()).ticket;
    clock.advance(100ms);
    controller.finished(ticket, CompletionKind::Answered);
    CHECK(controller.load().serviceTime == 100ms);
    clock.advance(4s);
    CHECK(controller.load().serviceTime == 100ms);
    clock.advance(2s);
    CHECK(controller.load().serviceTime == 0ms);
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.requestAfterLeave.isRefusedAndRunningOnesKeepTheirSlots")
{
    // Guards against the admission of new requests to a backend server that is leaving, and against the termination of requests in
    // progress.
    const auto running = controller.request(request());
    CHECK(running.verdict == AdmissionVerdict::Admitted);
    controller.leave();
    CHECK(controller.request(request()).reason == Reason::Leaving);
    CHECK(controller.running() == 1);
    CHECK_FALSE(controller.announce("ordering", 7));
    CHECK(controller.request(request()).reason == Reason::Leaving);
    CHECK(controller.announce("ordering", 8));
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.otherIncarnation.isRefused")
{
    // Guards against the admission of a request that was routed to an earlier process of the backend server.
    AdmissionRequest stale = request();
    stale.targetIncarnation = 6;
    CHECK(controller.request(stale).reason == Reason::StaleIncarnation);
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.noisyCallerFillsQueue.newcomerTakesAPlaceFromIt")
{
    // Guards against a single caller that occupies the whole queue, so that the requests of all other callers are refused.
    fillSlots();
    int queued = 0;
    while (controller.request(request("noisy")).verdict == AdmissionVerdict::Queued) {
        ++queued;
    }
    AdmissionChanges changes;
    CHECK(controller.request(request("grower"), changes).verdict == AdmissionVerdict::Queued);
    CHECK((queued < 18 || changes.refused.size() == 1));
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.suspect.runsAlone")
{
    // Guards against a request that crashes the backend server while it is running other requests, which fail with it.
    const auto neighbour = controller.request(request());
    AdmissionRequest suspect = request();
    suspect.suspect = true;
    const auto waiting = controller.request(suspect);
    CHECK(waiting.verdict == AdmissionVerdict::Queued);
    CHECK(controller.request(request()).verdict == AdmissionVerdict::Queued);
    CHECK(controller.request(suspect).reason == Reason::SuspectBusy);
    const AdmissionChanges changes = controller.finished(neighbour.ticket, CompletionKind::Answered);
    REQUIRE(changes.admitted == std::vector<AdmissionTicket> { waiting.ticket });
    CHECK(controller.runsAlone(waiting.ticket));
    CHECK(controller.finished(waiting.ticket, CompletionKind::Answered).admitted.size() == 1);
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.outdatedEstimate.doesNotKeepAnIdleTargetIdle")
{
    // Guards against a target that was slow for a while and then refuses every request with a short deadline: its service time estimate
    // is only updated by requests that it runs, so it would never fall again.
    for (int call = 0; call < 50; ++call) {
        const auto ticket = controller.request(request()).ticket;
        clock.advance(4s);
        controller.finished(ticket, CompletionKind::Answered);
    }
    AdmissionRequest shortRequest = request();
    shortRequest.deadline = Deadline::after(clock.now(), 100ms);
    CHECK(controller.request(shortRequest).verdict == AdmissionVerdict::Admitted);
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.lowPriority.givesWay")
{
    // Guards against low-priority requests, such as history lookups, that delay urgent requests.
    const auto running = fillSlots();
    AdmissionRequest low = request();
    low.priority = Priority::Low;
    low.deadline = Deadline::after(clock.now(), 1s);
    const auto lowTicket = controller.request(low).ticket;
    const auto normalTicket = controller.request(request()).ticket;
    CHECK(controller.finished(running[0], CompletionKind::Answered).admitted == std::vector<AdmissionTicket> { normalTicket });
    CHECK(controller.finished(running[1], CompletionKind::Answered).admitted == std::vector<AdmissionTicket> { lowTicket });
}

TEST_CASE("AdmissionController.anySequence.keepsLimitsAndEndsEachTicketOnce")
{
    // Guards against queue entries that are lost or ended twice, against more running requests than slots, and against admissions after
    // the target has left.
    CHECK(rc::check("slots, queue and tickets", [] {
        FakeClock clock;
        AdmissionController<FakeClock> controller(clock, { 3, 4, 1s });
        controller.announce("ordering", 1);
        std::set<AdmissionTicket> running;
        std::set<AdmissionTicket> queued;
        bool hasLeft = false;
        const auto applyChanges = [&](const AdmissionChanges &changes) {
            for (const AdmissionTicket ticket : changes.admitted) {
                RC_ASSERT(!hasLeft);
                RC_ASSERT(queued.erase(ticket) == 1);
                running.insert(ticket);
            }
            for (const AdmissionRefusal &refusal : changes.refused) {
                RC_ASSERT(queued.erase(refusal.ticket) == 1);
            }
        };
        for (int step = 0; step < 60; ++step) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 200)));
            const int action = *rc::gen::inRange(0, 12);
            if (action < 6) {
                AdmissionRequest request;
                request.service = "ordering";
                request.caller = *rc::gen::element<std::string>("a", "b", "c");
                request.priority = *rc::gen::element(Priority::High, Priority::Low);
                request.deadline = Deadline::after(clock.now(), std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
                request.suspect = *rc::gen::inRange(0, 10) == 0;
                request.mayQueue = *rc::gen::arbitrary<bool>();
                AdmissionChanges changes;
                const AdmissionDecision decision = controller.request(request, changes);
                applyChanges(changes);
                RC_ASSERT(!hasLeft || decision.verdict == AdmissionVerdict::Refused);
                if (decision.verdict == AdmissionVerdict::Admitted) {
                    running.insert(decision.ticket);
                } else if (decision.verdict == AdmissionVerdict::Queued) {
                    queued.insert(decision.ticket);
                }
            } else if (action < 9 && !running.empty()) {
                const AdmissionTicket ticket = *running.begin();
                running.erase(running.begin());
                applyChanges(controller.finished(ticket, *rc::gen::element(CompletionKind::Answered, CompletionKind::Overloaded, CompletionKind::Failed)));
            } else if (action == 9 && !queued.empty()) {
                RC_ASSERT(controller.cancel(*queued.begin()));
                queued.erase(queued.begin());
            } else if (action == 10) {
                applyChanges(controller.expire());
            } else if (action == 11 && *rc::gen::inRange(0, 8) == 0) {
                hasLeft = true;
                applyChanges(controller.leave());
                RC_ASSERT(queued.empty());
            }
            RC_ASSERT(running.size() <= 3U);
            RC_ASSERT(queued.size() <= 5U);
            RC_ASSERT(controller.running() == running.size());
        }
    }));
}

TEST_CASE_METHOD(AdmissionFixture, "AdmissionController.restartedDaemon.continuesTheSequenceOfItsReports")
{
    // Guards against the reports of a restarted daemon that are ignored as outdated, because the backend server kept its incarnation.
    for (int i = 0; i < 1000; ++i) {
        controller.load();
    }
    const uint64_t lastOfPreviousRun = controller.load().sequence;
    clock.advance(1s);
    AdmissionController<FakeClock> restarted(clock);
    restarted.announce("ordering", 7);
    CHECK(restarted.load().sequence > lastOfPreviousRun);
}
