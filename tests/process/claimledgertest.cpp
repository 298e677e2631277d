#include "process/claimledger.h"

#include "process/storeprotocol.h"
#include "scriptedstore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

using Ledger = ClaimLedger<ScriptedStore, ManualClock, ManualWallClock>;

constexpr Duration Window = 24h;
constexpr int64_t WindowMs = 24LL * 3600 * 1000;

ClaimOptions manualOptions(const std::string &daemon)
{
    ClaimOptions options;
    options.daemon = daemon;
    options.threads = ClaimThreads::Caller;
    options.seed = std::hash<std::string> {}(daemon);
    return options;
}

/** Several daemons with one store and one time. */
struct Daemons {
    explicit Daemons(int count)
    {
        for (int i = 0; i < count; ++i) {
            ledgers.push_back(std::make_unique<Ledger>(store, clock, wall, manualOptions("d" + std::to_string(i))));
        }
    }

    ClaimOutcome claim(size_t daemon, const std::string &key = "k", uint64_t fingerprint = 1)
    {
        return ledgers[daemon]->claim("ordering", key, fingerprint, Window, Deadline::after(clock.now(), 1s));
    }

    void pass(Duration time)
    {
        clock.time += time;
        wall.ms += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    /** Runs the background work to its end against a store without faults. */
    void settle()
    {
        store.writeFaults.clear();
        store.readFaults.clear();
        for (int round = 0; round < 20; ++round) {
            pass(20s);
            for (const auto &ledger : ledgers) {
                ledger->writePendingBatch();
            }
        }
        for (const auto &ledger : ledgers) {
            RC_ASSERT(ledger->pendingUpdates() == 0U);
        }
    }

    /** Deletes rows as the sweeper does. */
    void sweep()
    {
        const auto rows = store.memory.readPrefix("claim/");
        for (const StoreRow &row : *rows) {
            if (ClaimRow::fromJson(row.value)->isDeletable(wall.ms)) {
                store.memory.transact({ { row.key, row.version, std::nullopt }, { ClaimRow::SweepRowKey, std::nullopt, 1 } }, true);
            }
        }
    }

    ScriptedStore store;
    ManualClock clock;
    ManualWallClock wall;
    std::vector<std::unique_ptr<Ledger>> ledgers;
};

CallResult resultWith(const std::string &body)
{
    CallResult result;
    result.outcome = Outcome::Ran;
    result.status = 201;
    result.headers = { { "Content-Type", "text/plain" }, { "X-Bytes", "\xff\x80" } };
    result.body = body;
    return result;
}

/** Claims that were won, by key; knows when a further win is allowed. */
class WinModel
{
public:
    explicit WinModel(Daemons &daemons) : m_daemons(daemons)
    {
    }

    bool blocks(const std::string &key) const
    {
        const auto win = m_wins.find(key);
        return win != m_wins.end() && m_daemons.wall.ms < win->second.atMs + WindowMs;
    }

    void claim(size_t daemon, const std::string &key)
    {
        const ClaimOutcome answer = m_daemons.claim(daemon, key);
        if (answer.state == ClaimState::Won) {
            RC_ASSERT(!blocks(key));
            m_wins[key] = { answer.claimId, m_daemons.wall.ms, false };
        }
    }

    void release(size_t daemon, const std::string &key)
    {
        const auto win = m_wins.find(key);
        if (win != m_wins.end() && !win->second.done) {
            m_daemons.ledgers[daemon]->release("ordering", key, win->second.claimId);
            m_wins.erase(win);
        }
    }

    void done(size_t daemon, const std::string &key)
    {
        const auto win = m_wins.find(key);
        if (win != m_wins.end()) {
            m_daemons.ledgers[daemon]->recordResult("ordering", key, win->second.claimId, 1, resultWith("x"));
            win->second.done = true;
        }
    }

private:
    struct Win {
        std::string claimId;
        int64_t atMs = 0;
        bool done = false;
    };

    Daemons &m_daemons;
    std::map<std::string, Win> m_wins;
};

struct Step {
    int action;
    size_t daemon;
    int key;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << step.action << '/' << step.daemon << '/' << step.key;
}

void runStep(const Step &step, Daemons &daemons, WinModel &model)
{
    const std::string key = "k" + std::to_string(step.key);
    switch (step.action) {
    case 0:
        return model.release(step.daemon, key);
    case 1:
        return model.done(step.daemon, key);
    case 2:
        daemons.ledgers[step.daemon]->writePendingBatch();
        return;
    case 3:
        return daemons.store.deliverLate(step.key == 0);
    case 4:
        return daemons.pass(200ms);
    case 5:
        // Plain writes are bounded in time; a transaction guarded by the sweep row may be late without a bound.
        daemons.store.deliverLate(false);
        return daemons.pass(step.key == 0 ? Duration(24h) : Duration(65min));
    case 6:
        return daemons.sweep();
    default:
        return model.claim(step.daemon, key);
    }
}

template<typename T>
std::deque<T> asDeque(const std::vector<T> &values)
{
    return { values.begin(), values.end() };
}

} // namespace

TEST_CASE("ClaimLedger.anyFaultsAndConcurrentDaemons.atMostOneWinsAndNoneBlocksForEver", "[claims]")
{
    // Guards against a duplicated booking, and against a key that stays blocked by a claim that nobody holds.
    CHECK(rc::check([] {
        using namespace rc;
        const auto fault = gen::weightedElement<Fault>(
            { { 6, Fault::None }, { 1, Fault::Refused }, { 1, Fault::LostRequest }, { 2, Fault::LostAnswer }, { 3, Fault::Late } });
        const auto readFault = gen::weightedElement<Fault>({ { 4, Fault::None }, { 1, Fault::Refused } });
        const auto step = gen::construct<Step>(gen::inRange(0, 14), gen::inRange<size_t>(0, 3), gen::inRange(0, 2));
        Daemons daemons(3);
        WinModel model(daemons);
        daemons.store.writeFaults = asDeque(*gen::container<std::vector<Fault>>(60, fault));
        daemons.store.readFaults = asDeque(*gen::container<std::vector<Fault>>(60, readFault));
        // Another daemon may claim, sweep or pass time between a read and the write that follows it.
        const auto between = *gen::container<std::vector<Step>>(60, step);
        const auto interrupts = *gen::container<std::vector<bool>>(60, gen::arbitrary<bool>());
        size_t reads = 0;
        bool interrupted = false;
        daemons.store.beforeRead = [&] {
            const size_t i = reads++;
            if (i < between.size() && interrupts[i] && !interrupted && between[i].action != 2) {
                interrupted = true;
                runStep({ between[i].action, 3, between[i].key }, daemons, model);
                interrupted = false;
            }
        };
        daemons.ledgers.push_back(std::make_unique<Ledger>(daemons.store, daemons.clock, daemons.wall, manualOptions("interrupting")));
        for (const Step &next : *gen::container<std::vector<Step>>(60, step)) {
            runStep(next, daemons, model);
        }
        daemons.store.beforeRead = nullptr;
        daemons.settle();
        daemons.store.deliverLate(true);
        for (const std::string key : { "k0", "k1" }) {
            const ClaimState state = daemons.claim(0, key).state;
            RC_LOG() << key << ' ' << nameOf(state) << ' ' << storeprotocol::serialiseReadResponse(*daemons.store.memory.readPrefix("claim"));
            RC_ASSERT((state == ClaimState::Won) == !model.blocks(key));
        }
    }));
}

TEST_CASE("ClaimLedger.insertArrivesAfterRelease.doesNotBlockTheKey", "[claims]")
{
    // Guards against a caller told "not run" whose resend is refused for a day.
    Daemons daemons(2);
    daemons.store.writeFaults = { Fault::Late };
    daemons.store.readFaults = { Fault::Refused };
    CHECK(daemons.claim(0).state == ClaimState::Unavailable);
    CHECK(daemons.ledgers[0]->pendingUpdates() == 1);
    daemons.ledgers[0]->writePendingBatch();
    daemons.store.deliverLate(true);
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.answerToInsertLost.isWonAfterReadingBack", "[claims]")
{
    // Guards against a refusal of a request whose claim is in force.
    Daemons daemons(2);
    daemons.store.writeFaults = { Fault::LostAnswer };
    const ClaimOutcome answer = daemons.claim(0);
    CHECK(answer.state == ClaimState::Won);
    CHECK(ClaimRow::fromJson(daemons.store.memory.readPrefix("claim/")->front().value)->claimId == answer.claimId);
    CHECK(daemons.claim(1).state == ClaimState::Unresolved);
}

TEST_CASE("ClaimLedger.resendAfterRun.getsTheRecordedResult", "[claims]")
{
    // Guards against a resend that is run again, or answered with another body than the first.
    Daemons daemons(2);
    const ClaimOutcome won = daemons.claim(0);
    std::string bytes = "Παλέτα";
    bytes += std::string("\0\xff", 2);
    daemons.ledgers[1]->recordResult("ordering", "k", won.claimId, 1, resultWith(bytes));
    daemons.ledgers[1]->writePendingBatch();
    const ClaimOutcome resent = daemons.claim(1);
    REQUIRE(resent.state == ClaimState::Done);
    REQUIRE(resent.result);
    CHECK(resent.result->body == bytes);
    CHECK(resent.result->headers == resultWith("").headers);
    CHECK(resent.result->status == 201);
    CHECK(daemons.claim(0, "k", 2).state == ClaimState::KeyMismatch);

    const ClaimOutcome large = daemons.claim(0, "large");
    daemons.ledgers[0]->recordResult("ordering", "large", large.claimId, 1, resultWith(std::string(ClaimRow::MaxRecordedBodyBytes + 1, 'x')));
    daemons.ledgers[0]->writePendingBatch();
    const ClaimOutcome tooLarge = daemons.claim(1, "large");
    CHECK(tooLarge.state == ClaimState::Done);
    CHECK_FALSE(tooLarge.result);
    CHECK(tooLarge.recordedStatus == 201);
}

TEST_CASE("ClaimLedger.holderPausedForHours.isStillTheOnlyHolder", "[claims]")
{
    // Guards against a takeover while the holder may still dispatch.
    Daemons daemons(2);
    const ClaimOutcome won = daemons.claim(0);
    daemons.pass(23h);
    CHECK(daemons.claim(1).state == ClaimState::Unresolved);
    daemons.ledgers[0]->release("ordering", "k", won.claimId);
    daemons.ledgers[0]->writePendingBatch();
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.expiredRowSweptDuringTakeover.isNotTakenTwice", "[claims]")
{
    // Guards against a version that repeats after a deletion: the late takeover would overwrite the new claim.
    Daemons daemons(2);
    REQUIRE(daemons.claim(0).state == ClaimState::Won);
    daemons.pass(26h);
    daemons.store.writeFaults = { Fault::None, Fault::Late };
    daemons.store.readFaults = { Fault::None, Fault::None, Fault::Refused };
    REQUIRE(daemons.claim(0).state == ClaimState::Unavailable);
    daemons.sweep();
    const ClaimOutcome won = daemons.claim(1);
    REQUIRE(won.state == ClaimState::Won);
    daemons.store.deliverLate(true);
    CHECK(ClaimRow::fromJson(daemons.store.memory.readPrefix("claim/")->front().value)->claimId == won.claimId);
}

TEST_CASE("ClaimLedger.lateInsertOverExpiredRowThatIsSwept.doesNotBlockTheKey", "[claims]")
{
    // Guards against a release that relies on an expired row, which the sweeper deletes before the late insert arrives.
    Daemons daemons(2);
    REQUIRE(daemons.claim(0).state == ClaimState::Won);
    daemons.pass(26h);
    daemons.store.writeFaults = { Fault::Late };
    REQUIRE(daemons.claim(0).state == ClaimState::Unavailable);
    daemons.ledgers[0]->writePendingBatch();
    REQUIRE(daemons.ledgers[0]->pendingUpdates() == 0);
    daemons.sweep();
    daemons.store.deliverLate(true);
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.storeDownForAnHour.backgroundWritesAreFew", "[claims]")
{
    // Guards against a retry storm of background writes.
    Daemons daemons(1);
    const ClaimOutcome won = daemons.claim(0);
    daemons.ledgers[0]->release("ordering", "k", won.claimId);
    daemons.store.writeFaults = std::deque<Fault>(100'000, Fault::Refused);
    daemons.store.transactions = 0;
    for (int tick = 0; tick < 360'000; ++tick) {
        daemons.pass(10ms);
        daemons.ledgers[0]->writePendingBatch();
    }
    // One in 5 s at most (half of the longest pause), after eight shorter pauses.
    CHECK(daemons.store.transactions <= 728);
    CHECK(daemons.ledgers[0]->pendingUpdates() == 1);
    daemons.store.writeFaults.clear();
    daemons.pass(10s);
    daemons.ledgers[0]->writePendingBatch();
    CHECK(daemons.ledgers[0]->pendingUpdates() == 0);
    CHECK(daemons.claim(0).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.manyThreadsClaimTheSameKeys.oneWinsEachAndTransactionsAreShared", "[claims]")
{
    // Guards against two wins in one batch, a caller left without an answer, and a transaction for each claim.
    MemoryStore store;
    const SteadyClock clock;
    const SystemWallClock wall;
    ClaimOptions options;
    options.daemon = "d";
    ClaimLedger<MemoryStore, SteadyClock> ledger(store, clock, wall, options);
    constexpr int Keys = 20;
    std::atomic<int> won { 0 };
    std::atomic<int> unresolved { 0 };
    std::vector<std::thread> threads;
    for (int t = 0; t < 16; ++t) {
        threads.emplace_back([&] {
            for (int k = 0; k < Keys; ++k) {
                const ClaimOutcome answer = ledger.claim("ordering", std::to_string(k), 1, Window, Deadline::after(clock.now(), 60s));
                won += answer.state == ClaimState::Won ? 1 : 0;
                unresolved += answer.state == ClaimState::Unresolved ? 1 : 0;
                if (answer.state == ClaimState::Won) {
                    ledger.recordResult("other", "absent", answer.claimId, 1, resultWith("x"));
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(won == Keys);
    CHECK(unresolved == 15 * Keys);
    CHECK(store.counts().rows == 16 * Keys);
    CHECK(store.counts().writes < 16 * Keys / 2);
    CHECK(ledger.flush(60s));
}

TEST_CASE("BatchDelay.rateLimitMet.growsToACapAndShrinksAgain", "[claims]")
{
    // Guards against batches that keep hitting the rate limit, and against a delay that stays long afterwards.
    BatchDelay delay(2ms);
    for (int i = 0; i < 20; ++i) {
        delay.onBatchFailed();
    }
    CHECK(delay.current() == 250ms);
    for (int i = 0; i < 100; ++i) {
        delay.onBatchAccepted();
    }
    CHECK(delay.current() == 2ms);
    CHECK_FALSE(delay.isAboveMinimum());
}

TEST_CASE("ClaimLedger.callerLeavesBeforeTheAnswer.claimIsReleased", "[claims]")
{
    // Guards against a claim that stays after its caller was told "not run".
    struct SlowStore : MemoryStore {
        std::atomic<bool> entered { false };
        std::atomic<bool> go { false };

        std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic)
        {
            entered = true;
            while (!go) {
                std::this_thread::yield();
            }
            return MemoryStore::transact(ops, atomic);
        }
    };
    struct SharedClock {
        std::atomic<int64_t> ms { 0 };

        TimePoint now() const
        {
            return TimePoint(std::chrono::milliseconds(ms.load()));
        }
    };
    SlowStore store;
    SharedClock clock;
    const SystemWallClock wall;
    ClaimOptions options;
    options.daemon = "d";
    ClaimLedger<SlowStore, SharedClock> ledger(store, clock, wall, options);
    std::thread caller([&] { CHECK(ledger.claim("ordering", "k", 1, Window, Deadline::after(clock.now(), 1s)).state == ClaimState::Unavailable); });
    while (!store.entered) {
        std::this_thread::yield();
    }
    clock.ms = 1000;
    caller.join();
    store.go = true;
    const auto later = [&] {
        return Deadline::after(clock.now(), 60s);
    };
    ClaimState state = ClaimState::Unresolved;
    for (int attempt = 0; attempt < 2000 && state == ClaimState::Unresolved; ++attempt) {
        state = ledger.claim("ordering", "k", 1, Window, later()).state;
    }
    CHECK(state == ClaimState::Won);
}
