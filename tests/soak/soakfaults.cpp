// Fault injection of SoakCluster.

#include "soakcluster.h"

#include <carobjunction/process/durations.h>

#include "connection/endpoints.h"
#include "process/clustersync.h"

#include "platform/platformadapter.h"

#include <csignal>
#include <sys/wait.h>

namespace carobjunction::soak
{

using namespace std::chrono_literals;

Task<void> SoakCluster::injectFaults()
{
    const TimePoint end = SteadyClock().now() + m_options.faultInjectionTime;
    while (SteadyClock().now() < end) {
        injectRandomFault();
        co_await pause(randomDuration(50ms, m_options.maxFaultPause));
    }
    while (m_faultsInProgress > 0) {
        co_await pause(50ms);
    }
}

void SoakCluster::injectRandomFault()
{
    SoakVm &vm = randomVm();
    switch (std::uniform_int_distribution<int>(0, 14)(m_random)) {
    case 0:
        return spawn(killDaemon(vm));
    case 1:
        return spawn(pauseDaemon(vm));
    case 2:
    case 3:
        return spawn(stopDaemon(vm));
    case 4:
        return spawn(replaceBackend(vm, BackendShutdown::Drain));
    case 5:
        return spawn(replaceBackend(vm, BackendShutdown::LeaveThenCrash));
    case 6:
        return spawn(replaceBackend(vm, BackendShutdown::Crash));
    case 7:
        return spawn(degradeStore());
    case 8:
        return spawn(disturbLink(vm, vm.storeLink, "store"));
    case 9:
        return spawn(disturbLink(vm, vm.peerLink, "peer"));
    case 10:
        return spawn(disturbLink(vm, vm.backendLink, "backend"));
    case 11:
        return writeMalformedRow();
    case 12:
        return sendMalformedDatagram(vm);
    case 13:
        return spawn(stallDaemonRepeatedly(vm));
    default:
        logEvent("configuration");
        publish();
        writeSettings(vm);
        if (!vm.isDaemonFaultActive) {
            ::kill(vm.daemon->pid(), SIGHUP);
        }
    }
}

/** Stores a VM record whose incarnation is one hour ahead, as if the wall clock had been set back since the previous start of the daemon. */
void SoakCluster::simulateClockRollback(SoakVm &vm)
{
    VmRecord record;
    record.daemon = vm.name;
    record.incarnation = static_cast<uint64_t>(unixTimeMs() + 3'600'000);
    record.revision = 1;
    record.address = vm.peerLink->address();
    record.dataCentre = vm.region + "-a";
    record.region = vm.region;
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTableName, vm.name, VmRecordCodec::encode(record));
}

/** Writes an invalid row into the table of VM records, as a faulty writer would. */
void SoakCluster::writeMalformedRow()
{
    constexpr size_t NestingDepth = 20'000;
    const std::string nested = std::string(NestingDepth, '[') + std::string(NestingDepth, ']');
    const std::string record = R"({"daemon":"odd","incarnation":1,"revision":1,"address":"127.0.0.1:PORT","dataCentre":"north-a","region":"north",)"
                               R"("stopping":false,"backend":{"id":"i-odd","bornMs":1,"service":"ordering","slots":9,"state":"ready","leaving":false}})";
    const auto withReplacement = [&](const std::string &from, const std::string &to) {
        std::string malformed = record;
        malformed.replace(malformed.find(from), from.size(), to);
        return malformed;
    };
    const std::vector<std::string> values { nested,
                                            R"({"daemon":"odd","backend":)" + nested + "}",
                                            withReplacement("PORT", "99999"),
                                            withReplacement("PORT", "0"),
                                            withReplacement(R"("revision":1)", R"("revision":1e300)"),
                                            withReplacement(R"("slots":9)", R"("slots":18446744073709551616)"),
                                            "\xff\xfe" };
    const size_t index = std::uniform_int_distribution<size_t>(0, values.size() - 1)(m_random);
    logEvent("malformed row " + std::to_string(index));
    m_store.put(ClusterSync<platform::PlatformAdapter>::VmTableName, "odd", values[index]);
}

/** Sends a datagram of deeply nested CBOR lists to the peer port of a daemon. */
void SoakCluster::sendMalformedDatagram(SoakVm &vm)
{
    constexpr size_t NestingDepth = 60'000;
    constexpr char CborListOfOne = '\x81'; // head of a CBOR array of one element
    logEvent("malformed datagram to " + vm.name);
    const Tcp::endpoint peer = parseEndpoint(vm.peer).value();
    Udp::socket socket(m_loop, Udp::endpoint(Udp::v4(), 0));
    ErrorCode ignored; // the daemon may be down
    socket.send_to(asio::buffer(std::string(NestingDepth, CborListOfOne)), Udp::endpoint(peer.address(), peer.port()), 0, ignored);
}

/** Suspends a daemon repeatedly for short times, as an overloaded VM does. All guarantees except time limits hold meanwhile. */
Task<void> SoakCluster::stallDaemonRepeatedly(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonFaultActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    constexpr int StallCount = 10;
    logEvent("suspend repeatedly " + vm.name);
    for (int i = 0; i < StallCount; ++i) {
        const Duration time = randomDuration(30ms, 250ms);
        m_guarantees.onFaultInjected(vm.name, SteadyClock().now() + time);
        ::kill(vm.daemon->pid(), SIGSTOP);
        co_await pause(time);
        ::kill(vm.daemon->pid(), SIGCONT);
        co_await pause(randomDuration(1ms, 100ms));
    }
    vm.isDaemonFaultActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::killDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonFaultActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const bool isClockRolledBack = randomBool(0.2);
    logEvent("kill " + vm.name + (isClockRolledBack ? ", set clock back" : ""));
    const Duration downTime = randomDuration(50ms, 1500ms);
    m_guarantees.onFaultInjected(vm.name, SteadyClock().now() + downTime + 500ms);
    m_guarantees.onProcessEnd(vm.name, SteadyClock().now());
    vm.daemon->kill();
    co_await pause(downTime);
    if (isClockRolledBack) {
        simulateClockRollback(vm);
    }
    startDaemon(vm);
    vm.isDaemonFaultActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::pauseDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonFaultActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const Duration time = randomDuration(100ms, 2500ms);
    logEvent("pause " + vm.name + " for " + std::to_string(toMs(time)) + " ms");
    m_guarantees.onFaultInjected(vm.name, SteadyClock().now() + time);
    ::kill(vm.daemon->pid(), SIGSTOP);
    co_await pause(time);
    ::kill(vm.daemon->pid(), SIGCONT);
    vm.isDaemonFaultActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::stopDaemon(SoakVm &vm)
{
    if (std::exchange(vm.isDaemonFaultActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    logEvent("stop " + vm.name);
    vm.daemon->terminate();
    const TimePoint limit = SteadyClock().now() + GracePeriod;
    while (!vm.daemon->waitForExit(0ms)) {
        if (SteadyClock().now() > limit) {
            m_guarantees.fail("a daemon exits within its grace period", vm.name);
            m_guarantees.onFaultInjected(vm.name, SteadyClock().now());
            vm.daemon->kill();
        }
        co_await pause(20ms);
    }
    m_guarantees.onProcessEnd(vm.name, SteadyClock().now());
    co_await pause(randomDuration(0ms, 500ms));
    startDaemon(vm);
    vm.isDaemonFaultActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::replaceBackend(SoakVm &vm, BackendShutdown shutdown)
{
    if (std::exchange(vm.isBackendReplacementActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const std::string id = vm.backend->id;
    const uint64_t lastReadySequence = ++vm.sequence;
    const int64_t backendStartedAtMs = vm.startedAtMs;
    logEvent((shutdown == BackendShutdown::Drain ? "drain " : shutdown == BackendShutdown::Crash ? "crash " : "leave ") + id);
    if (shutdown == BackendShutdown::Drain) {
        vm.isDraining = true;
        co_await pause(randomDuration(1s, 4s));
    }
    if (shutdown != BackendShutdown::Crash) {
        vm.isSendingHeartbeats = shutdown == BackendShutdown::Drain;
        co_await sendLeave(vm);
        vm.isSendingHeartbeats = false;
        if (randomBool(0.5)) {
            logEvent("send late heartbeat from " + id);
            co_await pause(randomDuration(0ms, 1500ms));
            co_await sendHeartbeat(vm, id, lastReadySequence, backendStartedAtMs, false);
        }
        co_await pause(randomDuration(1s, 4s));
    }
    vm.isSendingHeartbeats = false;
    vm.backend->crash();
    co_await pause(randomDuration(100ms, 1500ms));
    while (!vm.backend->restart("i-" + vm.name + "-" + std::to_string(++vm.backendStarts))) {
        co_await pause(100ms);
    }
    vm.startedAtMs = std::max(unixTimeMs(), backendStartedAtMs + 1);
    vm.sequence = 0;
    vm.isDraining = false;
    vm.isSendingHeartbeats = true;
    vm.isBackendReplacementActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::degradeStore()
{
    if (std::exchange(m_isStoreFaultActive, true)) {
        co_return;
    }
    ++m_faultsInProgress;
    const int faultKind = std::uniform_int_distribution<int>(0, 3)(m_random);
    static constexpr const char *Names[] = { "down", "slow", "loses responses to writes", "loses its change history" };
    logEvent(std::string("store ") + Names[faultKind]);
    m_store.isDown = faultKind == 0;
    m_store.delay = faultKind == 1 ? Duration(700ms) : Duration(0);
    m_store.dropsWriteResponses = faultKind == 2;
    if (faultKind == 3) {
        m_store.discardHistory();
    }
    const Duration time = randomDuration(200ms, 3s);
    m_guarantees.onStoreFault(SteadyClock().now() + time);
    co_await pause(time);
    m_store.isDown = false;
    m_store.delay = 0ms;
    m_store.dropsWriteResponses = false;
    m_isStoreFaultActive = false;
    --m_faultsInProgress;
}

Task<void> SoakCluster::disturbLink(SoakVm &vm, std::shared_ptr<FaultProxy> link, std::string name)
{
    ++m_faultsInProgress;
    const int faultKind = std::uniform_int_distribution<int>(0, 3)(m_random);
    static constexpr const char *Names[] = { "silent", "silent in one direction", "delayed", "reset" };
    const Duration time = randomDuration(100ms, 2500ms);
    logEvent(name + " link of " + vm.name + " " + Names[faultKind] + " for " + std::to_string(toMs(time)) + " ms");
    m_guarantees.onFaultInjected(vm.name, SteadyClock().now() + time);
    if (faultKind == 3) {
        link->resetConnections();
    } else if (faultKind == 2) {
        link->toTarget.delay = link->toClient.delay = randomDuration(10ms, 300ms);
    } else {
        (randomBool(0.5) ? link->toTarget : link->toClient).isStalled = true;
        link->toTarget.isStalled = link->toTarget.isStalled || faultKind == 0;
        link->toClient.isStalled = link->toClient.isStalled || faultKind == 0;
    }
    co_await pause(time);
    link->toTarget = {};
    link->toClient = {};
    --m_faultsInProgress;
}

} // namespace carobjunction::soak
