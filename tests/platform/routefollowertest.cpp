#include "platform/routefollowerfixture.h"

#include "connection/endpoints.h"

#include <boost/asio/write.hpp>

#include <random>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

namespace
{

/** Forwards connections to a server and delivers its responses at a limited rate, like a slow link. It may stop to deliver to open connections. */
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

    /** Delivers nothing more to the connections that are open when this many more bytes of responses have been delivered. */
    void stopConnectionsAfter(size_t bytes)
    {
        m_bytesUntilStop = bytes;
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
        const int stopsBefore = m_stops;
        while (!error) {
            const size_t size = co_await source->async_read_some(asio::buffer(buffer), redirectError(error));
            countUntilStop(interval > 0ms ? size : 0);
            if (m_stops > stopsBefore) {
                timer.expires_at(TimePoint::max());
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (!error) {
                co_await asio::async_write(*target, asio::buffer(buffer, size), redirectError(error));
            }
            timer.expires_after(interval);
            ErrorCode ignored; // nothing cancels this timer
            co_await timer.async_wait(redirectError(ignored));
        }
        target->close(error);
    }

    void countUntilStop(size_t bytes)
    {
        if (m_bytesUntilStop && bytes >= *m_bytesUntilStop) {
            m_bytesUntilStop.reset();
            ++m_stops;
        } else if (m_bytesUntilStop) {
            *m_bytesUntilStop -= bytes;
        }
    }

    std::optional<size_t> m_bytesUntilStop;
    int m_stops = 0;
    asio::io_context &m_loop;
    Tcp::endpoint m_server;
    Tcp::acceptor m_acceptor;
};

/** A daemon at the end of a slow link to a store that has no other daemons, so that no peer delivers the routes. */
struct RemoteDaemonFixture : RouteFollowerFixture {
    RemoteDaemonFixture()
    {
        remoteStore.put("op", "config", publishedConfig(1, { { "/look/", "idempotent", "ordering" } }));
        start(remote, "vm-remote", link.address());
        REQUIRE(waitFor([&] { return remote.sync->routes() != nullptr; }, 5s));
        runFor(1s);
    }

    static std::vector<PublishedRoute> manyRoutes(int count)
    {
        std::vector<PublishedRoute> routes;
        for (int i = 0; i < count; ++i) {
            routes.push_back({ "/route-" + std::to_string(i) + "/", "idempotent", "ordering" });
        }
        return routes;
    }

    StandInTableStore remoteStore { loop };
    SlowLink link { loop, remoteStore.address() };
    Daemon remote;
};

} // namespace

TEST_CASE_METHOD(RemoteDaemonFixture, "RouteFollower.largeRoutesOnASlowLink.arriveInOneResponse")
{
    // Guards against routes that never arrive: a response that takes longer than the limit of a check was ended and requested again.
    remoteStore.put("op", "config", publishedConfig(2, manyRoutes(800)));
    CHECK(waitFor([&] { return remote.sync->routes()->version() == 2; }, 9s));
    CHECK(remote.metrics.value(Counter::WatchesAbandoned) == 0);
}

TEST_CASE_METHOD(RemoteDaemonFixture, "RouteFollower.responseThatStopsHalfway.newVersionIsInForceInTime")
{
    // Guards against a daemon that waits for the rest of a response which does not arrive, instead of asking again.
    link.stopConnectionsAfter(20'000);
    remoteStore.put("op", "config", publishedConfig(2, manyRoutes(100)));
    CHECK(waitFor([&] { return remote.sync->routes()->version() == 2; }, RecoveryLimit));
    CHECK(remote.metrics.value(Counter::WatchesAbandoned) == 1);
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
