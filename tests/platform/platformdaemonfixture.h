#pragma once

#include "platform/daemonports.h"
#include "platform/platformstandins.h"
#include "platform/publishedconfig.h"

#include "childprocess.h"
#include "connection/endpoints.h"
#include "connection/httpclientpool.h"
#include "connection/messagefields.h"
#include "freeports.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace carobjunction::platform
{

/** VM of a test: a daemon that runs as a separate process, and its local backend server. */
struct Vm : DaemonPorts {
    std::string name;
    std::string service;
    std::string replacementBackendAddress; /**< Address of a backend server that replaces the stand-in; empty to use the stand-in. */
    std::string settingsFile;
    std::string additionalSettings; /**< Additional lines of the settings file. */
    std::string logFile; /**< Standard output and standard error of the daemon, appended across restarts. */
    std::unique_ptr<StandInBackend> backend;
    std::unique_ptr<bench::ChildProcess> daemon;
    std::string graceLine = "grace-period: 4s";
    uint64_t sequence = 0;

    void writeSettings(const std::string &storeAddress) const
    {
        std::ofstream(settingsFile) << "daemon: " << name << "\nregion: r\ndata-centre: a\nservice: " << service << "\nbackend-address: " << backendAddress()
                                    << "\n"
                                    << settings() << "store-address: " << storeAddress << "\nheartbeat-interval: 10s\n"
                                    << graceLine << "\n"
                                    << additionalSettings;
    }

    std::string backendAddress() const
    {
        return replacementBackendAddress.empty() ? backend->address() : replacementBackendAddress;
    }
};

/** Two VMs. Callers use the daemon of the first VM, whose backend server belongs to a service other than the one that they call. */
struct PlatformDaemonFixture {
    static constexpr int64_t BackendStartedAtMs = 1'700'000'000'000;

    PlatformDaemonFixture()
    {
        store.put("op", "config", publishedConfig(1, { { "/look/", "idempotent", "ordering" }, { "/order/", "non_idempotent", "ordering" } }));
        vms.push_back(makeVm("vm-1", "dispatch"));
        vms.push_back(makeVm("vm-2", "ordering"));
        for (Vm &vm : vms) {
            start(vm);
        }
        for (Vm &vm : vms) {
            REQUIRE(waitFor([&] { return getStatus(vm.ready, "/v1/readyz") == 200; }));
            REQUIRE(sendHeartbeat(vm) == 200);
        }
    }

    Vm makeVm(const std::string &name, const std::string &service)
    {
        Vm vm;
        vm.name = name;
        vm.service = service;
        vm.backend = std::make_unique<StandInBackend>(loop, "i-" + name);
        vm.allocatePorts(ports);
        vm.settingsFile = std::string(CAROBJUNCTION_BINARY_DIR) + "/platform-test-" + std::to_string(getpid()) + "-" + name + ".yaml";
        vm.logFile = vm.settingsFile + ".log";
        std::filesystem::remove(vm.logFile); // left over from an earlier test with the same process id
        return vm;
    }

    /** Writes the settings file and starts the daemon. @param storeAddress  address of the table store; empty to use the stand-in */
    void start(Vm &vm, const std::string &storeAddress = "")
    {
        vm.writeSettings(storeAddress.empty() ? store.address() : storeAddress);
        setenv("CAROBJUNCTION_NODE_FILE", vm.settingsFile.c_str(), 1);
        vm.daemon = bench::ChildProcess::startWithLogFile({ std::string(CAROBJUNCTION_BINARY_DIR) + "/platform/carobjunction-platformd" }, vm.logFile);
        REQUIRE(vm.daemon != nullptr);
    }

    bool waitFor(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(5))
    {
        const TimePoint end = SteadyClock().now() + limit;
        while (SteadyClock().now() < end) {
            if (condition()) {
                return true;
            }
            runFor(std::chrono::milliseconds(20));
        }
        return false;
    }

    void runFor(Duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

    /** Starts to send a request. @return the result of the exchange; empty until the exchange has ended */
    std::shared_ptr<std::optional<ExchangeResult>> sendAsync(const std::string &address, HttpRequest request, CancellationPtr cancellation = nullptr)
    {
        const auto result = std::make_shared<std::optional<ExchangeResult>>();
        const auto pool = std::make_shared<HttpClientPool>(loop, parseEndpoint(address).value(), PoolLimits {});
        const auto cancel = cancellation ? cancellation : std::make_shared<Cancellation>();
        ExchangeOptions options;
        options.deadline = SteadyClock().now() + std::chrono::seconds(8);
        request.set(http::field::host, "h.example");
        request.prepare_payload();
        asio::co_spawn(
            loop, [result, pool, request, options, cancel]() -> Task<void> { *result = co_await pool->exchange(request, options, cancel); }, asio::detached);
        return result;
    }

    HttpResponse send(const std::string &address, const HttpRequest &request)
    {
        const auto result = sendAsync(address, request);
        if (!waitFor([&] { return result->has_value(); }, std::chrono::seconds(9)) || (*result)->end != ExchangeEnd::Answered) {
            return HttpResponse(static_cast<http::status>(0), 11);
        }
        return (*result)->response;
    }

    unsigned getStatus(const std::string &address, const std::string &path)
    {
        return send(address, HttpRequest(http::verb::get, path, 11)).result_int();
    }

    /** @return a request with a new id and a deadline of 3 s; its caller service is forged, so that tests notice if it is not replaced */
    HttpRequest request(http::verb method, const std::string &path)
    {
        HttpRequest message(method, path, 11);
        message.set("X-Attempt-Id", "a" + std::to_string(++lastRequest));
        message.set("X-Deadline-Ms", "3000");
        message.set("X-Caller-Service", "forged");
        return message;
    }

    /** Sends a request to the daemon of the first VM. */
    HttpResponse sendToFirstVm(http::verb method, const std::string &path)
    {
        return send(vms[0].caller, request(method, path));
    }

    /** Sends the next heartbeat from the backend server to its daemon. @return the status of the response */
    unsigned sendHeartbeat(Vm &vm, const std::string &state = "ready")
    {
        HttpRequest message(http::verb::put, "/v1/instances/" + vm.backend->id, 11);
        message.body() = heartbeatBody(vm.backendAddress(), BackendStartedAtMs, vm.service, state, ++vm.sequence);
        return send(vm.control, message).result_int();
    }

    /** Sends lookups until one succeeds. @return whether one succeeded within the default time limit */
    bool waitForLookups()
    {
        return waitFor([&] { return sendToFirstVm(http::verb::get, "/look/1").result_int() == 200; });
    }

    asio::io_context loop { 1 };
    bench::FreePorts ports;
    StandInTableStore store { loop };
    std::vector<Vm> vms;
    int lastRequest = 0;
};

} // namespace carobjunction::platform
