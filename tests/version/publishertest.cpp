#include "version/publisher.h"

#include "../../tools/standin-store/memorystore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace carobjunction;

namespace
{

/** Store in memory whose calls fail as listed, one entry a call. */
struct FakeStore {
    enum class Fault {
        None,
        Refused, /**< The call has no effect, and the caller knows it. */
        Dropped, /**< The call has no effect and no answer. */
        AnswerLost, /**< The call takes effect, but has no answer. */
        Late, /**< The call has no answer, and takes effect before the next write. */
    };

    MemoryStore memory;
    std::vector<Fault> transactFaults;
    std::vector<Fault> readFaults;
    std::vector<Fault> objectFaults;
    std::vector<StoreOp> late;
    std::vector<std::string> appliedIds; /**< Publish ids of the writes that took effect, in order. */
    std::function<void()> beforeTransact;

    static Fault next(std::vector<Fault> &faults)
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
        if (!late.empty()) {
            apply(std::exchange(late, {}));
        }
        const Fault fault = next(transactFaults);
        if (fault == Fault::Late) {
            late = ops;
        }
        if (fault == Fault::AnswerLost) {
            apply(ops);
        }
        return fault == Fault::None ? apply(ops) : std::nullopt;
    }

    std::optional<std::vector<StoreRow>> read(const std::vector<std::string> &keys)
    {
        return next(readFaults) == Fault::None ? memory.read(keys) : std::nullopt;
    }

    std::optional<std::vector<StoreRow>> readPrefix(const std::string &prefix)
    {
        return memory.readPrefix(prefix);
    }

    bool putObject(const std::string &name, const std::string &bytes)
    {
        const Fault fault = next(objectFaults);
        if (fault == Fault::None || fault == Fault::AnswerLost) {
            memory.putObject(name, bytes);
        }
        return fault == Fault::None;
    }

    std::optional<std::string> getObject(const std::string &name)
    {
        return memory.getObject(name);
    }

    /** Version of the row of `ordering`, 0 if absent. */
    uint64_t version()
    {
        const auto rows = memory.read({ "config/ordering" });
        return rows->empty() ? 0 : rows->front().version;
    }
};

using Fault = FakeStore::Fault;

std::string fileWithSlots(int slots)
{
    return "service: ordering\ntargets:\n  slots: " + std::to_string(slots) + "\nroutes: [{method: GET, path: /stock, idempotent: yes}]\n";
}

PublishRequest request(int slots, const std::string &publisher, const std::string &token)
{
    PublishRequest result;
    result.text = fileWithSlots(slots);
    result.file = "f.yaml";
    result.publisher = publisher;
    result.publishedAtMs = 1000;
    result.token = token;
    return result;
}

/** Configuration in force, as publisher and content. Fails if the row names content that is not there. */
std::pair<std::string, std::string> inForce(FakeStore &store)
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
    // Guards against two operators' changes being mixed, and against a loser that is told nothing of the winner.
    FakeStore store;
    Publisher publisher(store);
    REQUIRE(publisher.publish(request(9, "ana", "a0")).outcome == PublishOutcome::Published);
    PublishResult winner;
    store.beforeTransact = [&] {
        winner = Publisher(store).publish(request(10, "ben", "b0"));
    };
    const PublishResult loser = publisher.publish(request(11, "ana", "a1"));
    CHECK(winner.outcome == PublishOutcome::Published);
    CHECK(loser.outcome == PublishOutcome::Conflict);
    REQUIRE(loser.inForce);
    CHECK(loser.inForce->publisher == "ben");
    CHECK(loser.inForce->publishedAtMs == 1000);
    CHECK(loser.inForce->version == 2);
    CHECK(loser.difference == std::vector<std::string> { "-  slots: 10", "+  slots: 11" });
    CHECK_FALSE(loser.mayHaveBeenInForce);
    CHECK(inForce(store) == std::pair<std::string, std::string>("ben", fileWithSlots(10)));
}

TEST_CASE("Publisher.sameContentAgain.makesNoNewVersion")
{
    // Guards against versions that change nothing.
    FakeStore store;
    Publisher publisher(store);
    const PublishResult first = publisher.publish(request(9, "ana", "a0"));
    const PublishResult second = publisher.publish(request(9, "ben", "b0"));
    CHECK(second.outcome == PublishOutcome::Unchanged);
    CHECK(second.inForce->version == 1);
    CHECK(second.inForce->publisher == "ana");
    CHECK(publisher.publish(request(10, "ana", "a1")).inForce->version == 2);
    CHECK(publisher.publish(request(9, "ana", "a2")).inForce->version == 3);
    CHECK(publisher.inForce("")->front().hash == first.hash);
}

TEST_CASE("Publisher.lostAnswers.areResolvedByThePublishId")
{
    // Guards against a second version, or a false failure, after a write whose answer was lost.
    FakeStore store;
    Publisher publisher(store);
    for (const Fault fault : { Fault::Refused, Fault::AnswerLost, Fault::Dropped, Fault::Late }) {
        const uint64_t before = store.version();
        store.transactFaults = { fault };
        const PublishResult result = publisher.publish(request(10 + static_cast<int>(before), "ana", "a0"));
        CHECK(result.outcome == PublishOutcome::Published);
        CHECK(result.inForce->version == before + 1);
        CHECK(store.version() == before + 1);
    }
}

TEST_CASE("Publisher.unresolvedPublishing.isResumedWithoutOverwriting")
{
    // Guards against a resumed publishing that reverts what another operator published in between.
    FakeStore store;
    Publisher publisher(store);
    std::string announced;
    PublishRequest ana = request(9, "ana", "a0");
    ana.onPublishId = [&announced](const std::string &id) {
        announced = id;
    };
    store.transactFaults = { Fault::Dropped, Fault::Dropped, Fault::Dropped };
    store.readFaults = { Fault::None, Fault::Dropped, Fault::Dropped, Fault::Dropped };
    const PublishResult unresolved = publisher.publish(ana);
    CHECK(unresolved.outcome == PublishOutcome::Unresolved);
    CHECK(unresolved.publishId == "0-a0");
    CHECK(announced == "0-a0");
    ana.resumeId = PublishId::fromString(unresolved.publishId);
    SECTION("alone")
    {
        CHECK(publisher.publish(ana).outcome == PublishOutcome::Published);
        CHECK(publisher.publish(ana).outcome == PublishOutcome::Published);
        CHECK(store.version() == 1);
    }
    SECTION("after another publishing")
    {
        REQUIRE(publisher.publish(request(10, "ben", "b0")).outcome == PublishOutcome::Published);
        const PublishResult resumed = publisher.publish(ana);
        CHECK(resumed.outcome == PublishOutcome::Conflict);
        CHECK_FALSE(resumed.mayHaveBeenInForce);
        REQUIRE(publisher.publish(request(11, "ben", "b1")).outcome == PublishOutcome::Published);
        CHECK(publisher.publish(ana).mayHaveBeenInForce);
        CHECK(inForce(store).first == "ben");
    }
}

TEST_CASE("Publisher.invalidFileOrStoreDown.writesNothing")
{
    // Guards against a row that is written before the file is checked or the content is stored.
    FakeStore store;
    Publisher publisher(store);
    PublishRequest invalid = request(0, "ana", "a0");
    CHECK(publisher.publish(invalid).outcome == PublishOutcome::Invalid);
    CHECK(publisher.publish(invalid).faults.size() == 1);
    store.readFaults = { Fault::Dropped };
    CHECK(publisher.publish(request(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    store.objectFaults = { Fault::Dropped, Fault::Dropped, Fault::Dropped };
    CHECK(publisher.publish(request(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    CHECK(store.memory.counts().writes == 0);
    store.transactFaults = { Fault::Refused, Fault::Refused, Fault::Refused };
    CHECK(publisher.publish(request(9, "ana", "a0")).outcome == PublishOutcome::StoreUnavailable);
    store.objectFaults = { Fault::AnswerLost };
    CHECK(publisher.publish(request(9, "ana", "a0")).outcome == PublishOutcome::Published);
}

TEST_CASE("Publisher.randomFaults.neverMixOrMisreport")
{
    // Guards against outcomes that disagree with the store after any order of lost answers.
    CHECK(rc::check([] {
        const auto faults
            = rc::gen::container<std::vector<Fault>>(rc::gen::element(Fault::None, Fault::Refused, Fault::Dropped, Fault::AnswerLost, Fault::Late));
        FakeStore store;
        for (int i = 0; i < 8; ++i) {
            store.transactFaults = *faults;
            store.readFaults = *faults;
            const PublishResult result = Publisher(store).publish(request(1 + i, "ana", "a" + std::to_string(i)));
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
    // Guards against differences that leave out a changed line.
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
