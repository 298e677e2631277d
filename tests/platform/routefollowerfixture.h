#pragma once

#include "platform/platformadapter.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"
#include "process/clustersync.h"

#include "freeports.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace carobjunction::platform
{

/** Three daemons' ClusterSync objects, run in the test process against one stand-in for the table store. */
struct RouteFollowerFixture {
    static constexpr Duration ApplyLimit = std::chrono::milliseconds(2500); /**< Time after its acknowledgement within which a version must be in force. */
    static constexpr Duration RecoveryLimit = std::chrono::seconds(4); /**< Time after the end of an outage within which versions must be in force again. */

    struct Daemon {
        VmSettings settings;
        CrashHistory crashes;
        Metrics metrics;
        std::unique_ptr<VmDirectory> directory;
        std::unique_ptr<ClusterSync<PlatformAdapter>> sync;
    };

    RouteFollowerFixture()
    {
        publish(1);
        for (size_t i = 0; i < daemons.size(); ++i) {
            start(daemons[i], "vm-" + std::to_string(i + 1));
        }
        REQUIRE(waitFor([this] { return allHave(1); }, std::chrono::seconds(5)));
        runFor(std::chrono::seconds(3)); // the second read of the VM table
    }

    void start(Daemon &daemon, const std::string &name, const std::string &storeAddress = "")
    {
        daemon.settings.daemon = name;
        daemon.settings.dataCentre = "a";
        daemon.settings.region = "r";
        daemon.settings.storeAddress = storeAddress.empty() ? store.address() : storeAddress;
        daemon.settings.peerAddress = "127.0.0.1:" + std::to_string(ports.allocatePort());
        daemon.directory = std::make_unique<VmDirectory>(name, Locality { "a", "r" });
        daemon.sync = std::make_unique<ClusterSync<PlatformAdapter>>(loop, daemon.settings, *daemon.directory, daemon.crashes, daemon.metrics, nullptr);
        daemon.sync->start([] { return TargetReport {}; }, [](const BackendRecord *) {});
    }

    void publish(int version)
    {
        store.put("op", "config", publishedConfig(version, { { "/look/", "idempotent", "ordering" } }));
    }

    bool allHave(uint64_t version) const
    {
        return std::all_of(
            daemons.begin(), daemons.end(), [version](const Daemon &daemon) { return daemon.sync->routes() && daemon.sync->routes()->version() >= version; });
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    bool waitFor(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint end = SteadyClock().now() + limit;
        while (SteadyClock().now() < end && !condition()) {
            runFor(std::chrono::milliseconds(10));
        }
        return condition();
    }

    /** Leaves the calls that are in progress or arrive within @p time without a response. */
    void silenceStore(Duration time)
    {
        store.isSilent = true;
        runFor(time);
        store.isSilent = false;
    }

    uint64_t total(Counter counter) const
    {
        uint64_t sum = 0;
        for (const Daemon &daemon : daemons) {
            sum += daemon.metrics.value(counter);
        }
        return sum;
    }

    asio::io_context loop { 1 };
    bench::FreePorts ports;
    StandInTableStore store { loop };
    std::array<Daemon, 3> daemons;
};

} // namespace carobjunction::platform
