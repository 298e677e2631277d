#pragma once

#include "process/gossip.h"

#include "../fakeclock.h"

#include <queue>

namespace carobjunction::testing
{

class MemoryNetwork;

/** Transport of one node that sends its messages over a MemoryNetwork. */
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

/** Membership view, configurations and gossip of one daemon. */
struct MemoryNode {
    MemoryNode(MemoryNetwork &network, const FakeClock &clock, Member own, GossipOptions options, GossipCallbacks callbacks)
        : view(clock, own)
        , configs([](const std::string &service, uint64_t version, const std::string &content) -> ConfigTable::Config {
            auto config = std::make_shared<ServiceConfig>();
            config->service = service;
            config->version = version;
            return content.starts_with("fault") ? nullptr : config;
        })
        , transport(network, own.peerAddress)
        , gossip(transport, clock, view, configs, std::move(options), std::move(callbacks))
    {
    }

    MembershipView<FakeClock> view;
    ConfigTable configs;
    MemoryTransport transport;
    Gossip<MemoryTransport, FakeClock> gossip;
};

/**
 * Simulated network between the nodes of one process. Injects faults by a seeded random generator, simulates delays, and counts messages and
 * bytes. Not thread-safe.
 */
class MemoryNetwork
{
public:
    struct Traffic {
        uint64_t messages = 0; /**< Number of requests and responses, sent and received. */
        uint64_t bytes = 0; /**< Total serialised size of the messages. */
        uint64_t largestBytes = 0; /**< Serialised size of the largest message, in bytes. */
        std::size_t peakMemberEntries = 0; /**< Highest number of member entries in one message. */
    };

    std::optional<v1::ExchangeResponse> exchange(const std::string &from, const std::string &to, const v1::ExchangeRequest &request)
    {
        if (!isDelivered(from, to)) {
            return std::nullopt;
        }
        v1::ExchangeRequest receivedRequest;
        recordTraffic(from, to, request, receivedRequest);
        if (drawFault(lateCopyProbability)) {
            m_lateCopies.emplace_back(to, receivedRequest);
        }
        const Duration delay = linkDelay(from, to);
        Duration &elapsed = m_elapsedByReceiver[to];
        m_arrivalTime = m_now + elapsed + delay;
        elapsed += 2 * delay;
        v1::ExchangeResponse response = nodes.at(to)->gossip.onExchange(receivedRequest);
        if (drawFault(duplicateProbability)) {
            response = nodes.at(to)->gossip.onExchange(receivedRequest);
        }
        m_arrivalTime = m_now + elapsed;
        if (drawFault(lossProbability)) {
            return std::nullopt;
        }
        v1::ExchangeResponse receivedResponse;
        recordTraffic(to, from, response, receivedResponse);
        return receivedResponse;
    }

    std::optional<bool> indirectProbe(const std::string &from, const std::string &to, const v1::IndirectProbeRequest &request)
    {
        if (!isDelivered(from, to)) {
            return std::nullopt;
        }
        return nodes.at(to)->gossip.onIndirectProbe(request).reachable();
    }

    /** Delivers the late copies of earlier requests in random order. */
    void deliverLateCopies()
    {
        std::shuffle(m_lateCopies.begin(), m_lateCopies.end(), random);
        for (const auto &[to, request] : std::exchange(m_lateCopies, {})) {
            if (nodes.count(to) > 0) {
                nodes.at(to)->gossip.onExchange(request);
            }
        }
    }

    /** Schedules a call of pushUpdates() on the node at @p address for the current simulated time. */
    void schedulePush(const std::string &address)
    {
        m_scheduledPushes.emplace(m_arrivalTime, address);
    }

    /**
     * Runs the scheduled pushes in order of time, including those that they schedule, until none is left.
     * @param afterEach  called after each push with the simulated time since the call of this function
     */
    void runScheduledPushes(const std::function<void(Duration)> &afterEach = {})
    {
        while (!m_scheduledPushes.empty()) {
            const auto [time, address] = m_scheduledPushes.top();
            m_scheduledPushes.pop();
            if (nodes.count(address) == 0) {
                continue;
            }
            setSimulatedTime(time);
            nodes.at(address)->gossip.pushUpdates();
            if (afterEach) {
                afterEach(m_arrivalTime);
            }
        }
        setSimulatedTime({});
    }

    /** Sets the simulated time at which the next node starts to send. */
    void setSimulatedTime(Duration time)
    {
        m_now = time;
        m_arrivalTime = time;
        m_elapsedByReceiver.clear();
    }

    std::map<std::string, std::unique_ptr<MemoryNode>> nodes; /**< By peer address. */
    std::map<std::string, std::string> regions; /**< By peer address. */
    std::map<std::string, Traffic> traffic; /**< By peer address. */
    uint64_t bytesBetweenRegions = 0;
    std::function<bool(const std::string &, const std::string &)>
        isPartitioned; /**< Returns whether messages from the first to the second address are dropped. */
    double lossProbability = 0; /**< Probability that a message is lost. */
    double duplicateProbability = 0; /**< Probability that a request is delivered twice in succession. */
    double lateCopyProbability = 0; /**< Probability that a copy of a request is delivered again later. */
    std::mt19937_64 random { 1 };

private:
    bool drawFault(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }

    bool isDelivered(const std::string &from, const std::string &to)
    {
        return nodes.count(to) > 0 && nodes.count(from) > 0 && !(isPartitioned && isPartitioned(from, to)) && !drawFault(lossProbability);
    }

    Duration linkDelay(const std::string &from, const std::string &to) const
    {
        return regions.at(from) == regions.at(to) ? std::chrono::milliseconds(1) : std::chrono::milliseconds(30);
    }

    /** Counts a message for sender and receiver, and stores in @p copy the message as the receiver parses it. */
    template<typename Message>
    void recordTraffic(const std::string &from, const std::string &to, const Message &message, Message &copy)
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
            sum.peakMemberEntries = std::max<std::size_t>(sum.peakMemberEntries, static_cast<std::size_t>(message.members_size()));
            sum.largestBytes = std::max<uint64_t>(sum.largestBytes, bytes.size());
        }
    }

    using ScheduledPush = std::pair<Duration, std::string>;
    std::priority_queue<ScheduledPush, std::vector<ScheduledPush>, std::greater<>> m_scheduledPushes;
    std::vector<std::pair<std::string, v1::ExchangeRequest>> m_lateCopies;
    std::map<std::string, Duration> m_elapsedByReceiver; /**< Time that the current node has spent on exchanges with each receiver. */
    Duration m_now {}; /**< Simulated time at which the current node started to send. */
    Duration m_arrivalTime {}; /**< Simulated time at which the last message arrived. */
};

inline std::optional<v1::ExchangeResponse> MemoryTransport::exchange(const std::string &address, const v1::ExchangeRequest &request, Duration)
{
    return m_network.exchange(m_from, address, request);
}

inline std::optional<bool> MemoryTransport::indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration)
{
    return m_network.indirectProbe(m_from, address, request);
}

/** Nodes of one simulated cluster, distributed evenly over its regions. */
class MemoryCluster
{
public:
    /** @return initial membership entry of the daemon with this number */
    static Member makeMember(std::size_t number, std::size_t regionCount, uint64_t incarnation = 1700000000000)
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
        GossipCallbacks callbacks;
        callbacks.wake = [this, address = member.peerAddress] {
            network.schedulePush(address);
        };
        network.regions[member.peerAddress] = member.region;
        auto &node = network.nodes[member.peerAddress];
        node = std::make_unique<MemoryNode>(network, clock, member, std::move(options), std::move(callbacks));
        return *node;
    }

    /** Starts @p count nodes, which join the cluster through up to three seeds, the first nodes. */
    void startAll(std::size_t count, std::size_t regionCount)
    {
        std::vector<std::string> seeds;
        for (std::size_t number = 0; number < std::min<std::size_t>(count, 3); ++number) {
            seeds.push_back(makeMember(number, regionCount).peerAddress);
        }
        for (std::size_t number = 0; number < count; ++number) {
            start(makeMember(number, regionCount), seeds);
        }
    }

    /** Advances the clock @p count times by one second, and after each step ticks all nodes and delivers all messages. */
    void tick(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            clock.advance(std::chrono::seconds(1));
            for (const std::string &address : shuffledAddresses()) {
                network.setSimulatedTime({});
                network.nodes.at(address)->gossip.tick();
            }
            network.runScheduledPushes();
            network.deliverLateCopies();
            network.runScheduledPushes();
        }
    }

    std::vector<std::string> shuffledAddresses()
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
        return *network.nodes.at(makeMember(number, 1).peerAddress);
    }

    /** @return whether the live entries are equal in the views of all nodes, compared by their hashes */
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
