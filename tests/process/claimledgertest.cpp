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

ClaimOptions singleThreadedOptions(const std::string &daemon)
{
    ClaimOptions options;
    options.daemon = daemon;
    options.threads = ClaimThreads::Caller;
    options.seed = std::hash<std::string> {}(daemon);
    return options;
}

/** The ledgers of several daemons that share a store and clocks. */
struct DaemonGroup {
    explicit DaemonGroup(int count)
    {
        for (int i = 0; i < count; ++i) {
            ledgers.push_back(std::make_unique<Ledger>(store, clock, wall, singleThreadedOptions("d" + std::to_string(i))));
        }
    }

    ClaimOutcome claim(size_t daemon, const std::string &key = "k", uint64_t fingerprint = 1)
    {
        return ledgers[daemon]->claim("ordering", key, fingerprint, Window, Deadline::after(clock.now(), 1s));
    }

    void advanceTime(Duration time)
    {
        clock.time += time;
        wall.ms += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    /** Writes all pending updates of the ledgers. The store executes these writes without faults. */
    void flushWithoutFaults()
    {
        store.writeFaults.clear();
        store.readFaults.clear();
        for (int round = 0; round < 20; ++round) {
            advanceTime(20s);
            for (const auto &ledger : ledgers) {
                ledger->writePendingBatch();
            }
        }
        for (const auto &ledger : ledgers) {
            RC_ASSERT(ledger->pendingUpdates() == 0U);
        }
    }

    /** Deletes expired claim rows in the same way as ClaimSweeper. */
    void sweepDeletableRows()
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

CallResult makeResult(const std::string &body)
{
    CallResult result;
    result.outcome = Outcome::Ran;
    result.status = 201;
    result.headers = { { "Content-Type", "text/plain" }, { "X-Bytes", "\xff\x80" } };
    result.body = body;
    return result;
}

/** Reference model that tracks which keys are claimed, and asserts that no claimed key is won again. */
class ClaimModel
{
public:
    explicit ClaimModel(DaemonGroup &daemons) : m_daemons(daemons)
    {
    }

    bool isClaimed(const std::string &key) const
    {
        const auto win = m_wins.find(key);
        return win != m_wins.end() && m_daemons.wall.ms < win->second.atMs + WindowMs;
    }

    void claim(size_t daemon, const std::string &key)
    {
        const ClaimOutcome answer = m_daemons.claim(daemon, key);
        if (answer.state == ClaimState::Won) {
            RC_ASSERT(!isClaimed(key));
            m_wins[key] = { answer.claimId, m_daemons.wall.ms, false };
        }
    }

    void release(size_t daemon, const std::string &key)
    {
        const auto win = m_wins.find(key);
        if (win != m_wins.end() && !win->second.hasResult) {
            m_daemons.ledgers[daemon]->release("ordering", key, win->second.claimId);
            m_wins.erase(win);
        }
    }

    void complete(size_t daemon, const std::string &key)
    {
        const auto win = m_wins.find(key);
        if (win != m_wins.end()) {
            m_daemons.ledgers[daemon]->recordResult("ordering", key, win->second.claimId, 1, makeResult("x"));
            win->second.hasResult = true;
        }
    }

private:
    struct Win {
        std::string claimId;
        int64_t atMs = 0;
        bool hasResult = false;
    };

    DaemonGroup &m_daemons;
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

void runStep(const Step &step, DaemonGroup &daemons, ClaimModel &model)
{
    const std::string key = "k" + std::to_string(step.key);
    switch (step.action) {
    case 0:
        return model.release(step.daemon, key);
    case 1:
        return model.complete(step.daemon, key);
    case 2:
        daemons.ledgers[step.daemon]->writePendingBatch();
        return;
    case 3:
        return daemons.store.applyDelayedWrites(step.key == 0);
    case 4:
        return daemons.advanceTime(200ms);
    case 5:
        // Plain writes take effect within a limited time, so the late ones are applied before time advances. Transactions that are conditional
        // on the sweep row may take effect at any later time.
        daemons.store.applyDelayedWrites(false);
        return daemons.advanceTime(step.key == 0 ? Duration(24h) : Duration(65min));
    case 6:
        return daemons.sweepDeletableRows();
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
    // Guards against a request that runs twice, such as a duplicate booking, and against a key that stays blocked by a claim without a
    // holder.
    CHECK(rc::check([] {
        using namespace rc;
        const auto fault = gen::weightedElement<InjectedFault>({ { 6, InjectedFault::None },
                                                                 { 1, InjectedFault::Refused },
                                                                 { 1, InjectedFault::LostRequest },
                                                                 { 2, InjectedFault::LostAnswer },
                                                                 { 3, InjectedFault::Delayed } });
        const auto readFault = gen::weightedElement<InjectedFault>({ { 4, InjectedFault::None }, { 1, InjectedFault::Refused } });
        const auto step = gen::construct<Step>(gen::inRange(0, 14), gen::inRange<size_t>(0, 3), gen::inRange(0, 2));
        DaemonGroup daemons(3);
        ClaimModel model(daemons);
        daemons.store.writeFaults = asDeque(*gen::container<std::vector<InjectedFault>>(60, fault));
        daemons.store.readFaults = asDeque(*gen::container<std::vector<InjectedFault>>(60, readFault));
        // Between a read of a daemon and its following write, another daemon may claim or sweep, or time may pass.
        const auto concurrentSteps = *gen::container<std::vector<Step>>(60, step);
        const auto runsConcurrentStep = *gen::container<std::vector<bool>>(60, gen::arbitrary<bool>());
        size_t reads = 0;
        bool isInConcurrentStep = false;
        daemons.store.onBeforeRead = [&] {
            const size_t i = reads++;
            if (i < concurrentSteps.size() && runsConcurrentStep[i] && !isInConcurrentStep && concurrentSteps[i].action != 2) {
                isInConcurrentStep = true;
                runStep({ concurrentSteps[i].action, 3, concurrentSteps[i].key }, daemons, model);
                isInConcurrentStep = false;
            }
        };
        daemons.ledgers.push_back(std::make_unique<Ledger>(daemons.store, daemons.clock, daemons.wall, singleThreadedOptions("interrupting")));
        for (const Step &next : *gen::container<std::vector<Step>>(60, step)) {
            runStep(next, daemons, model);
        }
        daemons.store.onBeforeRead = nullptr;
        daemons.flushWithoutFaults();
        daemons.store.applyDelayedWrites(true);
        for (const std::string key : { "k0", "k1" }) {
            const ClaimState state = daemons.claim(0, key).state;
            RC_LOG() << key << ' ' << nameOf(state) << ' ' << storeprotocol::serialiseReadResponse(*daemons.store.memory.readPrefix("claim"));
            RC_ASSERT((state == ClaimState::Won) == !model.isClaimed(key));
        }
    }));
}

TEST_CASE("ClaimLedger.insertArrivesAfterRelease.doesNotBlockTheKey", "[claims]")
{
    // Guards against a key that stays claimed for a day although its caller was told that the request did not run: the insert takes effect
    // after the claim was released.
    DaemonGroup daemons(2);
    daemons.store.writeFaults = { InjectedFault::Delayed };
    daemons.store.readFaults = { InjectedFault::Refused };
    CHECK(daemons.claim(0).state == ClaimState::Unavailable);
    CHECK(daemons.ledgers[0]->pendingUpdates() == 1);
    daemons.ledgers[0]->writePendingBatch();
    daemons.store.applyDelayedWrites(true);
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.answerToInsertLost.isWonAfterReadingBack", "[claims]")
{
    // Guards against the refusal of a request whose claim the store has committed, although its response was lost.
    DaemonGroup daemons(2);
    daemons.store.writeFaults = { InjectedFault::LostAnswer };
    const ClaimOutcome answer = daemons.claim(0);
    CHECK(answer.state == ClaimState::Won);
    CHECK(ClaimRow::fromJson(daemons.store.memory.readPrefix("claim/")->front().value)->claimId == answer.claimId);
    CHECK(daemons.claim(1).state == ClaimState::Unresolved);
}

TEST_CASE("ClaimLedger.resendAfterRun.getsTheRecordedResult", "[claims]")
{
    // Guards against a resent request that runs again, or whose response differs from that of the first request.
    DaemonGroup daemons(2);
    const ClaimOutcome won = daemons.claim(0);
    std::string bytes = "Παλέτα";
    bytes += std::string("\0\xff", 2);
    daemons.ledgers[1]->recordResult("ordering", "k", won.claimId, 1, makeResult(bytes));
    daemons.ledgers[1]->writePendingBatch();
    const ClaimOutcome resent = daemons.claim(1);
    REQUIRE(resent.state == ClaimState::Done);
    REQUIRE(resent.result);
    CHECK(resent.result->body == bytes);
    CHECK(resent.result->headers == makeResult("").headers);
    CHECK(resent.result->status == 201);
    CHECK(daemons.claim(0, "k", 2).state == ClaimState::KeyMismatch);

    const ClaimOutcome large = daemons.claim(0, "large");
    daemons.ledgers[0]->recordResult("ordering", "large", large.claimId, 1, makeResult(std::string(ClaimRow::MaxRecordedBodyBytes + 1, 'x')));
    daemons.ledgers[0]->writePendingBatch();
    const ClaimOutcome tooLarge = daemons.claim(1, "large");
    CHECK(tooLarge.state == ClaimState::Done);
    CHECK_FALSE(tooLarge.result);
    CHECK(tooLarge.recordedStatus == 201);
}

TEST_CASE("ClaimLedger.holderPausedForHours.isStillTheOnlyHolder", "[claims]")
{
    // Guards against a takeover of a claim while its holder may still dispatch the request.
    DaemonGroup daemons(2);
    const ClaimOutcome won = daemons.claim(0);
    daemons.advanceTime(23h);
    CHECK(daemons.claim(1).state == ClaimState::Unresolved);
    daemons.ledgers[0]->release("ordering", "k", won.claimId);
    daemons.ledgers[0]->writePendingBatch();
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.expiredRowSweptDuringTakeover.isNotTakenTwice", "[claims]")
{
    // Guards against a late takeover that overwrites a newer claim: a row that is deleted and inserted again starts with the same version
    // number, so the version alone does not distinguish the two rows.
    DaemonGroup daemons(2);
    REQUIRE(daemons.claim(0).state == ClaimState::Won);
    daemons.advanceTime(26h);
    daemons.store.writeFaults = { InjectedFault::None, InjectedFault::Delayed };
    daemons.store.readFaults = { InjectedFault::None, InjectedFault::None, InjectedFault::Refused };
    REQUIRE(daemons.claim(0).state == ClaimState::Unavailable);
    daemons.sweepDeletableRows();
    const ClaimOutcome won = daemons.claim(1);
    REQUIRE(won.state == ClaimState::Won);
    daemons.store.applyDelayedWrites(true);
    CHECK(ClaimRow::fromJson(daemons.store.memory.readPrefix("claim/")->front().value)->claimId == won.claimId);
}

TEST_CASE("ClaimLedger.lateInsertOverExpiredRowThatIsSwept.doesNotBlockTheKey", "[claims]")
{
    // Guards against a release that is omitted because an expired row prevents the late insert: the sweeper may delete that row before the
    // insert arrives.
    DaemonGroup daemons(2);
    REQUIRE(daemons.claim(0).state == ClaimState::Won);
    daemons.advanceTime(26h);
    daemons.store.writeFaults = { InjectedFault::Delayed };
    REQUIRE(daemons.claim(0).state == ClaimState::Unavailable);
    daemons.ledgers[0]->writePendingBatch();
    REQUIRE(daemons.ledgers[0]->pendingUpdates() == 0);
    daemons.sweepDeletableRows();
    daemons.store.applyDelayedWrites(true);
    CHECK(daemons.claim(1).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.storeDownForAnHour.backgroundWritesAreFew", "[claims]")
{
    // Guards against background writes that are retried too often while the store is failing.
    DaemonGroup daemons(1);
    const ClaimOutcome won = daemons.claim(0);
    daemons.ledgers[0]->release("ordering", "k", won.claimId);
    daemons.store.writeFaults = std::deque<InjectedFault>(100'000, InjectedFault::Refused);
    daemons.store.transactionCount = 0;
    for (int tick = 0; tick < 360'000; ++tick) {
        daemons.advanceTime(10ms);
        daemons.ledgers[0]->writePendingBatch();
    }
    // At most one write per 5 s, half of the maximum backoff, after eight shorter backoffs.
    CHECK(daemons.store.transactionCount <= 728);
    CHECK(daemons.ledgers[0]->pendingUpdates() == 1);
    daemons.store.writeFaults.clear();
    daemons.advanceTime(10s);
    daemons.ledgers[0]->writePendingBatch();
    CHECK(daemons.ledgers[0]->pendingUpdates() == 0);
    CHECK(daemons.claim(0).state == ClaimState::Won);
}

TEST_CASE("ClaimLedger.manyThreadsClaimTheSameKeys.oneWinsEachAndTransactionsAreShared", "[claims]")
{
    // Guards against two claims of a batch that win the same key, claims without an outcome, and a separate transaction for each claim.
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
                    ledger.recordResult("other", "absent", answer.claimId, 1, makeResult("x"));
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
    // Guards against batches that the store keeps refusing because of its rate limit, and against a delay that stays long afterwards.
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

TEST_CASE("ClaimLedger.claimDeadlinePassesBeforeTheCommit.claimIsReleased", "[claims]")
{
    // Guards against a key that stays claimed although its caller was told that the request did not run: the store commits the claim after
    // its deadline.
    struct SlowStore : MemoryStore {
        std::atomic<bool> isTransactRunning { false };
        std::atomic<bool> mayTransact { false };

        std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool atomic)
        {
            isTransactRunning = true;
            while (!mayTransact) {
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
    while (!store.isTransactRunning) {
        std::this_thread::yield();
    }
    clock.ms = 1000;
    caller.join();
    store.mayTransact = true;
    const auto later = [&] {
        return Deadline::after(clock.now(), 60s);
    };
    ClaimState state = ClaimState::Unresolved;
    for (int attempt = 0; attempt < 2000 && state == ClaimState::Unresolved; ++attempt) {
        state = ledger.claim("ordering", "k", 1, Window, later()).state;
    }
    CHECK(state == ClaimState::Won);
}

TEST_CASE("StoreProtocol.textThatIsNotUtf8.isReplacedInResponses")
{
    // Guards against an exception that ends the connection of a store client because of one row with an odd key.
    CHECK_NOTHROW(storeprotocol::serialiseReadResponse({ { "\xff", 1, nlohmann::json("\xfe") } }));
    TransactResult result;
    result.results.push_back({ true, 1, nlohmann::json("\xfe") });
    CHECK_NOTHROW(storeprotocol::serialiseTransactResponse(result));
}
