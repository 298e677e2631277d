#include "process/claimsweeper.h"
#include "process/seedregistrar.h"

#include "process/claimledger.h"
#include "scriptedstore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace carobjunction;
using namespace std::chrono_literals;

namespace
{

using TestLease = Lease<ScriptedStore, ManualClock, ManualWallClock>;

/** Lease holder with its own clocks, so that a test can pause one holder independently of the others. */
struct Holder {
    Holder(ScriptedStore &store, const std::string &name, const std::string &leaseName = "registrar-pilbara")
        : lease(store, clock, wall, { leaseName, name, 30s, 3s, 5s, 1 })
    {
    }

    void advanceTime(Duration time)
    {
        clock.time += time;
        wall.ms += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    ManualClock clock;
    ManualWallClock wall;
    TestLease lease;
};

StoreOp write(const std::string &key, const std::string &value)
{
    return { key, std::nullopt, nlohmann::json(value) };
}

nlohmann::json valueOf(ScriptedStore &store, const std::string &key)
{
    const auto rows = store.memory.read({ key });
    return rows->empty() ? nlohmann::json() : rows->front().value;
}

uint64_t versionOf(ScriptedStore &store, const std::string &key)
{
    const auto rows = store.memory.read({ key });
    return rows->empty() ? 0 : rows->front().version;
}

} // namespace

TEST_CASE("Lease.holderPausedPastExpiry.sendsNoTransaction", "[lease]")
{
    // Guards against a holder that resumes after a pause and writes to the store although another daemon may hold the lease by then.
    ScriptedStore store;
    Holder holder(store, "a");
    REQUIRE(holder.lease.acquire());
    const int before = store.transactionCount;
    SECTION("steady clock advanced during the pause")
    {
        holder.clock.time += 27s;
    }
    SECTION("steady clock stopped during the pause")
    {
        holder.wall.ms += 27'000;
    }
    CHECK_FALSE(holder.lease.transactFenced({ write("seeds/pilbara", "a") }));
    CHECK(LastError<LeaseError>::get().code == LeaseErrorCode::NotHeld);
    CHECK(store.transactionCount == before);
}

TEST_CASE("Lease.takeoverAfterTheHoldersCheck.lateWriteIsRefusedByTheStore", "[lease]")
{
    // Guards against a write that takes effect after another daemon has acquired the lease, although the writer held the lease when it sent
    // the write.
    ScriptedStore store;
    Holder paused(store, "a");
    Holder other(store, "b");
    REQUIRE(paused.lease.acquire());
    store.writeFaults = { InjectedFault::Delayed };
    store.readFaults = { InjectedFault::Refused };
    CHECK_FALSE(paused.lease.transactFenced({ write("seeds/pilbara", "late") }));
    other.advanceTime(33s);
    REQUIRE(other.lease.acquire());
    CHECK(other.lease.token() == paused.lease.token() + 1);
    REQUIRE(other.lease.transactFenced({ write("seeds/pilbara", "new") })->committed);
    store.applyDelayedWrites(true);
    CHECK(valueOf(store, "seeds/pilbara") == "new");
    // By its own clocks, the paused holder still holds the lease.
    REQUIRE(paused.lease.isHeld());
    CHECK_FALSE(paused.lease.transactFenced({ write("seeds/pilbara", "late") }));
    CHECK(LastError<LeaseError>::get().code == LeaseErrorCode::Fenced);
    CHECK_FALSE(paused.lease.isHeld());
    CHECK(valueOf(store, "seeds/pilbara") == "new");
}

TEST_CASE("Lease.heldByAnother.isTakenOnlyAfterExpiryAndMargin", "[lease]")
{
    // Guards against two simultaneous holders if the clocks of the daemons differ by less than the margin.
    ScriptedStore store;
    Holder first(store, "a");
    Holder second(store, "b");
    REQUIRE(first.lease.acquire());
    second.advanceTime(32s);
    CHECK_FALSE(second.lease.acquire());
    second.advanceTime(1s);
    CHECK(second.lease.acquire());
}

TEST_CASE("Lease.anyFaultsAndClocks.writesOfAFormerHolderNeverFollowThoseOfTheNext", "[lease]")
{
    // Guards against writes with an outdated fencing token after any sequence of lost responses, late writes and pauses.
    CHECK(rc::check([] {
        using namespace rc;
        ScriptedStore store;
        std::vector<std::unique_ptr<Holder>> holders;
        for (const char *name : { "a", "b", "c" }) {
            holders.push_back(std::make_unique<Holder>(store, name));
        }
        const auto fault = gen::weightedElement<InjectedFault>({ { 5, InjectedFault::None },
                                                                 { 1, InjectedFault::Refused },
                                                                 { 1, InjectedFault::LostRequest },
                                                                 { 2, InjectedFault::LostAnswer },
                                                                 { 3, InjectedFault::Delayed } });
        const auto script = *gen::container<std::vector<InjectedFault>>(80, fault);
        store.writeFaults = { script.begin(), script.end() };
        const auto reads = *gen::container<std::vector<InjectedFault>>(
            80, gen::weightedElement<InjectedFault>({ { 4, InjectedFault::None }, { 1, InjectedFault::Refused } }));
        store.readFaults = { reads.begin(), reads.end() };
        uint64_t largestToken = 0;
        for (const auto &[action, holderIndex] : *gen::container<std::vector<std::pair<int, int>>>(80, gen::pair(gen::inRange(0, 5), gen::inRange(0, 3)))) {
            Holder &holder = *holders[static_cast<size_t>(holderIndex)];
            if (action == 0) {
                // Pauses one holder: only its clocks advance.
                holder.advanceTime(20s);
            } else if (action == 1) {
                store.applyDelayedWrites(true);
            } else if (action == 2) {
                holder.lease.acquire();
            } else {
                const StoreOp op { "token", std::nullopt, nlohmann::json(holder.lease.token()) };
                holder.lease.transactFenced({ op });
            }
            const nlohmann::json written = valueOf(store, "token");
            if (written.is_number()) {
                RC_ASSERT(written.get<uint64_t>() >= largestToken);
                largestToken = written.get<uint64_t>();
            }
        }
    }));
}

TEST_CASE("SeedRegistrar.manyDaemonsTicking.writeAtMostOnceInTenSeconds", "[lease]")
{
    // Guards against a write rate that grows with the number of daemons, and against seeds that are no longer updated.
    ScriptedStore store;
    std::vector<std::unique_ptr<Holder>> holders;
    std::vector<std::unique_ptr<SeedRegistrar<ScriptedStore, ManualClock, ManualWallClock>>> registrars;
    for (int i = 0; i < 5; ++i) {
        holders.push_back(std::make_unique<Holder>(store, std::to_string(i)));
        Holder &holder = *holders.back();
        registrars.push_back(std::make_unique<SeedRegistrar<ScriptedStore, ManualClock, ManualWallClock>>(
            holder.lease, holder.clock, "pilbara", [] { return std::vector<std::string>(20, "127.0.0.1:1"); }));
    }
    for (int second = 0; second < 600; ++second) {
        for (size_t i = 0; i < holders.size(); ++i) {
            holders[i]->advanceTime(1s);
            if (second < 300 || !holders[i]->lease.isHeld()) {
                registrars[i]->tick(); // After five minutes, a daemon that gets the lease stops until the lease has expired, as if it had crashed.
            }
        }
    }
    CHECK(versionOf(store, "seeds/pilbara") <= 60);
    CHECK(versionOf(store, "seeds/pilbara") >= 30 + 5);
    const auto seeds = readSeeds(store);
    REQUIRE(seeds);
    CHECK(seeds->at("pilbara").size() == MaxSeeds);
}

TEST_CASE("ClaimSweeper.expiredAndLiveRows.deletesOnlyTheExpiredInBoundedBatches", "[lease]")
{
    // Guards against a table that grows without limit, against the deletion of a claim in force, and against bursts of deletions.
    ScriptedStore store;
    Holder holder(store, "a", "claim-sweeper");
    Holder other(store, "b", "claim-sweeper");
    ClaimOptions options;
    options.threads = ClaimThreads::Caller;
    ClaimLedger<ScriptedStore, ManualClock, ManualWallClock> ledger(store, holder.clock, holder.wall, options);
    const auto claim = [&](const std::string &key) {
        return ledger.claim("ordering", key, 1, 24h, Deadline::after(holder.clock.now(), 1s)).state == ClaimState::Won;
    };
    for (int i = 0; i < 350; ++i) {
        REQUIRE(claim("order-" + std::to_string(i)));
    }
    REQUIRE(claim("order-"));
    holder.advanceTime(24h + 59min);
    other.advanceTime(24h + 59min);
    REQUIRE(claim("live"));
    const auto services = [] {
        return std::vector<std::string> { "ordering", "dispatch" };
    };
    const ClaimSweeperOptions sweeperOptions;
    ClaimSweeper<ScriptedStore, ManualClock, ManualWallClock> sweeper(store, holder.lease, holder.clock, holder.wall, services, sweeperOptions);
    ClaimSweeper<ScriptedStore, ManualClock, ManualWallClock> idle(store, other.lease, other.clock, other.wall, services, sweeperOptions);
    const auto sweepFor = [&](Duration time) {
        for (Duration passed {}; passed < time; passed += 250ms) {
            const size_t before = store.memory.readPrefix("claim/")->size();
            sweeper.tick();
            idle.tick();
            CHECK(before - store.memory.readPrefix("claim/")->size() <= sweeperOptions.maxRowsPerBatch);
            holder.advanceTime(250ms);
            other.advanceTime(250ms);
        }
    };
    sweepFor(50s);
    CHECK(store.memory.readPrefix("claim/")->size() == 352);
    store.transactionCount = 0;
    sweepFor(10min);
    REQUIRE(store.memory.readPrefix("claim/")->size() == 1);
    CHECK(ClaimRow::rowKeyFor("ordering", "live") == store.memory.readPrefix("claim/")->front().key);
    // Four batches, and at most one renewal of the lease per 9 s.
    CHECK(store.transactionCount <= 4 + 67);
}

TEST_CASE("ClaimSweeper.prefixWithTooManyRows.isReadInPartsWithoutGaps", "[lease]")
{
    // Guards against reads whose size grows with the number of claims, and against rows that are not covered by any read.
    PrefixWalker walker;
    const std::vector<std::string> keys = { "a/", "a/o", "a/order-1", "a/order-2", "a/ ", "a/~", "b/x" };
    for (int pass = 0; pass < 12; ++pass) {
        walker.start({ "a/", "b/" });
        std::multiset<std::string> seen;
        while (!walker.atEnd()) {
            const PrefixWalker::PrefixRead step = walker.next();
            size_t rows = 0;
            for (const std::string &key : keys) {
                if (step.isExactKey ? key == step.keyOrPrefix : key.starts_with(step.keyOrPrefix)) {
                    seen.insert(key);
                    ++rows;
                }
            }
            if (rows > 1) {
                walker.markTooLarge(step.keyOrPrefix);
            }
            CHECK((pass < 11 || rows <= 1));
        }
        CHECK(seen == std::multiset<std::string>(keys.begin(), keys.end()));
    }
}
