// The faults of a soak.

#include "soakworld.h"

#include <carobjunction/process/durations.h>

#include "connection/endpoints.h"
#include "process/clustersync.h"

#include "platform/platformadapter.h"

#include <csignal>
#include <sys/wait.h>

namespace carobjunction::soak
{

using namespace std::chrono_literals;

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
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTableName, vm.name, VmRecordCodec::encode(record));
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
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTableName, "odd", values[which]);
}

/** Somebody sends a datagram of deeply nested lists to a daemon. */
void SoakWorld::sendOddDatagram(SoakVm &vm)
{
    constexpr size_t Depth = 60'000;
    constexpr char ListOfOne = '\x81'; // CBOR
    tell("odd datagram to " + vm.name);
    const Tcp::endpoint peer = parseEndpoint(vm.peer).value();
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
    const int64_t born = vm.startedAtMs;
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
    vm.startedAtMs = std::max(unixMs(), born + 1);
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

} // namespace carobjunction::soak
