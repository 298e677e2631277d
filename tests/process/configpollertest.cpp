#include "process/configpoller.h"
#include "process/memorycluster.h"

#include <catch2/catch.hpp>

using namespace carobjunction;
using namespace carobjunction::testing;

namespace
{

struct Row {
    std::string key;
    uint64_t version;
    nlohmann::json value;
};

/** In-memory store that counts the reads of its rows. */
struct FakeStore {
    std::optional<std::vector<Row>> readPrefix(const std::string &)
    {
        ++reads;
        return isDown ? std::nullopt : std::optional(rows);
    }

    std::optional<std::string> getObject(const std::string &name)
    {
        const auto found = objects.find(name);
        return isDown || found == objects.end() ? std::nullopt : std::optional(found->second);
    }

    void publish(uint64_t version, const std::string &content)
    {
        const std::string hash = ConfigTable::sha256(content);
        objects["config-" + hash] = content;
        rows = { { "config/ordering", version, { { "version", version }, { "hash", hash }, { "publisher", "tests" } } } };
    }

    std::vector<Row> rows;
    std::map<std::string, std::string> objects;
    bool isDown = false;
    int reads = 0;
};

struct PollerFixture {
    PollerFixture()
        : configs([](const std::string &, uint64_t version, const std::string &) {
            auto config = std::make_shared<ServiceConfig>();
            config->version = version;
            return config;
        })
        , poller(store,
                 clock,
                 configs,
                 { .randomSeed = 1 },
                 { [this] { return isRepresentative; },
                   [] { return false; },
                   [this] { ++polls; },
                   [this] {
                       ++acceptedChanges;
                   } })
    {
    }

    void pollFor(int seconds)
    {
        for (int step = 0; step < seconds; ++step) {
            poller.poll();
            clock.advance(std::chrono::seconds(1));
        }
    }

    FakeClock clock;
    FakeStore store;
    bool isRepresentative = false;
    int polls = 0;
    int acceptedChanges = 0;
    ConfigTable configs;
    ConfigPoller<FakeStore, FakeClock> poller;
};

} // namespace

TEST_CASE("ConfigPoller.notRepresentative.readsOnceAtStart", "[config]")
{
    // Guards against a store that is polled by all 1,700 daemons rather than by the representatives only.
    PollerFixture fixture;
    fixture.store.publish(1, "a");
    fixture.pollFor(10);
    CHECK(fixture.store.reads == 1);
    CHECK(fixture.polls == 1);
    CHECK(fixture.configs.entry("ordering")->version == 1);
    fixture.isRepresentative = true;
    fixture.store.publish(2, "b");
    fixture.pollFor(2);
    CHECK(fixture.configs.entry("ordering")->version == 2);
    CHECK(fixture.acceptedChanges == 2);
}

TEST_CASE("ConfigPoller.storeDownForLong.isAskedSeldomAndReadSoonAfter", "[config]")
{
    // Guards against retries that overload a failing store, and against a backoff so long that a version published after the outage is not
    // in force within 9 s.
    PollerFixture fixture;
    fixture.isRepresentative = true;
    fixture.store.isDown = true;
    fixture.pollFor(60);
    CHECK(fixture.store.reads <= 20);
    CHECK(fixture.polls == 0);
    fixture.store.isDown = false;
    fixture.store.publish(1, "a");
    fixture.pollFor(5);
    CHECK(fixture.configs.entry("ordering"));
}

TEST_CASE("ConfigPoller.missingDamagedOrOlder.keepsTheFormerVersion", "[config]")
{
    // Guards against a version in force whose content differs from the published one, and against a return to an older version after the
    // store was restored to an older state.
    PollerFixture fixture;
    fixture.isRepresentative = true;
    fixture.store.publish(2, "b");
    fixture.pollFor(2);
    fixture.store.publish(3, "c");
    const std::string name = "config-" + ConfigTable::sha256("c");
    fixture.store.objects[name] = "damaged";
    fixture.pollFor(3);
    CHECK(fixture.configs.entry("ordering")->version == 2);
    fixture.store.objects[name] = "c";
    fixture.pollFor(6);
    CHECK(fixture.configs.entry("ordering")->version == 3);
    fixture.store.publish(1, "a");
    fixture.pollFor(3);
    CHECK(fixture.configs.entry("ordering")->version == 3);
}
