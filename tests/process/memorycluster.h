#pragma once

#include "process/gossip.h"

#include "../fakeclock.h"

#include <queue>

namespace carobjunction::testing
{

class MemoryNetwork;

/** Transport of one daemon over a MemoryNetwork. */
class MemoryTransport
{
public:
    MemoryTransport(MemoryNetwork &network, std::string from) : m_network(network), m_from(std::move(from))
    {
    }

    std::optional<v1::ExchangeResponse> exchange(const std::string &address, const v1::ExchangeRequest &request, Duration timeout);
    std::optional<bool> indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration timeout);

private:
    MemoryNetwork &m_network;
    std::string m_from;
};

/** One daemon's membership parts. */
struct MemoryNode {
    MemoryNode(MemoryNetwork &network, const FakeClock &clock, Member own, GossipOptions options, GossipHooks hooks)
        : view(clock, own)
        , configs([](const std::string &service, uint64_t version, const std::string &content) -> ConfigTable::Config {
            auto config = std::make_shared<ServiceConfig>();
            config->service = service;
            config->version = version;
            return content.starts_with("fault") ? nullptr : config;
        })
        , transport(network, own.peerAddress)
        , gossip(transport, clock, view, configs, std::move(options), std::move(hooks))
    {
    }

    MembershipView<FakeClock> view;
    ConfigTable configs;
    MemoryTransport transport;
    Gossip<MemoryTransport, FakeClock> gossip;
};

/** Delivers messages between nodes of one process, with seeded faults and counted bytes. */
class MemoryNetwork
{
public:
    struct Traffic {
        uint64_t messages = 0; /**< Requests and responses, sent and received. */
        uint64_t bytes = 0; /**< Their serialized size. */
        uint64_t largest = 0;
        std::size_t mostMembers = 0; /**< Member entries in one message. */
    };

    std::optional<v1::ExchangeResponse> exchange(const std::string &from, const std::string &to, const v1::ExchangeRequest &request)
    {
        if (!reaches(from, to)) {
            return std::nullopt;
        }
        v1::ExchangeRequest received;
        count(from, to, request, received);
        if (happens(lateShare)) {
            m_late.emplace_back(to, received);
        }
        const Duration delay = delayBetween(from, to);
        Duration &elapsed = m_elapsed[to];
        m_arrival = m_now + elapsed + delay;
        elapsed += 2 * delay;
        v1::ExchangeResponse response = nodes.at(to)->gossip.onExchange(received);
        if (happens(repeatShare)) {
            response = nodes.at(to)->gossip.onExchange(received);
        }
        m_arrival = m_now + elapsed;
        if (happens(lossShare)) {
            return std::nullopt;
        }
        v1::ExchangeResponse answered;
        count(to, from, response, answered);
        return answered;
    }

    std::optional<bool> indirectProbe(const std::string &from, const std::string &to, const v1::IndirectProbeRequest &request)
    {
        if (!reaches(from, to)) {
            return std::nullopt;
        }
        return nodes.at(to)->gossip.onIndirectProbe(request).reachable();
    }

    /** Delivers the copies of earlier messages in a random order. */
    void deliverLate()
    {
        std::shuffle(m_late.begin(), m_late.end(), random);
        for (const auto &[to, request] : std::exchange(m_late, {})) {
            if (nodes.count(to) > 0) {
                nodes.at(to)->gossip.onExchange(request);
            }
        }
    }

    void scheduleWake(const std::string &address)
    {
        m_wakes.emplace(m_arrival, address);
    }

    /**
     * Lets woken nodes push until nothing is left to send.
     * @param afterEach  called after each push with the time since the call
     */
    void runWakes(const std::function<void(Duration)> &afterEach = {})
    {
        while (!m_wakes.empty()) {
            const auto [time, address] = m_wakes.top();
            m_wakes.pop();
            if (nodes.count(address) == 0) {
                continue;
            }
            beginAt(time);
            nodes.at(address)->gossip.pushUpdates();
            if (afterEach) {
                afterEach(m_arrival);
            }
        }
        beginAt({});
    }

    void beginAt(Duration time)
    {
        m_now = time;
        m_arrival = time;
        m_elapsed.clear();
    }

    std::map<std::string, std::unique_ptr<MemoryNode>> nodes; /**< By peer address. */
    std::map<std::string, std::string> regions; /**< By peer address. */
    std::map<std::string, Traffic> traffic; /**< By peer address. */
    uint64_t bytesBetweenRegions = 0;
    std::function<bool(const std::string &, const std::string &)> isCut;
    double lossShare = 0;
    double repeatShare = 0;
    double lateShare = 0;
    std::mt19937_64 random { 1 };

private:
    bool happens(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    bool reaches(const std::string &from, const std::string &to)
    {
        return nodes.count(to) > 0 && nodes.count(from) > 0 && !(isCut && isCut(from, to)) && !happens(lossShare);
    }

    Duration delayBetween(const std::string &from, const std::string &to) const
    {
        return regions.at(from) == regions.at(to) ? std::chrono::milliseconds(1) : std::chrono::milliseconds(30);
    }

    template<typename Message>
    void count(const std::string &from, const std::string &to, const Message &message, Message &copy)
    {
        const std::string bytes = message.SerializeAsString();
        copy.ParseFromString(bytes);
        if (regions.at(from) != regions.at(to)) {
            bytesBetweenRegions += bytes.size();
        }
        for (const std::string &address : { from, to }) {
            Traffic &sum = traffic[address];
            ++sum.messages;
            sum.bytes += bytes.size();
            sum.mostMembers = std::max<std::size_t>(sum.mostMembers, static_cast<std::size_t>(message.members_size()));
            sum.largest = std::max<uint64_t>(sum.largest, bytes.size());
        }
    }

    using Wake = std::pair<Duration, std::string>;
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> m_wakes;
    std::vector<std::pair<std::string, v1::ExchangeRequest>> m_late;
    std::map<std::string, Duration> m_elapsed;
    Duration m_now {};
    Duration m_arrival {};
};

inline std::optional<v1::ExchangeResponse> MemoryTransport::exchange(const std::string &address, const v1::ExchangeRequest &request, Duration)
{
    return m_network.exchange(m_from, address, request);
}

inline std::optional<bool> MemoryTransport::indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration)
{
    return m_network.indirectProbe(m_from, address, request);
}

/** A number of nodes in equal parts over regions. */
class MemoryCluster
{
public:
    /** @return entry of the daemon with this number */
    static Member memberOf(std::size_t number, std::size_t regionCount, uint64_t incarnation = 1700000000000)
    {
        Member member;
        member.daemon = "daemon-" + std::to_string(number);
        member.incarnation = incarnation;
        member.region = "region-" + std::to_string(number % regionCount);
        member.dataCentre = member.region + "-dc" + std::to_string(number / regionCount % 4);
        const std::string ip = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        member.peerAddress = ip + ":7100";
        member.operatorAddress = ip + ":7200";
        member.callerAddress = ip + ":7000";
        member.service = "service-" + std::to_string(number % 60);
        member.targetAddress = ip + ":8080";
        member.targetIncarnation = incarnation;
        member.slots = 9;
        return member;
    }

    MemoryNode &start(const Member &member, std::vector<std::string> seeds)
    {
        GossipOptions options;
        options.seeds = std::move(seeds);
        options.randomSeed = network.random();
        options.maxMemberEntries = maxMemberEntries;
        GossipHooks hooks;
        hooks.wake = [this, address = member.peerAddress] {
            network.scheduleWake(address);
        };
        network.regions[member.peerAddress] = member.region;
        auto &node = network.nodes[member.peerAddress];
        node = std::make_unique<MemoryNode>(network, clock, member, std::move(options), std::move(hooks));
        return *node;
    }

    /** Starts all nodes, which join by the first ones. */
    void startAll(std::size_t count, std::size_t regionCount)
    {
        std::vector<std::string> seeds;
        for (std::size_t number = 0; number < std::min<std::size_t>(count, 3); ++number) {
            seeds.push_back(memberOf(number, regionCount).peerAddress);
        }
        for (std::size_t number = 0; number < count; ++number) {
            start(memberOf(number, regionCount), seeds);
        }
    }

    /** Ticks all nodes @p count times, a second apart. */
    void tick(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            clock.advance(std::chrono::seconds(1));
            for (const std::string &address : addresses()) {
                network.beginAt({});
                network.nodes.at(address)->gossip.tick();
            }
            network.runWakes();
            network.deliverLate();
            network.runWakes();
        }
    }

    std::vector<std::string> addresses()
    {
        std::vector<std::string> list;
        for (const auto &[address, node] : network.nodes) {
            list.push_back(address);
        }
        std::shuffle(list.begin(), list.end(), network.random);
        return list;
    }

    MemoryNode &node(std::size_t number)
    {
        return *network.nodes.at(memberOf(number, 1).peerAddress);
    }

    /** @return whether all nodes see the same live members */
    bool hasConverged()
    {
        std::set<uint64_t> hashes;
        for (const auto &[address, node] : network.nodes) {
            hashes.insert(node->view.hash());
        }
        return hashes.size() == 1;
    }

    FakeClock clock;
    MemoryNetwork network;
    std::size_t maxMemberEntries = GossipOptions().maxMemberEntries;
};

} // namespace carobjunction::testing
