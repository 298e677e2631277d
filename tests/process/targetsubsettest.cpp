#include <carobjunction/process/targetsubset.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace carobjunction;

namespace
{

std::vector<TargetInfo> makeTargets(size_t sameRegionCount, size_t otherRegionCount)
{
    std::vector<TargetInfo> targets;
    for (size_t index = 0; index < sameRegionCount + otherRegionCount; ++index) {
        TargetInfo target;
        target.daemon = "t" + std::to_string(index);
        target.region = index < sameRegionCount ? "pilbara" : "midwest";
        targets.push_back(target);
    }
    return targets;
}

std::set<std::string> daemonIds(const std::vector<TargetInfo> &targets)
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
    // Guards against many new connections on each replacement of one target of a large service.
    CHECK(rc::check("size and stability", [] {
        const auto sameRegionCount = *rc::gen::inRange<size_t>(0, 200);
        const auto otherRegionCount = *rc::gen::inRange<size_t>(0, 200);
        std::vector<TargetInfo> targets = makeTargets(sameRegionCount, otherRegionCount);
        const std::set<std::string> before = daemonIds(targetSubset(targets, "entry", "pilbara"));
        RC_ASSERT(before.size() <= MaxTargetsOfService);
        RC_ASSERT(before.size() == std::min(targets.size(), MaxTargetsOfService)
                  || (otherRegionCount < 8 && before.size() == MaxSameRegionTargetsOfService + otherRegionCount));
        RC_PRE(sameRegionCount > 1 && sameRegionCount + otherRegionCount > MaxTargetsOfService + 1);
        targets.erase(targets.begin());
        const std::set<std::string> after = daemonIds(targetSubset(targets, "entry", "pilbara"));
        size_t addedCount = 0;
        for (const std::string &id : after) {
            addedCount += before.contains(id) ? 0 : 1;
        }
        RC_ASSERT(addedCount <= 1U);
    }));
}

TEST_CASE("TargetSubset.manyEntries.reachEachTargetAboutEquallyOften")
{
    // Guards against targets of a large service to which few or no daemons route requests.
    const std::vector<TargetInfo> targets = makeTargets(100, 0);
    std::map<std::string, int> selectionCounts;
    for (int entry = 0; entry < 500; ++entry) {
        for (const std::string &id : daemonIds(targetSubset(targets, "entry-" + std::to_string(entry), "pilbara"))) {
            ++selectionCounts[id];
        }
    }
    REQUIRE(selectionCounts.size() == targets.size());
    for (const auto &[id, count] : selectionCounts) {
        // 500 daemons x 24 targets per daemon / 100 targets = 120.
        CHECK(count > 120 / 2);
        CHECK(count < 120 * 2);
    }
}
