#include <carobjunction/process/targetsubset.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace carobjunction;

namespace
{

std::vector<TargetInfo> makeTargets(size_t near, size_t remote)
{
    std::vector<TargetInfo> targets;
    for (size_t index = 0; index < near + remote; ++index) {
        TargetInfo target;
        target.daemon = "t" + std::to_string(index);
        target.region = index < near ? "pilbara" : "midwest";
        targets.push_back(target);
    }
    return targets;
}

std::set<std::string> idsOf(const std::vector<TargetInfo> &targets)
{
    std::set<std::string> ids;
    for (const TargetInfo &target : targets) {
        ids.insert(target.daemon);
    }
    return ids;
}

} // namespace

TEST_CASE("TargetSubset.oneTargetGoes.changesOnePlace")
{
    // Guards against many new connections whenever one target of a large service is replaced.
    CHECK(rc::check("size and stability", [] {
        const auto near = *rc::gen::inRange<size_t>(0, 200);
        const auto remote = *rc::gen::inRange<size_t>(0, 200);
        std::vector<TargetInfo> targets = makeTargets(near, remote);
        const std::set<std::string> before = idsOf(targetSubset(targets, "entry", "pilbara"));
        RC_ASSERT(before.size() <= MaxTargetsOfService);
        RC_ASSERT(before.size() == std::min(targets.size(), MaxTargetsOfService) || (remote < 8 && before.size() == MaxSameRegionTargetsOfService + remote));
        RC_PRE(near > 1 && near + remote > MaxTargetsOfService + 1);
        targets.erase(targets.begin());
        const std::set<std::string> after = idsOf(targetSubset(targets, "entry", "pilbara"));
        size_t added = 0;
        for (const std::string &id : after) {
            added += before.contains(id) ? 0 : 1;
        }
        RC_ASSERT(added <= 1U);
    }));
}

TEST_CASE("TargetSubset.manyEntries.reachEachTargetAboutEquallyOften")
{
    // Guards against targets of a large service that few or no daemons route to.
    const std::vector<TargetInfo> targets = makeTargets(100, 0);
    std::map<std::string, int> chosen;
    for (int entry = 0; entry < 500; ++entry) {
        for (const std::string &id : idsOf(targetSubset(targets, "entry-" + std::to_string(entry), "pilbara"))) {
            ++chosen[id];
        }
    }
    REQUIRE(chosen.size() == targets.size());
    for (const auto &[id, count] : chosen) {
        // 500 entries x 24 places / 100 targets = 120.
        CHECK(count > 120 / 2);
        CHECK(count < 120 * 2);
    }
}
