#include "soakcluster.h"

#include <carobjunction/process/durations.h>

#include "connection/endpoints.h"
#include "connection/messagefields.h"
#include "process/clustersync.h"

#include "platform/platformadapter.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace carobjunction::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto HeartbeatInterval = 400ms;
constexpr auto StartLimit = 8s;
constexpr auto RecoveryTime = 6s;
constexpr auto RecoveryCheckTime = 2s;
constexpr double MinServedShare = 0.95; // share of requests that must succeed after the faults
constexpr int RouteAimMs = 500; // target latency of all routes, in milliseconds
constexpr int CallersPerKindAndVm = 2; // callers of idempotent and of non-idempotent requests each
constexpr int IdleCallersPerVm = 3; // callers whose connections are idle between requests
constexpr Duration MinIdleTimeout = 300ms;
constexpr Duration MaxIdleTimeout = 1500ms;

bool isOk(const ExchangeResult &result)
{
    return result.end == ExchangeEnd::Answered && result.response.result() == http::status::ok;
}

} // namespace

SoakCluster::SoakCluster(SoakOptions options) : m_options(std::move(options)), m_random(m_options.seed)
{
    std::filesystem::create_directories(m_options.logDirectory);
    publish();
    for (uint32_t i = 0; i < m_options.vmCount; ++i) {
        addVm(i);
    }
}

SoakCluster::~SoakCluster() = default;

void SoakCluster::addVm(uint32_t number)
{
    auto vm = std::make_unique<SoakVm>();
    vm->name = "vm-" + std::to_string(number);
    vm->region = number % 2 == 0 ? "north" : "south";
    vm->service = number / 2 % 2 == 0 ? "ordering" : "dispatch";
    vm->allocatePorts(m_ports);
    vm->settingsFile = m_options.logDirectory + "/" + vm->name + ".yaml";
    vm->startedAtMs = unixTimeMs();
    vm->backend = std::make_unique<platform::StandInBackend>(m_loop, "i-" + vm->name + "-0");
    vm->backend->serviceTime = 20ms;
    vm->backend->onRun = [this, soakVm = vm.get()](const HttpRequest &message) {
        m_guarantees.onRequestRun(message, soakVm->name, soakVm->backend->id, soakVm->service, SteadyClock().now());
    };
    vm->storeLink = FaultProxy::open(m_loop, m_ports.allocatePort(), parseEndpoint(m_store.address()).value());
    vm->peerLink = FaultProxy::open(m_loop, m_ports.allocatePort(), parseEndpoint(vm->peer).value());
    vm->backendLink = FaultProxy::open(m_loop, m_ports.allocatePort(), parseEndpoint(vm->backend->address()).value());
    if (!vm->storeLink || !vm->peerLink || !vm->backendLink) {
        throw std::runtime_error("cannot open a port for a fault proxy");
    }
    writeSettings(*vm);
    m_vms.push_back(std::move(vm));
}

void SoakCluster::writeSettings(const SoakVm &vm)
{
    std::ofstream file(vm.settingsFile);
    file << "daemon: " << vm.name << "\nregion: " << vm.region << "\ndata-centre: " << vm.region << "-a\nservice: " << vm.service
         << "\nbackend-address: " << vm.backendLink->address() << "\n"
         << vm.settings() << "announced-address: " << vm.peerLink->address() << "\nstore-address: " << vm.storeLink->address()
         << "\nheartbeat-interval: " << toMs(HeartbeatInterval) << "ms\ngrace-period: " << toMs(GracePeriod) << "ms\nretry-slack: " << 50 + m_version << "\n";
}

void SoakCluster::startDaemon(SoakVm &vm)
{
    setenv("CAROBJUNCTION_NODE_FILE", vm.settingsFile.c_str(), 1);
    ++vm.daemonStarts;
    vm.daemon = bench::ChildProcess::startWithLogFile({ m_options.program }, m_options.logDirectory + "/" + vm.name + ".log");
    if (!vm.daemon) {
        m_guarantees.fail("a daemon process can be started", vm.name);
    }
}

void SoakCluster::publish()
{
    m_idleTimeout = randomDuration(MinIdleTimeout, MaxIdleTimeout);
    publishVersion();
}

/** Publishes a version with one more route, and without a change of the limits. */
void SoakCluster::publishVersion()
{
    ++m_version;
    constexpr const char *Idempotent = "idempotent";
    std::vector<platform::PublishedRoute> routes { { "/look/", Idempotent, "ordering" },
                                                   { "/order/", "non_idempotent", "ordering" },
                                                   { "/ship/", Idempotent, "dispatch" } };
    for (int version = 2; version <= m_version; ++version) {
        routes.push_back({ "/v" + std::to_string(version) + "/", Idempotent, "dispatch" });
    }
    for (platform::PublishedRoute &route : routes) {
        route.aimMs = RouteAimMs;
    }
    m_configuration = platform::publishedConfig(m_version, routes, static_cast<int>(toMs(m_idleTimeout)));
    m_store.put("op", "config", m_configuration);
    m_guarantees.onVersionAcknowledged(m_version, SteadyClock().now());
}

void SoakCluster::spawn(Task<void> task)
{
    asio::co_spawn(m_loop, std::move(task), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

Task<void> SoakCluster::pause(Duration time)
{
    asio::steady_timer timer(m_loop, time);
    co_await timer.async_wait(asio::use_awaitable);
}

Duration SoakCluster::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(minimum.count(), maximum.count())(m_random));
}

bool SoakCluster::randomBool(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

SoakVm &SoakCluster::randomVm()
{
    return *m_vms[std::uniform_int_distribution<size_t>(0, m_vms.size() - 1)(m_random)];
}

void SoakCluster::logEvent(const std::string &event)
{
    if (m_options.verbose) {
        std::cout << toMs(SteadyClock().now() - m_startedAt) << " ms " << event << std::endl;
    }
}

Task<bool> SoakCluster::sendControlRequest(const SoakVm &vm, HttpRequest message)
{
    message.set(http::field::host, "admin");
    message.prepare_payload();
    const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.control).value(), PoolLimits {});
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + 1s;
    const ExchangeResult result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    co_return isOk(result);
}

Task<void> SoakCluster::sendHeartbeat(SoakVm &vm, std::string id, uint64_t sequence, int64_t startedAtMs, bool draining)
{
    HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
    message.body() = platform::heartbeatBody(vm.backendLink->address(), startedAtMs, vm.service, draining ? "draining" : "ready", sequence);
    if (co_await sendControlRequest(vm, std::move(message)) && draining) {
        m_guarantees.onLeaveAcknowledged(id, SteadyClock().now());
    }
}

Task<void> SoakCluster::sendLeave(SoakVm &vm)
{
    const std::string id = vm.backend->id;
    if (co_await sendControlRequest(vm, HttpRequest(http::verb::delete_, "/v1/instances/" + id, 11))) {
        m_guarantees.onLeaveAcknowledged(id, SteadyClock().now());
    }
}

Task<void> SoakCluster::sendHeartbeats(SoakVm &vm)
{
    while (!m_isFinished) {
        if (vm.isSendingHeartbeats) {
            const uint64_t sequence = ++vm.sequence;
            const bool wasDraining = vm.isDraining;
            co_await sendHeartbeat(vm, vm.backend->id, sequence, vm.startedAtMs, wasDraining);
        }
        co_await pause(HeartbeatInterval);
    }
}

Task<void> SoakCluster::simulateSlowPeriods(SoakVm &vm)
{
    constexpr double SlowShare = 0.3;
    constexpr double SlowFactor = 5;
    while (!m_isFinished) {
        vm.backend->slowdownFactor = randomBool(SlowShare) ? SlowFactor : 1;
        co_await pause(150ms);
    }
}

Task<ExchangeResult> SoakCluster::sendRequest(SoakVm &vm, std::shared_ptr<HttpClientPool> connections, http::verb method, std::string path, Duration timeLeft)
{
    const std::string id = "r" + std::to_string(++m_lastRequest);
    HttpRequest message(method, path, 11);
    message.set(http::field::host, "h.example");
    message.set("X-Attempt-Id", id);
    message.set("X-Deadline-Ms", std::to_string(toMs(timeLeft)));
    message.body() = "body of " + id;
    message.prepare_payload();
    m_guarantees.onRequestSent(id, method == http::verb::get);
    CallerExchange exchange;
    exchange.request = id;
    exchange.vm = vm.name;
    exchange.message = message;
    exchange.sentAt = SteadyClock().now();
    exchange.deadline = exchange.sentAt + timeLeft;
    ExchangeOptions options;
    options.deadline = exchange.deadline + GuaranteeBounds().deadlineMargin;
    const uint64_t opened = connections->openedConnectionCount();
    exchange.result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    exchange.isOnReusedConnection = connections->openedConnectionCount() == opened;
    exchange.endedAt = SteadyClock().now();
    m_guarantees.onExchangeEnd(exchange);
    co_return exchange.result;
}

Task<void> SoakCluster::runCaller(SoakVm &vm, bool isIdempotent)
{
    const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.caller).value(), PoolLimits {});
    while (!m_isFinished) {
        const std::string path = !isIdempotent ? "/order/x" : randomBool(0.5) ? "/look/x" : "/ship/x";
        co_await sendRequest(vm, connections, isIdempotent ? http::verb::get : http::verb::post, path, randomDuration(400ms, 2000ms));
        co_await pause(randomDuration(5ms, 60ms));
    }
}

/** Sends requests over one connection at intervals close to the idle timeout in force, so that requests race with its close. */
Task<void> SoakCluster::runIdleCaller(SoakVm &vm)
{
    const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.caller).value(), PoolLimits { 1, 10s });
    while (!m_isFinished) {
        co_await sendRequest(vm, connections, http::verb::get, "/look/x", 2s);
        const double share = std::uniform_real_distribution<double>(0.7, 1.02)(m_random);
        co_await pause(scaled(m_idleTimeout, share));
    }
}

/** Requests routes of random configuration versions, each time over a new connection, to detect reverted configurations. */
Task<void> SoakCluster::probeVersions(SoakVm &vm)
{
    while (!m_isFinished) {
        co_await pause(randomDuration(100ms, 300ms));
        const int draw = std::uniform_int_distribution<int>(2, std::max(2 * m_version, 2))(m_random);
        const int version = std::min(draw, std::max(m_version, 2)); // often the newest one
        const int daemonStart = vm.daemonStarts;
        const bool wasDaemonFaultActive = vm.isDaemonFaultActive;
        const TimePoint sentAt = SteadyClock().now();
        const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.caller).value(), PoolLimits {});
        const ExchangeResult result = co_await sendRequest(vm, connections, http::verb::get, "/v" + std::to_string(version) + "/x", 1s);
        const bool isSameProcess = daemonStart == vm.daemonStarts && !wasDaemonFaultActive && !vm.isDaemonFaultActive;
        const bool isRouteUnknown = result.end == ExchangeEnd::Answered && result.response.result() == http::status::not_found;
        if (isSameProcess && (isOk(result) || isRouteUnknown)) {
            m_guarantees.onVersionObserved(vm.name, daemonStart, version, isOk(result), sentAt);
        }
    }
}

/** Checks that every daemon serves nearly all requests after the faults, including those of the newest configuration. */
Task<void> SoakCluster::checkRecovery()
{
    co_await pause(RecoveryTime);
    logEvent("check");
    for (const auto &vm : m_vms) {
        const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm->caller).value(), PoolLimits {});
        int sent = 0;
        int served = 0;
        const TimePoint end = SteadyClock().now() + RecoveryCheckTime / m_vms.size();
        while (SteadyClock().now() < end) {
            ++sent;
            const std::string newest = m_version > 1 ? "/v" + std::to_string(m_version) + "/x" : "/ship/x";
            const std::string path = sent % 3 == 0 ? newest : sent % 3 == 1 ? "/look/x" : "/order/x";
            served += isOk(co_await sendRequest(*vm, connections, sent % 3 == 2 ? http::verb::post : http::verb::get, path, 1500ms)) ? 1 : 0;
        }
        if (served < sent * MinServedShare) {
            m_guarantees.fail("a daemon serves requests again after the faults", vm->name + ": " + std::to_string(served) + " of " + std::to_string(sent));
        }
    }
}

/** Checks that no daemon process has exited unless a fault stopped it. */
void SoakCluster::checkDaemonsRunning()
{
    for (const auto &vm : m_vms) {
        if (!vm->isDaemonFaultActive && vm->daemon->waitForExit(0ms)) {
            m_guarantees.fail("no daemon exits on its own", vm->name + " exited with wait status " + std::to_string(vm->daemon->status()));
        }
    }
}

Task<void> SoakCluster::runSoak()
{
    co_await pause(3s); // by then, all daemons have read the configuration and received a heartbeat
    for (const auto &vm : m_vms) {
        for (int i = 0; i < CallersPerKindAndVm; ++i) {
            spawn(runCaller(*vm, true));
            spawn(runCaller(*vm, false));
        }
        for (int i = 0; i < IdleCallersPerVm; ++i) {
            spawn(runIdleCaller(*vm));
        }
        spawn(probeVersions(*vm));
    }
    co_await pause(500ms);
    co_await injectFaults();
    checkDaemonsRunning();
    co_await checkRecovery();
    checkDaemonsRunning();
    m_isFinished = true;
    co_await pause(3s); // the last requests complete, and late runs are observed
    m_loop.stop();
}

std::vector<std::string> SoakCluster::run()
{
    m_startedAt = SteadyClock().now();
    for (const auto &vm : m_vms) {
        startDaemon(*vm);
        spawn(sendHeartbeats(*vm));
        spawn(simulateSlowPeriods(*vm));
    }
    spawn(sendForeignHeartbeats());
    spawn(keepCopiesOfStore());
    spawn(restoreStoreRepeatedly());
    spawn(runSoak());
    m_loop.run();
    return m_guarantees.failures();
}

} // namespace carobjunction::soak
