#include "platform/platformadapter.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"
#include "process/clustersync.h"

#include "connection/endpoints.h"
#include "freeports.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

/** Three daemons' ClusterSync objects, run in the test process against one stand-in for the table store. */
struct RouteFollowerFixture {
    static constexpr Duration ApplyLimit = 2500ms; /**< Time after its acknowledgement within which a version must be in force. */
    static constexpr Duration RecoveryLimit = 4s; /**< Time after the end of an outage within which versions must be in force again. */

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
        REQUIRE(waitFor([this] { return allHave(1); }, 5s));
        runFor(3s); // the second read of the VM table
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
            runFor(10ms);
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

/** Forwards connections to a server and delivers its responses at a limited rate, like a slow link. */
class SlowLink
{
public:
    static constexpr size_t ChunkBytes = 4096;
    static constexpr Duration ChunkInterval = 40ms;

    SlowLink(asio::io_context &loop, const std::string &server)
        : m_loop(loop), m_server(parseEndpoint(server).value()), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using Socket = std::shared_ptr<Tcp::socket>;

    Task<void> accept()
    {
        while (true) {
            const auto client = std::make_shared<Tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            const auto server = std::make_shared<Tcp::socket>(m_loop);
            co_await server->async_connect(m_server, asio::use_awaitable);
            asio::co_spawn(m_loop, copy(client, server, 0ms), asio::detached);
            asio::co_spawn(m_loop, copy(server, client, ChunkInterval), asio::detached);
        }
    }

    Task<void> copy(Socket source, Socket target, Duration interval)
    {
        std::array<char, ChunkBytes> buffer {};
        asio::steady_timer timer(m_loop);
        ErrorCode error;
        while (!error) {
            const size_t size = co_await source->async_read_some(asio::buffer(buffer), redirectError(error));
            if (!error) {
                co_await asio::async_write(*target, asio::buffer(buffer, size), redirectError(error));
            }
            timer.expires_after(interval);
            ErrorCode ignored; // nothing cancels this timer
            co_await timer.async_wait(redirectError(ignored));
        }
        target->close(error);
    }

    asio::io_context &m_loop;
    Tcp::endpoint m_server;
    Tcp::acceptor m_acceptor;
};

} // namespace

TEST_CASE_METHOD(RouteFollowerFixture, "RouteFollower.largeRoutesOnASlowLink.arriveInOneResponse")
{
    // Guards against routes that never arrive: a response that takes longer than the limit of a check was ended and requested again.
    StandInTableStore remoteStore(loop); // has no other daemons, so that no peer delivers the routes
    remoteStore.put("op", "config", publishedConfig(1, { { "/look/", "idempotent", "ordering" } }));
    SlowLink link(loop, remoteStore.address());
    Daemon remote;
    start(remote, "vm-remote", link.address());
    REQUIRE(waitFor([&] { return remote.sync->routes() != nullptr; }, 5s));
    runFor(1s);
    std::vector<PublishedRoute> routes;
    for (int i = 0; i < 800; ++i) {
        routes.push_back({ "/route-" + std::to_string(i) + "/", "idempotent", "ordering" });
    }
    remoteStore.put("op", "config", publishedConfig(2, routes));
    CHECK(waitFor([&] { return remote.sync->routes()->version() == 2; }, 9s));
    CHECK(remote.metrics.value(Counter::WatchesAbandoned) == 0);
}

TEST_CASE_METHOD(RouteFollowerFixture, "RouteFollower.watchesThatAreLostInAnOutage.newVersionIsInForceInTime")
{
    // Guards against requests that go by old routes, because the watches of all daemons were lost in an outage of the store that left their
    // connections open. The outage and the change come at random moments.
    const uint32_t seed = GENERATE(range(1U, 5U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto randomTime = [&random](Duration limit) {
        return scaled(limit, std::uniform_real_distribution<double>(0, 1)(random));
    };
    runFor(randomTime(1500ms));
    silenceStore(20ms + randomTime(4500ms));
    const TimePoint recoveredAt = SteadyClock().now();
    runFor(randomTime(6s));
    publish(2);
    const TimePoint dueAt = std::max(SteadyClock().now() + ApplyLimit, recoveredAt + RecoveryLimit);
    CHECK(waitFor([this] { return allHave(2); }, dueAt - SteadyClock().now()));
    publish(3);
    CHECK(waitFor([this] { return allHave(3); }, ApplyLimit));
}

TEST_CASE_METHOD(RouteFollowerFixture, "RouteFollower.watchesThatAreLostAtOnce.areSentAgain")
{
    // Guards against changes that always arrive late, since the dead watch stays in place after a check has found a change.
    silenceStore(20ms);
    publish(2);
    REQUIRE(waitFor([this] { return allHave(2); }, ApplyLimit));
    runFor(2s);
    CHECK(total(Counter::WatchesAbandoned) > 0);
    publish(3);
    CHECK(waitFor([this] { return std::any_of(daemons.begin(), daemons.end(), [](const Daemon &daemon) { return daemon.sync->routes()->version() == 3; }); },
                  300ms));
}

TEST_CASE_METHOD(RouteFollowerFixture, "RouteFollower.calmStore.isAskedAboutAsOftenAsByOneDaemon")
{
    // Guards against checks whose number grows with the fleet, because each call to the store is billed.
    const uint64_t before = total(Counter::RouteChecks);
    constexpr auto Time = 9s;
    runFor(Time);
    const uint64_t checks = total(Counter::RouteChecks) - before;
    CHECK(checks >= static_cast<uint64_t>(Time / RouteConfirmation::MaxAge));
    CHECK(checks <= 2 * static_cast<uint64_t>(Time / RouteConfirmation::MinCheckAge));
    CHECK(total(Counter::WatchesAbandoned) == 0);
}
