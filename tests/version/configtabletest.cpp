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

ConfigEntry entryOf(uint64_t version, const std::string &content)
{
    return { "ordering", version, ConfigTable::sha256(content), "tests", "id", 1, content };
}

} // namespace

TEST_CASE("ConfigTable.anyOffers.versionNeverGoesBack", "[config]")
{
    // Guards against an older, conflicting, damaged or faulty version that replaces the one in force.
    CHECK(rc::check([] {
        ConfigTable table(parse);
        const auto offers = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
        std::shared_ptr<const ConfigEntry> former;
        for (const auto &[version, content, isDamaged] : offers) {
            ConfigEntry entry = entryOf(static_cast<uint64_t>(version), content == 0 ? "fault" : "content " + std::to_string(content));
            if (isDamaged) {
                entry.content += "x";
            }
            const ConfigOfferResult result = table.offer(entry);
            const auto inForce = table.entry("ordering");
            RC_ASSERT((result == ConfigOfferResult::Accepted) == (inForce != former));
            if (inForce != former) {
                RC_ASSERT((!former || inForce->version > former->version));
                RC_ASSERT(inForce->hash == ConfigTable::sha256(inForce->content));
                RC_ASSERT(table.find("ordering")->version == inForce->version);
            }
            former = inForce;
        }
    }));
}

TEST_CASE("ConfigTable.eachKindOfBadEntry.isNamed", "[config]")
{
    // Guards against rejections whose reason misleads the operator.
    ConfigTable table(parse);
    CHECK(table.offer(entryOf(2, "a")) == ConfigOfferResult::Accepted);
    CHECK(table.offer(entryOf(2, "a")) == ConfigOfferResult::Known);
    CHECK(table.offer(entryOf(2, "b")) == ConfigOfferResult::Conflict);
    CHECK(table.offer(entryOf(1, "a")) == ConfigOfferResult::Older);
    CHECK(table.offer(entryOf(0, "a")) == ConfigOfferResult::Malformed);
    CHECK(table.offer(entryOf(3, "fault")) == ConfigOfferResult::Fault);
    CHECK_FALSE(table.needsContent("ordering", 3, ConfigTable::sha256("fault")));
    CHECK(table.offer(entryOf(3, std::string(ConfigTable::MaxContentBytes + 1, 'x'))) == ConfigOfferResult::TooLarge);
    ConfigEntry damaged = entryOf(4, "a");
    damaged.content = "b";
    CHECK(table.offer(damaged) == ConfigOfferResult::WrongHash);
    // Another peer may hold the right content of the same version.
    CHECK(table.needsContent("ordering", 4, damaged.hash));
    CHECK(table.entry("ordering")->version == 2);
}

TEST_CASE("ConfigTable.sha256.fitsThePublishedVector", "[config]")
{
    // Guards against a hash that other programs compute differently.
    CHECK(ConfigTable::sha256("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
