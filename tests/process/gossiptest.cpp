#include "process/memorycluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <thread>

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
    // Guards against daemons that are missing from the views of others after all daemons have started at the same time.
    MemoryCluster cluster;
    cluster.startAll(40, 3);
    cluster.tick(6);
    CHECK(cluster.hasConverged());
    CHECK(cluster.node(7).view.members()->size() == 40);
}

TEST_CASE("Gossip.leaveAndNewConfiguration.areKnownEverywhereWithoutATick", "[gossip]")
{
    // Guards against urgent changes that are not sent until the next tick.
    MemoryCluster cluster;
    cluster.startAll(40, 3);
    cluster.tick(6);
    cluster.node(5).gossip.updateOwn([](Member &own) { own.state = MemberState::Leaving; });
    cluster.node(8).configs.offer(configEntry("ordering", 4, "slots: 9"));
    cluster.node(8).gossip.pushUpdates();
    cluster.network.runScheduledPushes();
    for (const auto &[address, node] : cluster.network.nodes) {
        CHECK(node->view.find("daemon-5")->state == MemberState::Leaving);
        REQUIRE(node->configs.entry("ordering"));
        CHECK(node->configs.entry("ordering")->version == 4);
    }
}

TEST_CASE("Gossip.lossRepetitionAndReordering.viewsConverge", "[gossip]")
{
    // Guards against views and configurations that differ permanently after messages were lost, duplicated or delayed.
    CHECK(rc::check([] {
        MemoryCluster cluster;
        cluster.network.random.seed(*rc::gen::arbitrary<uint64_t>());
        const auto count = *rc::gen::inRange<std::size_t>(4, 14);
        cluster.startAll(count, 2);
        cluster.network.lossProbability = 0.2;
        cluster.network.duplicateProbability = 0.2;
        cluster.network.lateCopyProbability = 0.3;
        std::map<std::string, MemberEntryVersion> newestVersions;
        for (int step = 0; step < 12; ++step) {
            const std::size_t changed = *rc::gen::inRange<std::size_t>(0, count);
            cluster.node(changed).gossip.updateOwn([&](Member &own) { own.slots += 1; });
            cluster.node(changed).configs.offer(configEntry("ordering", *rc::gen::inRange<uint64_t>(1, 9), "one content"));
            cluster.tick(1);
            for (const auto &[address, node] : cluster.network.nodes) {
                for (const MemberList list = node->view.members(); const MemberPointer &member : *list) {
                    MemberEntryVersion &former = newestVersions[address + " " + member->daemon];
                    RC_ASSERT(former <= member->entryVersion());
                    former = member->entryVersion();
                }
            }
        }
        cluster.network.lossProbability = 0;
        cluster.tick(25);
        RC_ASSERT(cluster.hasConverged());
        const auto newest = cluster.node(0).configs.entry("ordering")->version;
        for (const auto &[address, node] : cluster.network.nodes) {
            RC_ASSERT(node->view.members()->size() == count);
            RC_ASSERT(node->configs.entry("ordering")->version == newest);
            for (const MemberList list = node->view.members(); const MemberPointer &member : *list) {
                RC_ASSERT(member->state == MemberState::Up);
            }
        }
    }));
}

TEST_CASE("Gossip.stoppedDaemon.becomesFailedEverywhere", "[gossip]")
{
    // Guards against calls that are still routed to a daemon that has stopped.
    MemoryCluster cluster;
    cluster.startAll(12, 2);
    cluster.tick(5);
    cluster.network.nodes.erase(MemoryCluster::makeMember(7, 2).peerAddress);
    cluster.tick(12);
    for (const auto &[address, node] : cluster.network.nodes) {
        CHECK(node->view.find("daemon-7")->state == MemberState::Failed);
    }
    CHECK(cluster.node(0).view.targets("service-7")->empty());
}

TEST_CASE("Gossip.oneDaemonWithBrokenLinks.evictsNobody", "[gossip]")
{
    // Guards against the cluster-wide eviction of healthy targets by one daemon that cannot reach them because of a fault of its own network.
    MemoryCluster cluster;
    cluster.startAll(12, 2);
    cluster.tick(5);
    const std::string faultyAddress = MemoryCluster::makeMember(4, 2).peerAddress;
    const bool isFullyPartitioned = GENERATE(false, true);
    const std::string unreachableAddress = MemoryCluster::makeMember(6, 2).peerAddress;
    cluster.network.isPartitioned = [&](const std::string &from, const std::string &to) {
        return isFullyPartitioned ? from == faultyAddress || to == faultyAddress : from == faultyAddress && to == unreachableAddress;
    };
    for (int step = 0; step < 15; ++step) {
        cluster.node(4).gossip.reportUnreachable("daemon-6");
        cluster.tick(1);
        for (const auto &[address, node] : cluster.network.nodes) {
            for (const MemberList list = node->view.members(); const MemberPointer &member : *list) {
                CHECK((member->state == MemberState::Up || (isFullyPartitioned && member->daemon == "daemon-4")));
            }
        }
    }
    CHECK((cluster.node(2).view.find("daemon-4")->state == MemberState::Failed) == isFullyPartitioned);
    cluster.network.isPartitioned = {};
    cluster.tick(20);
    CHECK(cluster.hasConverged());
    CHECK(cluster.node(2).view.find("daemon-4")->state == MemberState::Up);
}

TEST_CASE("Gossip.regionsApartForAnHour.nobodyFailsAndViewsJoinInBoundedMessages", "[gossip]")
{
    // Guards against the eviction of a whole region during a partition, and against oversized messages and stale entries that replace newer
    // ones after it.
    MemoryCluster cluster;
    cluster.maxMemberEntries = 3;
    cluster.startAll(60, 2);
    cluster.tick(5);
    cluster.network.isPartitioned = [&](const std::string &from, const std::string &to) {
        return cluster.network.regions.at(from) != cluster.network.regions.at(to);
    };
    cluster.tick(20);
    for (const MemberList list = cluster.node(0).view.members(); const MemberPointer &member : *list) {
        CHECK(member->state == MemberState::Up);
    }
    // During the partition, daemons of both regions leave, one restarts, and one region receives a new configuration.
    for (const std::size_t number : { 10U, 11U, 20U, 21U, 31U }) {
        cluster.node(number).gossip.updateOwn([](Member &own) { own.state = MemberState::Left; });
        cluster.network.runScheduledPushes();
        cluster.network.nodes.erase(MemoryCluster::makeMember(number, 2).peerAddress);
    }
    cluster.start(MemoryCluster::makeMember(20, 2, 1700000009999), { MemoryCluster::makeMember(0, 2).peerAddress });
    cluster.node(1).configs.offer(configEntry("ordering", 2, "new"));
    cluster.tick(5);
    cluster.clock.advance(std::chrono::hours(1));
    cluster.tick(5);
    cluster.network.isPartitioned = {};
    cluster.network.traffic.clear();
    cluster.tick(15);
    CHECK(cluster.hasConverged());
    for (const auto &[address, node] : cluster.network.nodes) {
        for (const std::size_t number : { 10U, 11U, 21U, 31U }) {
            const MemberPointer former = node->view.find("daemon-" + std::to_string(number));
            CHECK((!former || !former->isLive()));
        }
        CHECK(node->view.find("daemon-20")->incarnation == 1700000009999);
        REQUIRE(node->configs.entry("ordering"));
        CHECK(node->configs.entry("ordering")->version == 2);
        CHECK(cluster.network.traffic[address].peakMemberEntries <= cluster.maxMemberEntries);
    }
}

TEST_CASE("Gossip.firstPeerAnswer.makesReadyOnlyIfThePeerIs", "[gossip]")
{
    // Guards against a daemon that refuses requests because it does not know their services: it became ready after the response of a peer
    // that had not received the configurations itself.
    MemoryCluster cluster;
    cluster.startAll(3, 1);
    cluster.tick(4);
    CHECK_FALSE(cluster.node(0).gossip.isReady());
    cluster.node(2).configs.offer(configEntry("ordering", 1, "a"));
    cluster.node(2).gossip.onStorePolled();
    cluster.tick(4);
    CHECK(cluster.node(0).gossip.isReady());
    CHECK(cluster.node(0).configs.entry("ordering"));
}

TEST_CASE("Gossip.randomAndTruncatedMessages.haveNoEffectBeyondValidEntries", "[gossip]")
{
    // Guards against crashes and invalid members caused by damaged or malicious messages.
    CHECK(rc::check([] {
        MemoryCluster cluster;
        MemoryNode &node = cluster.start(MemoryCluster::makeMember(0, 1), {});
        node.configs.offer(configEntry("ordering", 3, "a"));
        v1::ExchangeRequest request;
        request.set_daemon(*rc::gen::arbitrary<std::string>());
        const auto count = *rc::gen::inRange(0, 5);
        for (int number = 0; number < count; ++number) {
            Member member = MemoryCluster::makeMember(static_cast<std::size_t>(number), 1);
            member.incarnation = *rc::gen::arbitrary<uint64_t>();
            member.revision = *rc::gen::arbitrary<uint64_t>();
            v1::MemberEntry entry = toWire(member);
            entry.set_state(*rc::gen::inRange<uint32_t>(0, 8));
            if (*rc::gen::arbitrary<bool>()) {
                entry.set_region(*rc::gen::arbitrary<std::string>());
            }
            *request.add_members() = entry;
            v1::MemberSummary &summary = *request.add_summaries();
            summary.set_daemon(*rc::gen::arbitrary<std::string>());
            summary.set_state(*rc::gen::arbitrary<uint32_t>());
            request.add_wanted_buckets(*rc::gen::arbitrary<uint32_t>());
            request.add_wanted_configs(*rc::gen::arbitrary<std::string>());
            *request.add_configs()
                = toWire(ConfigEntry { "ordering", *rc::gen::arbitrary<uint64_t>(), "no hash", {}, {}, 0, *rc::gen::arbitrary<std::string>() });
        }
        std::string bytes = request.SerializeAsString();
        if (!bytes.empty() && *rc::gen::arbitrary<bool>()) {
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        }
        for (int flip = *rc::gen::inRange(0, 3); flip > 0 && !bytes.empty(); --flip) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        v1::ExchangeRequest received;
        received.ParseFromString(bytes);
        node.gossip.onExchange(received);
        RC_ASSERT(node.configs.entry("ordering")->version == 3U);
        RC_ASSERT(node.view.own().state == MemberState::Up);
        std::set<std::string> valid { "daemon-0" };
        for (const v1::MemberEntry &entry : received.members()) {
            if (fromWire(entry)) {
                valid.insert(entry.daemon());
            }
        }
        for (const MemberList list = node.view.members(); const MemberPointer &member : *list) {
            RC_ASSERT(valid.count(member->daemon) == 1U);
            RC_ASSERT(MembershipView<>::isValid(*member));
        }
    }));
}

namespace
{

/** Transport that calls the receiving node directly on the calling thread. */
struct DirectTransport {
    std::optional<v1::ExchangeResponse> exchange(const std::string &address, const v1::ExchangeRequest &request, Duration)
    {
        return answer(address, request);
    }

    std::optional<bool> indirectProbe(const std::string &, const v1::IndirectProbeRequest &, Duration)
    {
        return std::nullopt;
    }

    std::function<v1::ExchangeResponse(const std::string &, const v1::ExchangeRequest &)> answer;
};

using DirectGossip = Gossip<DirectTransport, SteadyClock>;

} // namespace

TEST_CASE("Gossip.threadsThatChangePushAndAnswerTogether.loseNoChange", "[gossip]")
{
    // Guards against data races, and against a change that is not sent because another push is using the link.
    constexpr std::size_t Count = 6;
    constexpr uint64_t Changes = 200;
    const SteadyClock clock;
    std::map<std::string, DirectGossip *> addresses;
    DirectTransport transport { [&](const std::string &address, const v1::ExchangeRequest &request) {
        return addresses.at(address)->onExchange(request);
    } };
    std::vector<std::unique_ptr<MembershipView<SteadyClock>>> views;
    std::vector<std::unique_ptr<ConfigTable>> tables;
    std::vector<std::unique_ptr<DirectGossip>> nodes;
    std::vector<std::atomic<bool>> hasScheduledPush(Count);
    for (std::size_t number = 0; number < Count; ++number) {
        const Member own = MemoryCluster::makeMember(number, 1);
        views.push_back(std::make_unique<MembershipView<SteadyClock>>(clock, own));
        tables.push_back(std::make_unique<ConfigTable>([](const auto &...) { return std::make_shared<ServiceConfig>(); }));
        GossipCallbacks callbacks;
        callbacks.wake = [&flag = hasScheduledPush[number]] {
            flag = true;
        };
        GossipOptions options;
        options.seeds = { MemoryCluster::makeMember(0, 1).peerAddress, MemoryCluster::makeMember(1, 1).peerAddress };
        nodes.push_back(std::make_unique<DirectGossip>(transport, clock, *views.back(), *tables.back(), options, callbacks));
        addresses[own.peerAddress] = nodes.back().get();
    }
    for (int step = 0; step < 4; ++step) {
        for (const auto &node : nodes) {
            node->tick();
        }
    }
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < Count; ++number) {
        threads.emplace_back([&, number] {
            for (uint64_t change = 1; change <= Changes; ++change) {
                nodes[number]->updateOwn([&](Member &own) { own.targetIncarnation = change; });
                tables[number]->offer(configEntry("service", change, "content " + std::to_string(change)));
                nodes[number]->pushUpdates();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (bool isDone = false; !isDone;) {
        isDone = true;
        for (std::size_t number = 0; number < Count; ++number) {
            if (hasScheduledPush[number].exchange(false)) {
                isDone = false;
                nodes[number]->pushUpdates();
            }
        }
    }
    for (const auto &view : views) {
        for (std::size_t number = 0; number < Count; ++number) {
            CHECK(view->find("daemon-" + std::to_string(number))->targetIncarnation == Changes);
        }
    }
}

TEST_CASE("Gossip.changeDuringAHeartbeat.isPushedAfterwards", "[gossip]")
{
    // Guards against a change that is not sent until a later tick because the link was in use when it was to be pushed.
    MemoryCluster cluster;
    cluster.startAll(2, 1);
    cluster.tick(4);
    int injected = 0;
    cluster.network.isPartitioned = [&](const std::string &, const std::string &) {
        if (injected++ == 0) {
            cluster.node(0).gossip.updateOwn([](Member &own) { own.state = MemberState::Leaving; });
            cluster.network.runScheduledPushes();
        }
        return false;
    };
    cluster.network.setSimulatedTime({});
    cluster.node(0).gossip.tick();
    cluster.network.runScheduledPushes();
    CHECK(injected > 1);
    CHECK(cluster.node(1).view.find("daemon-0")->state == MemberState::Leaving);
}

TEST_CASE("Gossip.cutFromARegionOfOneDaemon.doesNotSuspectIt", "[gossip]")
{
    // Guards against a daemon that is suspected although only daemons of other regions report it as unreachable, which a partition between
    // the regions also explains.
    MemoryCluster cluster;
    cluster.startAll(5, 1);
    Member remoteMember = MemoryCluster::makeMember(5, 1);
    remoteMember.region = "region-1";
    cluster.start(remoteMember, { MemoryCluster::makeMember(0, 1).peerAddress });
    cluster.tick(4);
    cluster.network.isPartitioned = [&](const std::string &from, const std::string &to) {
        return (from == remoteMember.peerAddress) != (to == remoteMember.peerAddress);
    };
    for (int step = 0; step < 10; ++step) {
        cluster.node(3).gossip.reportUnreachable("daemon-5");
        cluster.tick(1);
    }
    CHECK(cluster.node(3).view.find("daemon-5")->state == MemberState::Up);
}
