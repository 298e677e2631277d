#include <carobjunction/version/configtable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;

namespace
{

ConfigTable::Config parse(const std::string &service, uint64_t version, const std::string &content)
{
    auto config = std::make_shared<ServiceConfig>();
    config->service = service;
    config->version = version;
    return content.starts_with("fault") ? nullptr : config;
}

ConfigEntry makeEntry(uint64_t version, const std::string &content)
{
    return { "ordering", version, ConfigTable::sha256(content), "tests", "id", 1, content };
}

} // namespace

TEST_CASE("ConfigTable.anyOffers.versionNeverGoesBack", "[config]")
{
    // Guards against replacing the version in force by an older, conflicting, damaged or invalid version.
    CHECK(rc::check([] {
        ConfigTable table(parse);
        const auto offers = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
        std::shared_ptr<const ConfigEntry> previous;
        for (const auto &[version, content, isDamaged] : offers) {
            ConfigEntry entry = makeEntry(static_cast<uint64_t>(version), content == 0 ? "fault" : "content " + std::to_string(content));
            if (isDamaged) {
                entry.content += "x";
            }
            const ConfigOfferResult result = table.offer(entry);
            const auto inForce = table.entry("ordering");
            RC_ASSERT((result == ConfigOfferResult::Accepted) == (inForce != previous));
            if (inForce != previous) {
                RC_ASSERT((!previous || inForce->version > previous->version));
                RC_ASSERT(inForce->hash == ConfigTable::sha256(inForce->content));
                RC_ASSERT(table.find("ordering")->version == inForce->version);
            }
            previous = inForce;
        }
    }));
}

TEST_CASE("ConfigTable.eachKindOfBadEntry.isNamed", "[config]")
{
    // Guards against rejecting an entry with a wrong reason, which would mislead the operator.
    ConfigTable table(parse);
    CHECK(table.offer(makeEntry(2, "a")) == ConfigOfferResult::Accepted);
    CHECK(table.offer(makeEntry(2, "a")) == ConfigOfferResult::Known);
    CHECK(table.offer(makeEntry(2, "b")) == ConfigOfferResult::Conflict);
    CHECK(table.offer(makeEntry(1, "a")) == ConfigOfferResult::Older);
    CHECK(table.offer(makeEntry(0, "a")) == ConfigOfferResult::Malformed);
    CHECK(table.offer(makeEntry(3, "fault")) == ConfigOfferResult::InvalidContent);
    CHECK_FALSE(table.needsContent("ordering", 3, ConfigTable::sha256("fault")));
    CHECK(table.offer(makeEntry(3, std::string(ConfigTable::MaxContentBytes + 1, 'x'))) == ConfigOfferResult::TooLarge);
    ConfigEntry damaged = makeEntry(4, "a");
    damaged.content = "b";
    CHECK(table.offer(damaged) == ConfigOfferResult::WrongHash);
    // The content is still requested, since another peer may hold undamaged content of the same version.
    CHECK(table.needsContent("ordering", 4, damaged.hash));
    CHECK(table.entry("ordering")->version == 2);
}

TEST_CASE("ConfigTable.sha256.fitsThePublishedVector", "[config]")
{
    // Guards against a hash that differs from standard SHA-256 and cannot be verified by other programs.
    CHECK(ConfigTable::sha256("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
