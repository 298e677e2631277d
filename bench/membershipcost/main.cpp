// Measures the network traffic, CPU time and memory that the membership protocol costs each daemon. All daemons run in one process and exchange
// serialised messages over a simulated network.
#include "process/memorycluster.h"

#include <CLI/CLI.hpp>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace carobjunction;
using namespace carobjunction::testing;

namespace
{

constexpr std::size_t ServiceCount = 60;
constexpr double SecondsPerDay = 86400;

double processCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

struct Options {
    std::vector<std::size_t> sizes { 25, 50, 100, 400, 1700 };
    std::size_t regions = 3;
    std::size_t seconds = 120;
    std::size_t contentBytes = 2048;
    double loss = 0;
    double rateFactor = 1;
};

/** Cost of the membership protocol over a simulated period. Rates are per simulated second and, unless stated otherwise, means over the daemons. */
struct DaemonCost {
    double bytes = 0;
    double maxBytesPerDaemon = 0;
    double bytesBetweenRegions = 0; /**< Sum over all daemons. */
    double messages = 0;
    uint64_t largestMessageBytes = 0;
    double cpuMsPerSecond = 0;
    std::size_t seconds = 0;
};

class Measurement
{
public:
    Measurement(std::size_t count, const Options &options) : m_count(count), m_options(options)
    {
        m_cluster.network.random.seed(20261204);
        m_cluster.startAll(count, options.regions);
        for (std::size_t service = 0; service < ServiceCount; ++service) {
            publish(service);
        }
        while (!m_cluster.hasConverged() || !hasUniformConfigs()) {
            m_cluster.tick(1);
            ++m_convergenceTicks;
            if (m_convergenceTicks > 200) {
                std::cout << "the daemons did not converge within 200 ticks\n";
                break;
            }
        }
        m_cluster.tick(2);
        m_cluster.network.lossProbability = options.loss;
    }

    std::size_t convergenceTicks() const
    {
        return m_convergenceTicks;
    }

    /**
     * Runs the simulation while VMs restart and configurations are published at constant rates.
     * @param restartsPerDay  rate of VM restarts; a daemon goes through the states leaving and left, and a new incarnation starts 5 s later
     * @param configsPerDay  rate of published configurations
     * @return cost of the membership protocol during the simulation
     */
    DaemonCost run(double restartsPerDay, double configsPerDay)
    {
        m_cluster.network.traffic.clear();
        m_cluster.network.bytesBetweenRegions = 0;
        const double start = processCpuSeconds();
        double restarts = 0;
        double configs = 0;
        std::vector<std::pair<std::size_t, std::size_t>> stoppedNodes;
        for (std::size_t second = 0; second < m_options.seconds; ++second) {
            restarts += restartsPerDay / SecondsPerDay;
            configs += configsPerDay / SecondsPerDay;
            for (; restarts >= 1; restarts -= 1) {
                const std::size_t number = 3 + m_cluster.network.random() % (m_count - 3);
                if (m_cluster.network.nodes.count(address(number)) > 0) {
                    stop(number);
                    stoppedNodes.emplace_back(number, second + 5);
                }
            }
            for (; configs >= 1; configs -= 1) {
                publish(m_cluster.network.random() % ServiceCount);
            }
            std::erase_if(stoppedNodes, [&](const auto &item) {
                if (item.second <= second) {
                    restart(item.first);
                }
                return item.second <= second;
            });
            m_cluster.tick(1);
        }
        return collect(processCpuSeconds() - start);
    }

    /** @return time in seconds until all daemons have received the leaving state of one daemon, or -1 if they didn't, and the number of ticks */
    std::pair<double, std::size_t> measureLeavePropagation()
    {
        MemoryNode &node = m_cluster.node(m_count / 2);
        m_cluster.network.setSimulatedTime({});
        node.gossip.updateOwn([](Member &own) { own.state = MemberState::Leaving; });
        const auto result
            = measurePropagation([&, id = node.view.ownId()](const MemoryNode &other) { return other.view.find(id)->state == MemberState::Leaving; });
        node.gossip.updateOwn([](Member &own) { own.state = MemberState::Up; });
        m_cluster.tick(2);
        return result;
    }

    /** @return time in seconds until all daemons have received a new configuration, or -1 if they didn't, and the number of ticks */
    std::pair<double, std::size_t> measureConfigPropagation(std::size_t contentBytes)
    {
        const std::string service = "service-0";
        const uint64_t version = ++m_versions[0];
        m_cluster.network.setSimulatedTime({});
        offerConfig(0, version, contentBytes);
        return measurePropagation([&](const MemoryNode &other) { return other.configs.entry(service)->version == version; });
    }

    /** @return heap bytes per member in the membership view of one daemon */
    static double memoryPerMember(std::size_t count)
    {
        const FakeClock clock;
        const std::size_t before = mallinfo2().uordblks;
        MembershipView<FakeClock> view(clock, MemoryCluster::makeMember(0, 3));
        for (std::size_t number = 1; number < count; ++number) {
            view.merge({ MemoryCluster::makeMember(number, 3) }, "daemon-1");
        }
        view.members();
        for (std::size_t service = 0; service < ServiceCount; ++service) {
            view.targets("service-" + std::to_string(service));
        }
        return static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(count);
    }

private:
    std::string address(std::size_t number) const
    {
        return MemoryCluster::makeMember(number, m_options.regions).peerAddress;
    }

    /** Applies a new configuration version at the daemon that polls the store, and propagates it to the others. */
    void publish(std::size_t service)
    {
        offerConfig(service, ++m_versions[service], m_options.contentBytes);
        m_cluster.network.runScheduledPushes();
    }

    void offerConfig(std::size_t service, uint64_t version, std::size_t contentBytes)
    {
        std::string content(contentBytes, 'x');
        content += std::to_string(service) + "." + std::to_string(version);
        content.erase(0, content.size() - contentBytes);
        MemoryNode *poller = &m_cluster.node(0);
        for (const auto &[peer, node] : m_cluster.network.nodes) {
            if (node->gossip.isRepresentative()) {
                poller = node.get();
                break;
            }
        }
        const std::string name = "service-" + std::to_string(service);
        poller->configs.offer({ name, version, ConfigTable::sha256(content), "operator", "publish-0123456789", 1700000000000, content });
        m_cluster.network.schedulePush(poller->view.own().peerAddress);
    }

    void stop(std::size_t number)
    {
        auto &node = m_cluster.network.nodes.at(address(number));
        for (const MemberState state : { MemberState::Leaving, MemberState::Left }) {
            node->gossip.updateOwn([&](Member &own) { own.state = state; });
            m_cluster.network.runScheduledPushes();
        }
        m_cluster.network.nodes.erase(address(number));
    }

    void restart(std::size_t number)
    {
        Member member = MemoryCluster::makeMember(number, m_options.regions, 1700000000000 + ++m_restartCount);
        member.targetAddress.clear();
        m_cluster.start(member, { address(0), address(1), address(2) });
        m_cluster.network.runScheduledPushes();
    }

    bool hasUniformConfigs()
    {
        std::set<uint64_t> hashes;
        for (const auto &[peer, node] : m_cluster.network.nodes) {
            hashes.insert(node->configs.hash());
        }
        return hashes.size() == 1;
    }

    template<typename HasReceived>
    std::pair<double, std::size_t> measurePropagation(HasReceived hasReceived)
    {
        std::set<std::string> pendingPeers;
        for (const auto &[peer, node] : m_cluster.network.nodes) {
            pendingPeers.insert(peer);
        }
        Duration last {};
        const auto update = [&](Duration time) {
            const std::size_t before = pendingPeers.size();
            std::erase_if(pendingPeers, [&](const std::string &peer) { return hasReceived(*m_cluster.network.nodes.at(peer)); });
            if (pendingPeers.size() != before) {
                last = time;
            }
        };
        m_cluster.network.runScheduledPushes(update);
        std::size_t ticks = 0;
        constexpr std::size_t MaxTicks = 30;
        while (!pendingPeers.empty() && ticks < MaxTicks) {
            m_cluster.tick(1);
            ++ticks;
            update(std::chrono::seconds(ticks));
        }
        return { pendingPeers.empty() ? std::chrono::duration<double>(last).count() : -1, ticks };
    }

    DaemonCost collect(double cpuSeconds) const
    {
        DaemonCost cost;
        cost.seconds = m_options.seconds;
        const auto seconds = static_cast<double>(m_options.seconds);
        cost.bytesBetweenRegions = static_cast<double>(m_cluster.network.bytesBetweenRegions) / seconds;
        for (const auto &[peer, traffic] : m_cluster.network.traffic) {
            cost.bytes += static_cast<double>(traffic.bytes) / seconds / static_cast<double>(m_count);
            cost.messages += static_cast<double>(traffic.messages) / seconds / static_cast<double>(m_count);
            cost.maxBytesPerDaemon = std::max(cost.maxBytesPerDaemon, static_cast<double>(traffic.bytes) / seconds);
            cost.largestMessageBytes = std::max(cost.largestMessageBytes, traffic.largestBytes);
        }
        cost.cpuMsPerSecond = cpuSeconds * 1000 / seconds / static_cast<double>(m_count);
        return cost;
    }

    std::size_t m_count;
    const Options &m_options;
    MemoryCluster m_cluster;
    std::map<std::size_t, uint64_t> m_versions;
    std::size_t m_convergenceTicks = 0;
    uint64_t m_restartCount = 0;
};

void print(std::size_t count, const std::string &load, const DaemonCost &cost)
{
    std::cout << "| " << count << " | " << load << " | " << std::fixed << std::setprecision(0) << cost.bytes << " | " << cost.maxBytesPerDaemon << " | "
              << cost.bytesBetweenRegions << " | " << std::setprecision(1) << cost.messages << " | " << cost.largestMessageBytes << " | "
              << std::setprecision(3) << cost.cpuMsPerSecond << " |\n"
              << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app("Measures the cost of the membership protocol for each daemon");
    app.add_option("--sizes", options.sizes, "numbers of daemons");
    app.add_option("--regions", options.regions, "number of regions");
    app.add_option("--seconds", options.seconds, "simulated duration of each measurement in seconds");
    app.add_option("--content-bytes", options.contentBytes, "size of each configuration in bytes");
    app.add_option(
        "--rate-factor", options.rateFactor, "factor for the rates of restarts and configurations, so that a short simulation contains enough of them");
    app.add_option("--loss", options.loss, "share of messages that are lost, from 0 to 1");
    CLI11_PARSE(app, argc, argv);
    EventLog::initialise(LogLevel::Error);

    std::cout << "| Daemons | Load | Bytes/s | Bytes/s, busiest daemon | Bytes/s between regions, all daemons | Messages/s | Largest message, bytes | CPU ms/s "
                 "|\n|---|---|---|---|---|---|---|---|\n"
              << std::flush;
    std::ostringstream times;
    for (const std::size_t size : options.sizes) {
        Measurement measurement(size, options);
        print(size, "idle", measurement.run(0, 0));
        constexpr double RestartsPerDay = 130;
        constexpr double ConfigsPerDay = 3000;
        std::ostringstream load;
        load << RestartsPerDay * options.rateFactor << " restarts, " << ConfigsPerDay * options.rateFactor << " configurations a day";
        print(size, load.str(), measurement.run(RestartsPerDay * options.rateFactor, ConfigsPerDay * options.rateFactor));
        const auto leave = measurement.measureLeavePropagation();
        const auto config = measurement.measureConfigPropagation(options.contentBytes);
        const auto large = measurement.measureConfigPropagation(ConfigTable::MaxContentBytes);
        times << "| " << size << " | " << measurement.convergenceTicks() << " | " << std::fixed << std::setprecision(3) << leave.first << " (" << leave.second
              << ") | " << config.first << " (" << config.second << ") | " << large.first << " (" << large.second << ") | " << std::setprecision(0)
              << Measurement::memoryPerMember(size) << " |\n";
    }
    std::cout
        << "\n| Daemons | Ticks until convergence | Leave propagation, s (ticks) | Configuration propagation, s (ticks) | The same with 64 KiB | Bytes of "
           "memory per member |\n|---|---|---|---|---|---|\n"
        << times.str();
    return 0;
}
