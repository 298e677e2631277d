#include "process/memorycluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace carobjunction::testing;

namespace
{

ConfigEntry configEntry(const std::string &service, uint64_t version, const std::string &content)
{
    return { service, version, ConfigTable::sha256(content), "tests", "id", 1, content };
}

} // namespace

TEST_CASE("Gossip.startOfManyDaemons.viewsConverge", "[gossip]")
{
    // Guards against daemons that stay unknown to others after a common start.
    MemoryCluster cluster;
    cluster.startAll(40, 3);
    cluster.tick(6);
    CHECK(cluster.hasConverged());
    CHECK(cluster.node(7).view.members()->size() == 40);
}

TEST_CASE("Gossip.leaveAndNewConfiguration.areKnownEverywhereWithoutATick", "[gossip]")
{
    // Guards against urgent changes that wait for the next heartbeat.
    MemoryCluster cluster;
    cluster.startAll(40, 3);
    cluster.tick(6);
    cluster.node(5).gossip.updateOwn([](Member &own) { own.state = MemberState::Leaving; });
    cluster.node(8).configs.offer(configEntry("ordering", 4, "slots: 9"));
    cluster.node(8).gossip.pushNow();
    cluster.network.runWakes();
    for (const auto &[address, node] : cluster.network.nodes) {
        CHECK(node->view.find("daemon-5")->state == MemberState::Leaving);
        REQUIRE(node->configs.entry("ordering"));
        CHECK(node->configs.entry("ordering")->version == 4);
    }
}
