#include "version/publisher.h"

#include "../../tools/standin-store/memorystore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace carobjunction;

namespace
{

/** In-memory store with injected faults. Each call consumes the next entry of the fault list of its kind; calls succeed if the list is empty. */
struct FakeStore {
    enum class Fault {
        None,
        Refused, /**< The call has no effect and fails with a definite error. */
        Dropped, /**< The call has no effect, and no response arrives. */
        AnswerLost, /**< The call takes effect, but the response is lost. */
        Delayed, /**< No response arrives, and the call takes effect just before the next write. */
    };

    MemoryStore memory;
    std::vector<Fault> transactFaults;
    std::vector<Fault> readFaults;
    std::vector<Fault> objectFaults;
    std::vector<StoreOp> delayedOps;
    std::vector<std::string> appliedIds; /**< Publish ids of the writes that took effect, in order. */
    std::function<void()> beforeTransact;

    static Fault takeFault(std::vector<Fault> &faults)
    {
        if (faults.empty()) {
            return Fault::None;
        }
        const Fault fault = faults.front();
        faults.erase(faults.begin());
        LastError<StoreError>::fail({ StoreErrorCode::Timeout, fault != Fault::Refused, "fault" });
        return fault;
    }

    std::optional<TransactResult> apply(const std::vector<StoreOp> &ops)
    {
        auto result = memory.transact(ops, true);
        if (result->committed) {
            appliedIds.push_back(ops.at(0).value.value().at("publish_id"));
        }
        return result;
    }

    std::optional<TransactResult> transact(const std::vector<StoreOp> &ops, bool /*atomic*/)
    {
        if (beforeTransact) {
            std::exchange(beforeTransact, nullptr)();
        }
        if (!delayedOps.empty()) {
            apply(std::exchange(delayedOps, {}));
        }
        const Fault fault = takeFault(transactFaults);
        if (fault == Fault::Delayed) {
            delayedOps = ops;
        }
        if (fault == Fault::AnswerLost) {
            apply(ops);
        }
        return fault == Fault::None ? apply(ops) : std::nullopt;
    }

    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys)
    {
        return takeFault(readFaults) == Fault::None ? memory.read(keys) : std::nullopt;
    }

    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix)
    {
        return memory.readPrefix(prefix);
    }

    bool putObject(const std::string &name, const std::string &bytes)
    {
        const Fault fault = takeFault(objectFaults);
        if (fault == Fault::None || fault == Fault::AnswerLost) {
            memory.putObject(name, bytes);
        }
        return fault == Fault::None;
    }

    std::optional<std::string> getObject(const std::string &name)
    {
        return memory.getObject(name);
    }

    /** @return version of the row of the service `ordering`, 0 if it is absent */
    uint64_t version()
    {
        const auto rows = memory.read({ "config/ordering" });
        return rows->empty() ? 0 : rows->front().version;
    }
};

using Fault = FakeStore::Fault;

std::string configWithSlots(int slots)
{
    return "service: ordering\ntargets:\n  slots: " + std::to_string(slots) + "\nroutes: [{method: GET, path: /stock, idempotent: yes}]\n";
}

PublishRequest makeRequest(int slots, const std::string &publisher, const std::string &token)
{
    PublishRequest result;
    result.text = configWithSlots(slots);
    result.file = "f.yaml";
    result.publisher = publisher;
    result.publishedAtMs = 1000;
    result.token = token;
    return result;
}

/** @return publisher and content of the configuration in force. Fails the test if the content is missing from the store. */
std::pair<std::string, std::string> readInForce(FakeStore &store)
{
    Publisher publisher(store);
    const auto configs = publisher.inForce("ordering");
    REQUIRE(configs);
    REQUIRE(configs->size() == 1);
    const auto text = publisher.content(configs->front().hash);
    REQUIRE(text);
    return { configs->front().publisher, *text };
}

} // namespace

TEST_CASE("Publisher.concurrentPublishers.oneWinsWhole")
{
    // Guards against mixing the changes of two concurrent operators, and against a conflict that does not report the winning publication.
    FakeStore store;
    Publisher publisher(store);
    REQUIRE(publisher.publish(makeRequest(9, "ana", "a0")).outcome == PublishOutcome::Published);
    PublishResult winner;
    store.beforeTransact = [&] {
        winner = Publisher(store).publish(makeRequest(10, "ben", "b0"));
    };
    const PublishResult loser = publisher.publish(makeRequest(11, "ana", "a1"));
    CHECK(winner.outcome == PublishOutcome::Published);
    CHECK(loser.outcome == PublishOutcome::Conflict);
    REQUIRE(loser.inForce);
    CHECK(loser.inForce->publisher == "ben");
    CHECK(loser.inForce->publishedAtMs == 1000);
    CHECK(loser.inForce->version == 2);
    CHECK(loser.difference == std::vector<std::string> { "-  slots: 10", "+  slots: 11" });
    CHECK_FALSE(loser.mayHaveBeenInForce);
    CHECK(readInForce(store) == std::pair<std::string, std::string>("ben", configWithSlots(10)));
}

TEST_CASE("Publisher.sameContentAgain.makesNoNewVersion")
{
    // Guards against new versions with unchanged content.
    FakeStore store;
    Publisher publisher(store);
    const PublishResult first = publisher.publish(makeRequest(9, "ana", "a0"));
    const PublishResult second = publisher.publish(makeRequest(9, "ben", "b0"));
    CHECK(second.outcome == PublishOutcome::Unchanged);
    CHECK(second.inForce->version == 1);
    CHECK(second.inForce->publisher == "ana");
    CHECK(publisher.publish(makeRequest(10, "ana", "a1")).inForce->version == 2);
    CHECK(publisher.publish(makeRequest(9, "ana", "a2")).inForce->version == 3);
    CHECK(publisher.inForce("")->front().hash == first.hash);
}

TEST_CASE("Publisher.lostAnswers.areResolvedByThePublishId")
{
    // Guards against creating a second version or reporting failure after a write whose response was lost or that took effect late.
    FakeStore store;
    Publisher publisher(store);
    for (const Fault fault : { Fault::Refused, Fault::AnswerLost, Fault::Dropped, Fault::Delayed }) {
        const uint64_t before = store.version();
        store.transactFaults = { fault };
        const PublishResult result = publisher.publish(makeRequest(10 + static_cast<int>(before), "ana", "a0"));
        CHECK(result.outcome == PublishOutcome::Published);
        CHECK(result.inForce->version == before + 1);
        CHECK(store.version() == before + 1);
    }
}

TEST_CASE("Publisher.unresolvedPublishing.isResumedWithoutOverwriting")
{
    // Guards against a resumed publication that overwrites a version published by another operator in the meantime.
    FakeStore store;
    Publisher publisher(store);
    std::string announced;
    PublishRequest anaRequest = makeRequest(9, "ana", "a0");
    anaRequest.onPublishId = [&announced](const std::string &id) {
        announced = id;
    };
    store.transactFaults = { Fault::Dropped, Fault::Dropped, Fault::Dropped };
    store.readFaults = { Fault::None, Fault::Dropped, Fault::Dropped, Fault::Dropped };
    const PublishResult unresolved = publisher.publish(anaRequest);
    CHECK(unresolved.outcome == PublishOutcome::Unresolved);
    CHECK(unresolved.publishId == "0-a0");
    CHECK(announced == "0-a0");
    anaRequest.resumeId = PublishId::fromString(unresolved.publishId);
    SECTION("alone")
    {
        CHECK(publisher.publish(anaRequest).outcome == PublishOutcome::Published);
        CHECK(publisher.publish(anaRequest).outcome == PublishOutcome::Published);
        CHECK(store.version() == 1);
    }
    SECTION("after another publication")
    {
        REQUIRE(publisher.publish(makeRequest(10, "ben", "b0")).outcome == PublishOutcome::Published);
        const PublishResult resumed = publisher.publish(anaRequest);
        CHECK(resumed.outcome == PublishOutcome::Conflict);
        CHECK_FALSE(resumed.mayHaveBeenInForce);
        REQUIRE(publisher.publish(makeRequest(11, "ben", "b1")).outcome == PublishOutcome::Published);
        CHECK(publisher.publish(anaRequest).mayHaveBeenInForce);
        CHECK(readInForce(store).first == "ben");
    }
}

TEST_CASE("Publisher.invalidFileOrStoreDown.writesNothing")
{
    // Guards against writing the row before the file is validated and its content is stored.
    FakeStore store;
    Publisher publisher(store);
    PublishRequest invalid = makeRequest(0, "ana", "a0");
    CHECK(publisher.publish(invalid).outcome == PublishOutcome::Invalid);
    CHECK(publisher.publish(invalid).errors.size() == 1);
    store.readFaults = { Fault::Dropped };
    CHECK(publisher.publish(makeRequest(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    store.objectFaults = { Fault::Dropped, Fault::Dropped, Fault::Dropped };
    CHECK(publisher.publish(makeRequest(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    CHECK(store.memory.counts().writes == 0);
    store.transactFaults = { Fault::Refused, Fault::Refused, Fault::Refused };
    CHECK(publisher.publish(makeRequest(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    store.objectFaults = { Fault::AnswerLost };
    CHECK(publisher.publish(makeRequest(9, "ana", "a0")).outcome == PublishOutcome::Published);
}

TEST_CASE("Publisher.randomFaults.neverMixOrMisreport")
{
    // Guards against outcomes that contradict the stored rows after any sequence of faults, and against rows whose content is missing.
    CHECK(rc::check([] {
        const auto faults
            = rc::gen::container<std::vector<Fault>>(rc::gen::element(Fault::None, Fault::Refused, Fault::Dropped, Fault::AnswerLost, Fault::Delayed));
        FakeStore store;
        for (int i = 0; i < 8; ++i) {
            store.transactFaults = *faults;
            store.readFaults = *faults;
            const PublishResult result = Publisher(store).publish(makeRequest(1 + i, "ana", "a" + std::to_string(i)));
            const auto timesApplied = std::count(store.appliedIds.begin(), store.appliedIds.end(), result.publishId);
            const bool isInForce = timesApplied == 1 && store.appliedIds.back() == result.publishId;
            RC_ASSERT(timesApplied <= 1);
            RC_ASSERT((result.outcome != PublishOutcome::Published) || isInForce);
            RC_ASSERT((result.outcome != PublishOutcome::StoreUnavailable && result.outcome != PublishOutcome::Conflict) || timesApplied == 0);
        }
        const auto rows = store.memory.readPrefix("config/");
        for (const StoreRow &row : *rows) {
            RC_ASSERT(store.memory.getObject("config-" + row.value.at("hash").get<std::string>()).has_value());
        }
    }));
}

TEST_CASE("LineDiff.anyTexts.turnsOneIntoTheOther")
{
    // Guards against differences that omit a changed line.
    CHECK(rc::check([] {
        const auto line = rc::gen::element<std::string>("a\n", "b\n", "c\n");
        const auto lines = rc::gen::container<std::vector<std::string>>(line);
        const auto join = [](const std::vector<std::string> &parts) {
            std::string text;
            for (const std::string &part : parts) {
                text += part;
            }
            return text;
        };
        const auto before = *lines;
        const auto after = *lines;
        int balance = 0;
        for (const std::string &changed : diffLines(join(before), join(after))) {
            balance += changed.front() == '+' ? 1 : -1;
        }
        RC_ASSERT(balance == static_cast<int>(after.size()) - static_cast<int>(before.size()));
        RC_ASSERT(diffLines(join(before), join(before)).empty());
    }));
    CHECK(diffLines("a\nb\nc\n", "a\nx\nc\n") == std::vector<std::string> { "-b", "+x" });
    CHECK(diffLines("", "a") == std::vector<std::string> { "+a" });
}
