#include "soakworld.h"

#include <carobjunction/process/durations.h>

#include "connection/endpoints.h"
#include "connection/messagefields.h"
#include "process/clustersync.h"

#include "platform/platformadapter.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/wait.h>

namespace carobjunction::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto HeartbeatInterval = 400ms;
constexpr auto GracePeriod = 4s;
constexpr auto StartLimit = 8s;
constexpr auto RecoveryTime = 6s;
constexpr auto CheckTime = 2s;
constexpr double ServedWhenCalm = 0.95; // share of the requests that succeed after the faults
constexpr int AimMs = 500; // of all routes
constexpr int CallersEach = 2; // of each kind, on each VM
constexpr int IdleCallersEach = 3; // on each VM
constexpr Duration ShortestIdleTimeout = 300ms;
constexpr Duration LongestIdleTimeout = 1500ms;

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool isOk(const ExchangeResult &result)
{
    return result.end == ExchangeEnd::Answered && result.response.result() == http::status::ok;
}

} // namespace

SoakWorld::SoakWorld(SoakOptions options) : m_options(std::move(options)), m_random(m_options.seed)
{
    std::filesystem::create_directories(m_options.logDirectory);
    publish();
    for (uint32_t i = 0; i < m_options.vms; ++i) {
        addVm(i);
    }
}

SoakWorld::~SoakWorld() = default;

void SoakWorld::addVm(uint32_t number)
{
    auto vm = std::make_unique<SoakVm>();
    vm->name = "vm-" + std::to_string(number);
    vm->region = number % 2 == 0 ? "north" : "south";
    vm->service = number / 2 % 2 == 0 ? "ordering" : "dispatch";
    vm->takePorts(m_ports);
    vm->settingsFile = m_options.logDirectory + "/" + vm->name + ".yaml";
    vm->bornMs = unixMs();
    vm->backend = std::make_unique<platform::StandInBackend>(m_loop, "i-" + vm->name + "-0");
    vm->backend->work = 20ms;
    vm->backend->onRun = [this, raw = vm.get()](const HttpRequest &message) {
        m_promises.onRun(message, raw->name, raw->backend->id, raw->service, SteadyClock().now());
    };
    vm->storeLink = FaultProxy::open(m_loop, m_ports.next(), toEndpoint(m_store.address()).value());
    vm->peerLink = FaultProxy::open(m_loop, m_ports.next(), toEndpoint(vm->peer).value());
    vm->backendLink = FaultProxy::open(m_loop, m_ports.next(), toEndpoint(vm->backend->address()).value());
    if (!vm->storeLink || !vm->peerLink || !vm->backendLink) {
        throw std::runtime_error("no free port for a proxy");
    }
    writeSettings(*vm);
    m_vms.push_back(std::move(vm));
}

void SoakWorld::writeSettings(const SoakVm &vm)
{
    std::ofstream file(vm.settingsFile);
    file << "daemon: " << vm.name << "\nregion: " << vm.region << "\ndata-centre: " << vm.region << "-a\nservice: " << vm.service
         << "\nbackend-address: " << vm.backendLink->address() << "\n"
         << vm.settings() << "announced-address: " << vm.peerLink->address() << "\nstore-address: " << vm.storeLink->address()
         << "\nheartbeat-interval: " << toMs(HeartbeatInterval) << "ms\ngrace-period: " << toMs(GracePeriod) << "ms\nretry-slack: " << 50 + m_version << "\n";
}

void SoakWorld::startDaemon(SoakVm &vm)
{
    setenv("CAROBJUNCTION_NODE_FILE", vm.settingsFile.c_str(), 1);
    ++vm.daemonStarts;
    vm.daemon = bench::ChildProcess::startLogged({ m_options.program }, m_options.logDirectory + "/" + vm.name + ".log");
    if (!vm.daemon) {
        m_promises.fail("the daemon starts", vm.name);
    }
}

void SoakWorld::publish()
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
        route.aimMs = AimMs;
    }
    m_idleTimeout = between(ShortestIdleTimeout, LongestIdleTimeout);
    m_store.put("op", "config", platform::publishedConfig(m_version, routes, static_cast<int>(toMs(m_idleTimeout))));
}

void SoakWorld::spawn(Task<void> task)
{
    asio::co_spawn(m_loop, std::move(task), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

Task<void> SoakWorld::pause(Duration time)
{
    asio::steady_timer timer(m_loop, time);
    co_await timer.async_wait(asio::use_awaitable);
}

Duration SoakWorld::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(m_random));
}

bool SoakWorld::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

SoakVm &SoakWorld::anyVm()
{
    return *m_vms[std::uniform_int_distribution<size_t>(0, m_vms.size() - 1)(m_random)];
}

void SoakWorld::tell(const std::string &what)
{
    if (m_options.verbose) {
        std::cout << toMs(SteadyClock().now() - m_startedAt) << " ms " << what << std::endl;
    }
}

Task<bool> SoakWorld::sendControl(const SoakVm &vm, HttpRequest message)
{
    message.set(http::field::host, "admin");
    message.prepare_payload();
    const auto connections = std::make_shared<HttpClientPool>(m_loop, toEndpoint(vm.control).value(), PoolLimits {});
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + 1s;
    const ExchangeResult result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    co_return isOk(result);
}

Task<void> SoakWorld::sendHeartbeat(SoakVm &vm, std::string id, uint64_t sequence, int64_t bornMs, bool draining)
{
    HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
    message.body() = platform::heartbeatBody(vm.backendLink->address(), bornMs, vm.service, draining ? "draining" : "ready", sequence);
    if (co_await sendControl(vm, std::move(message)) && draining) {
        m_promises.onLeaveAcknowledged(id, SteadyClock().now());
    }
}

Task<void> SoakWorld::sendLeave(SoakVm &vm)
{
    const std::string id = vm.backend->id;
    if (co_await sendControl(vm, HttpRequest(http::verb::delete_, "/v1/instances/" + id, 11))) {
        m_promises.onLeaveAcknowledged(id, SteadyClock().now());
    }
}

Task<void> SoakWorld::heartbeats(SoakVm &vm)
{
    while (!m_isOver) {
        if (vm.isBackendUp) {
            const uint64_t sequence = ++vm.sequence;
            const bool wasDraining = vm.isDraining;
            co_await sendHeartbeat(vm, vm.backend->id, sequence, vm.bornMs, wasDraining);
        }
        co_await pause(HeartbeatInterval);
    }
}

Task<void> SoakWorld::slowSpells(SoakVm &vm)
{
    constexpr double SlowShare = 0.3;
    constexpr double SlowFactor = 5;
    while (!m_isOver) {
        vm.backend->slowness = chance(SlowShare) ? SlowFactor : 1;
        co_await pause(150ms);
    }
}

Task<ExchangeResult> SoakWorld::sendRequest(SoakVm &vm, std::shared_ptr<HttpClientPool> connections, http::verb method, std::string path, Duration timeLeft)
{
    const std::string id = "r" + std::to_string(++m_lastRequest);
    HttpRequest message(method, path, 11);
    message.set(http::field::host, "h.example");
    message.set("X-Attempt-Id", id);
    message.set("X-Deadline-Ms", std::to_string(toMs(timeLeft)));
    message.body() = "body of " + id;
    message.prepare_payload();
    m_promises.onSent(id, method == http::verb::get);
    CallerExchange exchange;
    exchange.request = id;
    exchange.vm = vm.name;
    exchange.message = message;
    exchange.sentAt = SteadyClock().now();
    exchange.deadline = exchange.sentAt + timeLeft;
    ExchangeOptions options;
    options.deadline = exchange.deadline + PromiseBounds().answerMargin;
    const uint64_t opened = connections->connectionsOpened();
    exchange.result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    exchange.isOnKeptConnection = connections->connectionsOpened() == opened;
    exchange.endedAt = SteadyClock().now();
    m_promises.onEnd(exchange);
    co_return exchange.result;
}

Task<void> SoakWorld::caller(SoakVm &vm, bool isIdempotent)
{
    const auto connections = std::make_shared<HttpClientPool>(m_loop, toEndpoint(vm.caller).value(), PoolLimits {});
    while (!m_isOver) {
        const std::string path = !isIdempotent ? "/order/x" : chance(0.5) ? "/look/x" : "/ship/x";
        co_await sendRequest(vm, connections, isIdempotent ? http::verb::get : http::verb::post, path, between(400ms, 2000ms));
        co_await pause(between(5ms, 60ms));
    }
}

/** Sends its next request shortly before or after its connection has been idle for the limit in force. */
Task<void> SoakWorld::idleCaller(SoakVm &vm)
{
    const auto connections = std::make_shared<HttpClientPool>(m_loop, toEndpoint(vm.caller).value(), PoolLimits { 1, 10s });
    while (!m_isOver) {
        co_await sendRequest(vm, connections, http::verb::get, "/look/x", 2s);
        const double share = std::uniform_real_distribution<double>(0.7, 1.02)(m_random);
        co_await pause(scaled(m_idleTimeout, share));
    }
}

/** Asks for the newest configuration and for an older one, each time over a new connection. */
Task<void> SoakWorld::versionProbes(SoakVm &vm)
{
    while (!m_isOver) {
        co_await pause(between(100ms, 300ms));
        const int version = std::uniform_int_distribution<int>(2, std::max(m_version, 2))(m_random);
        const int start = vm.daemonStarts;
        const bool wasBusy = vm.isDaemonBusy;
        const auto connections = std::make_shared<HttpClientPool>(m_loop, toEndpoint(vm.caller).value(), PoolLimits {});
        const ExchangeResult result = co_await sendRequest(vm, connections, http::verb::get, "/v" + std::to_string(version) + "/x", 1s);
        const bool isSameStart = start == vm.daemonStarts && !wasBusy && !vm.isDaemonBusy;
        const bool isUnknown = result.end == ExchangeEnd::Answered && result.response.result() == http::status::not_found;
        if (isSameStart && (isOk(result) || isUnknown)) {
            m_promises.onVersionSeen(vm.name, start, version, isOk(result));
        }
    }
}

Task<void> SoakWorld::faults()
{
    const TimePoint end = SteadyClock().now() + m_options.faultTime;
    while (SteadyClock().now() < end) {
        startFault();
        co_await pause(between(50ms, 900ms));
    }
    while (m_faultsInProgress > 0) {
        co_await pause(50ms);
    }
}

void SoakWorld::startFault()
{
    SoakVm &vm = anyVm();
    switch (std::uniform_int_distribution<int>(0, 14)(m_random)) {
    case 0:
        return spawn(killDaemon(vm));
    case 1:
        return spawn(pauseDaemon(vm));
    case 2:
    case 3:
        return spawn(stopDaemon(vm));
    case 4:
        return spawn(replaceBackend(vm, BackendEnd::Drain));
    case 5:
        return spawn(replaceBackend(vm, BackendEnd::LeaveFirst));
    case 6:
        return spawn(replaceBackend(vm, BackendEnd::Crash));
    case 7:
        return spawn(harmStore());
    case 8:
        return spawn(harmLink(vm, vm.storeLink, "store"));
    case 9:
        return spawn(harmLink(vm, vm.peerLink, "peer"));
    case 10:
        return spawn(harmLink(vm, vm.backendLink, "backend"));
    case 11:
        return writeOddRow();
    case 12:
        return sendOddDatagram(vm);
    case 13:
        return spawn(holdUpDaemon(vm));
    default:
        tell("configuration");
        publish();
        writeSettings(vm);
        if (!vm.isDaemonBusy) {
            ::kill(vm.daemon->pid(), SIGHUP);
        }
    }
}

/** The former start wrote its record with a later time than the next one will read. */
void SoakWorld::setClockBack(SoakVm &vm)
{
    VmRecord record;
    record.daemon = vm.name;
    record.incarnation = static_cast<uint64_t>(unixMs() + 3'600'000);
    record.revision = 1;
    record.address = vm.peerLink->address();
    record.dataCentre = vm.region + "-a";
    record.region = vm.region;
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTable, vm.name, VmRecordCodec::encode(record));
}

/** Another writer leaves an entry in the table of VM records that no daemon can use. */
void SoakWorld::writeOddRow()
{
    constexpr size_t Depth = 20'000;
    const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
    const std::string record = R"({"daemon":"odd","incarnation":1,"revision":1,"address":"127.0.0.1:PORT","dataCentre":"north-a","region":"north",)"
                               R"("stopping":false,"backend":{"id":"i-odd","bornMs":1,"service":"ordering","slots":9,"state":"ready","leaving":false}})";
    const auto with = [&](const std::string &from, const std::string &to) {
        std::string odd = record;
        odd.replace(odd.find(from), from.size(), to);
        return odd;
    };
    const std::vector<std::string> values { nested,
                                            R"({"daemon":"odd","backend":)" + nested + "}",
                                            with("PORT", "99999"),
                                            with("PORT", "0"),
                                            with(R"("revision":1)", R"("revision":1e300)"),
                                            with(R"("slots":9)", R"("slots":18446744073709551616)"),
                                            "\xff\xfe" };
    const size_t which = std::uniform_int_distribution<size_t>(0, values.size() - 1)(m_random);
    tell("odd row " + std::to_string(which));
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTable, "odd", values[which]);
}

/** Somebody sends a datagram of deeply nested lists to a daemon. */
void SoakWorld::sendOddDatagram(SoakVm &vm)
{
    constexpr size_t Depth = 60'000;
    constexpr char ListOfOne = '\x81'; // CBOR
    tell("odd datagram to " + vm.name);
    const Tcp::endpoint peer = toEndpoint(vm.peer).value();
    Udp::socket socket(m_loop, Udp::endpoint(Udp::v4(), 0));
    ErrorCode ignored; // the daemon may be down
    socket.send_to(asio::buffer(std::string(Depth, ListOfOne)), Udp::endpoint(peer.address(), peer.port()), 0, ignored);
}

/** Stops a daemon for moments in a row, as a busy VM does. Bounds of time don't hold meanwhile, all other promises do. */
Task<void> SoakWorld::holdUpDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    constexpr int Times = 10;
    tell("hold up " + vm.name);
    for (int i = 0; i < Times; ++i) {
        const Duration time = between(30ms, 250ms);
        m_promises.onHarm(vm.name, SteadyClock().now() + time);
        ::kill(vm.daemon->pid(), SIGSTOP);
        co_await pause(time);
        ::kill(vm.daemon->pid(), SIGCONT);
        co_await pause(between(1ms, 100ms));
    }
    vm.isDaemonBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::killDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const bool isClockBack = chance(0.2);
    tell("kill " + vm.name + (isClockBack ? ", clock goes back" : ""));
    const Duration downTime = between(50ms, 1500ms);
    m_promises.onHarm(vm.name, SteadyClock().now() + downTime + 500ms);
    m_promises.onProcessEnd(vm.name, SteadyClock().now());
    vm.daemon->kill();
    co_await pause(downTime);
    if (isClockBack) {
        setClockBack(vm);
    }
    startDaemon(vm);
    vm.isDaemonBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::pauseDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const Duration time = between(100ms, 2500ms);
    tell("pause " + vm.name + " for " + std::to_string(toMs(time)) + " ms");
    m_promises.onHarm(vm.name, SteadyClock().now() + time);
    ::kill(vm.daemon->pid(), SIGSTOP);
    co_await pause(time);
    ::kill(vm.daemon->pid(), SIGCONT);
    vm.isDaemonBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::stopDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    tell("stop " + vm.name);
    vm.daemon->terminate();
    const TimePoint limit = SteadyClock().now() + GracePeriod;
    while (!vm.daemon->waitForExit(0ms)) {
        if (SteadyClock().now() > limit) {
            m_promises.fail("a daemon stops within its grace period", vm.name);
            m_promises.onHarm(vm.name, SteadyClock().now());
            vm.daemon->kill();
        }
        co_await pause(20ms);
    }
    m_promises.onProcessEnd(vm.name, SteadyClock().now());
    co_await pause(between(0ms, 500ms));
    startDaemon(vm);
    vm.isDaemonBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::replaceBackend(SoakVm &vm, BackendEnd how)
{
    if (std::exchange(vm.isBackendBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const std::string id = vm.backend->id;
    const uint64_t lastReady = ++vm.sequence;
    const int64_t born = vm.bornMs;
    tell((how == BackendEnd::Drain ? "drain " : how == BackendEnd::Crash ? "crash " : "leave ") + id);
    if (how == BackendEnd::Drain) {
        vm.isDraining = true;
        co_await pause(between(1s, 4s));
    }
    if (how != BackendEnd::Crash) {
        vm.isBackendUp = how == BackendEnd::Drain;
        co_await sendLeave(vm);
        vm.isBackendUp = false;
        if (chance(0.5)) {
            tell("late heartbeat of " + id);
            co_await pause(between(0ms, 1500ms));
            co_await sendHeartbeat(vm, id, lastReady, born, false);
        }
        co_await pause(between(1s, 4s));
    }
    vm.isBackendUp = false;
    vm.backend->crash();
    co_await pause(between(100ms, 1500ms));
    while (!vm.backend->restart("i-" + vm.name + "-" + std::to_string(++vm.backendStarts))) {
        co_await pause(100ms);
    }
    vm.bornMs = std::max(unixMs(), born + 1);
    vm.sequence = 0;
    vm.isDraining = false;
    vm.isBackendUp = true;
    vm.isBackendBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::harmStore()
{
    if (std::exchange(m_isStoreBusy, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const int how = std::uniform_int_distribution<int>(0, 3)(m_random);
    static constexpr const char *Names[] = { "down", "slow", "loses answers", "forgets its history" };
    tell(std::string("store ") + Names[how]);
    m_store.isDown = how == 0;
    m_store.delay = how == 1 ? Duration(700ms) : Duration(0);
    m_store.losesWrites = how == 2;
    if (how == 3) {
        m_store.forgetHistory();
    }
    co_await pause(between(200ms, 3s));
    m_store.isDown = false;
    m_store.delay = 0ms;
    m_store.losesWrites = false;
    m_isStoreBusy = false;
    --m_faultsInProgress;
}

Task<void> SoakWorld::harmLink(SoakVm &vm, std::shared_ptr<FaultProxy> link, std::string name)
{
    ++m_faultsInProgress;
    const int how = std::uniform_int_distribution<int>(0, 3)(m_random);
    static constexpr const char *Names[] = { "silent", "silent one way", "delayed", "reset" };
    const Duration time = between(100ms, 2500ms);
    tell(name + " link of " + vm.name + " " + Names[how] + " for " + std::to_string(toMs(time)) + " ms");
    m_promises.onHarm(vm.name, SteadyClock().now() + time);
    if (how == 3) {
        link->reset();
    } else if (how == 2) {
        link->toTarget.delay = link->toClient.delay = between(10ms, 300ms);
    } else {
        (chance(0.5) ? link->toTarget : link->toClient).isSilent = true;
        link->toTarget.isSilent = link->toTarget.isSilent || how == 0;
        link->toClient.isSilent = link->toClient.isSilent || how == 0;
    }
    co_await pause(time);
    link->toTarget = {};
    link->toClient = {};
    --m_faultsInProgress;
}

/** After the faults every daemon serves nearly all requests, and those of the newest configuration. */
Task<void> SoakWorld::checkRecovery()
{
    co_await pause(RecoveryTime);
    tell("check");
    for (const auto &vm : m_vms) {
        const auto connections = std::make_shared<HttpClientPool>(m_loop, toEndpoint(vm->caller).value(), PoolLimits {});
        int sent = 0;
        int served = 0;
        const TimePoint end = SteadyClock().now() + CheckTime / m_vms.size();
        while (SteadyClock().now() < end) {
            ++sent;
            const std::string newest = m_version > 1 ? "/v" + std::to_string(m_version) + "/x" : "/ship/x";
            const std::string path = sent % 3 == 0 ? newest : sent % 3 == 1 ? "/look/x" : "/order/x";
            served += isOk(co_await sendRequest(*vm, connections, sent % 3 == 2 ? http::verb::post : http::verb::get, path, 1500ms)) ? 1 : 0;
        }
        if (served < sent * ServedWhenCalm) {
            m_promises.fail("a daemon serves again after the faults", vm->name + ": " + std::to_string(served) + " of " + std::to_string(sent));
        }
    }
}

/** No daemon may have ended by itself. */
void SoakWorld::checkDaemons()
{
    for (const auto &vm : m_vms) {
        if (!vm->isDaemonBusy && vm->daemon->waitForExit(0ms)) {
            m_promises.fail("no daemon ends by itself", vm->name + " status " + std::to_string(vm->daemon->status()));
        }
    }
}

Task<void> SoakWorld::director()
{
    co_await pause(3s); // all daemons have read the configuration and heard a heartbeat
    for (const auto &vm : m_vms) {
        for (int i = 0; i < CallersEach; ++i) {
            spawn(caller(*vm, true));
            spawn(caller(*vm, false));
        }
        for (int i = 0; i < IdleCallersEach; ++i) {
            spawn(idleCaller(*vm));
        }
        spawn(versionProbes(*vm));
    }
    co_await pause(500ms);
    co_await faults();
    checkDaemons();
    co_await checkRecovery();
    checkDaemons();
    m_isOver = true;
    co_await pause(3s); // the last requests end, and runs that come late are seen
    m_loop.stop();
}

std::vector<std::string> SoakWorld::run()
{
    m_startedAt = SteadyClock().now();
    for (const auto &vm : m_vms) {
        startDaemon(*vm);
        spawn(heartbeats(*vm));
        spawn(slowSpells(*vm));
    }
    spawn(director());
    m_loop.run();
    return m_promises.failures();
}

} // namespace carobjunction::soak
