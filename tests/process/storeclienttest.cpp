#include "process/storeclient.h"

#include "../../tools/standin-store/standinstoreserver.h"
#include "scriptedstore.h"

#include <catch2/catch.hpp>

using namespace carobjunction;

namespace
{

/** Stand-in store that runs on its own thread and listens on a free port. */
class RunningStandinStore
{
public:
    RunningStandinStore() : m_port(server.bind("127.0.0.1", 0)), m_thread([this] { server.run(); })
    {
        while (!server.isRunning()) {
            std::this_thread::yield();
        }
    }

    ~RunningStandinStore()
    {
        server.stop();
        m_thread.join();
    }

    std::unique_ptr<StoreClient> createClient() const
    {
        StoreClientOptions options;
        options.address = "127.0.0.1:" + std::to_string(m_port);
        options.breaker = { 3, std::chrono::milliseconds(1), std::chrono::milliseconds(2), 1 };
        return StoreClient::create(options);
    }

    StandinStoreServer server { 32 };

private:
    int m_port;
    std::thread m_thread;
};

} // namespace

TEST_CASE("StoreClient.connectionLostAfterWrite.saysThatItMayHaveTakenEffect", "[store]")
{
    // Guards against a write that is reported as not applied although the store has committed it.
    RunningStandinStore standin;
    const auto client = standin.createClient();
    standin.server.setFaults({ "up", {}, 1.0 });
    CHECK_FALSE(client->transact({ { "claim/a", 0, nlohmann::json { { "x", "δίσκος" } } } }, false));
    CHECK(LastError<StoreError>::get().mayHaveTakenEffect);
    standin.server.setFaults({});
    const auto rows = client->read({ "claim/a", "claim/b" });
    REQUIRE(rows);
    REQUIRE(rows->size() == 1);
    CHECK(rows->front().version == 1);
    CHECK(rows->front().value == nlohmann::json { { "x", "δίσκος" } });
    CHECK(client->readPrefix("claim/")->size() == 1);
}

TEST_CASE("StoreClient.atomicTransactionWithOneStaleVersion.changesNothing", "[store]")
{
    // Guards against a fenced transaction of which only some operations are applied.
    RunningStandinStore standin;
    const auto client = standin.createClient();
    REQUIRE(client->transact({ { "lease/a", std::nullopt, nlohmann::json(1) } }, true)->committed);
    const auto refused = client->transact({ { "seeds/a", std::nullopt, nlohmann::json(2) }, { "lease/a", 7, nlohmann::json(3) } }, true);
    REQUIRE(refused);
    CHECK_FALSE(refused->committed);
    CHECK(refused->results[1].version == 1);
    CHECK(client->readPrefix("seeds/")->empty());
    const auto split = client->transact({ { "seeds/a", 0, nlohmann::json(2) }, { "lease/a", 7, nlohmann::json(3) } }, false);
    REQUIRE(split);
    CHECK(split->results[0].applied);
    CHECK_FALSE(split->results[1].applied);
}

TEST_CASE("StoreClient.errors.areReported", "[store]")
{
    // Guards against a missing object that is reported as an outage, and against an overload that is reported as a write with an unknown result.
    RunningStandinStore standin;
    const auto client = standin.createClient();
    CHECK_FALSE(client->getObject("config-0"));
    CHECK(LastError<StoreError>::get().code == StoreErrorCode::NotFound);
    REQUIRE(client->putObject("config-0", std::string("a\0b", 3)));
    CHECK(client->getObject("config-0") == std::string("a\0b", 3));
    standin.server.setFaults({ "up", {}, 0, 0 });
    CHECK_FALSE(client->putObject("config-1", "x"));
    CHECK(LastError<StoreError>::get().code == StoreErrorCode::Overloaded);
    CHECK_FALSE(LastError<StoreError>::get().mayHaveTakenEffect);
}

TEST_CASE("StoreClient.outageEnds.callsAreMadeAgain", "[store]")
{
    // Guards against a client whose circuit breaker stays open after the store has recovered.
    RunningStandinStore standin;
    const auto client = standin.createClient();
    standin.server.setFaults({ "down" });
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(client->read({ "a" }));
        CHECK(LastError<StoreError>::get().code == StoreErrorCode::Unavailable);
    }
    standin.server.setFaults({});
    while (!client->read({ "a" })) {
        std::this_thread::yield();
    }
    CHECK(client->read({ "a" }));
}

TEST_CASE("CircuitBreaker.longOutageWithManyCallers.makesFewTrialsAndOneAtATime", "[store]")
{
    // Guards against a retry storm during an outage of the store and on its recovery.
    using Breaker = CircuitBreaker<ManualClock>;
    ManualClock clock;
    Breaker breaker(clock, { 3, std::chrono::milliseconds(100), std::chrono::seconds(8), 20261204 });
    int calls = 0;
    for (int tick = 0; tick < 600'000; ++tick) {
        clock.time += std::chrono::milliseconds(1);
        const Breaker::Permit permit = breaker.acquirePermit();
        if (permit == Breaker::Permit::Denied) {
            continue;
        }
        ++calls;
        if (permit == Breaker::Permit::Trial) {
            CHECK(breaker.acquirePermit() == Breaker::Permit::Denied);
        }
        breaker.recordResult(permit, false);
    }
    // At most one trial per 4 s (half of the maximum pause), after at most 3 failures and 7 shorter pauses.
    CHECK(calls <= 160);
    CHECK(calls >= 75);
    clock.time += std::chrono::seconds(8);
    const Breaker::Permit trial = breaker.acquirePermit();
    REQUIRE(trial == Breaker::Permit::Trial);
    CHECK(breaker.recordResult(trial, true) == Breaker::Change::Closed);
    CHECK(breaker.acquirePermit() == Breaker::Permit::Call);
}
