#include "reviewcluster.h"

#include "connection/endpoints.h"
#include "connection/messagefields.h"

#include <carobjunction/process/durations.h>

#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <unistd.h>

namespace carobjunction::review
{

namespace
{

constexpr const char *DaemonProgram = "target/platform/carobjunction-platformd"; // the run line of the deploy file
constexpr const char *SettingsVariable = "CAROBJUNCTION_NODE_FILE";
constexpr auto PollInterval = 20ms;
constexpr int MaxDescriptors = 4096;

/** Keeps a process that is started later from holding the connections of the stand-ins open. */
void closeDescriptorsOnExec()
{
    for (int descriptor = STDERR_FILENO + 1; descriptor < MaxDescriptors; ++descriptor) {
        ::fcntl(descriptor, F_SETFD, FD_CLOEXEC); // fails for a number that is not in use
    }
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int64_t unixTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

ReviewCluster::ReviewCluster(const std::string &recordFile) : m_record(recordFile), m_startedAt(SteadyClock().now())
{
    std::string directory = (std::filesystem::temp_directory_path() / "carobjunction-review-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    m_directory = directory;
}

ReviewCluster::~ReviewCluster()
{
    for (const auto &vm : m_vms) {
        if (vm->daemon) {
            vm->daemon->kill();
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory);
    } else {
        std::cout << "logs: " << m_directory << std::endl;
    }
}

void ReviewCluster::record(const std::string &line)
{
    m_record << toMs(SteadyClock().now() - m_startedAt) << " ms " << line << std::endl;
}

Task<void> ReviewCluster::pause(Duration time)
{
    asio::steady_timer timer(m_loop, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void ReviewCluster::spawn(Task<void> task)
{
    asio::co_spawn(m_loop, std::move(task), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

ReviewVm &ReviewCluster::addVm(const std::string &dataCentre, const std::string &service)
{
    auto vm = std::make_unique<ReviewVm>();
    vm->name = "sidecar-" + dataCentre + "-" + std::to_string(m_vms.size() + 1);
    vm->dataCentre = dataCentre;
    vm->service = service;
    vm->allocatePorts(m_ports);
    vm->settingsFile = m_directory + "/" + vm->name + ".yaml";
    vm->backendStartedAtMs = unixTimeMs();
    vm->backend = std::make_unique<platform::StandInBackend>(m_loop, "i-" + vm->name + "-0");
    vm->backend->onRun = [this, added = vm.get()](const HttpRequest &message) {
        record("run at " + added->backend->id + ": " + fieldValue(message, "X-Attempt-Id"));
        if (onRun) {
            onRun(*added, message);
        }
    };
    vm->backendAddress = vm->backend->address();
    vm->storeAddress = m_store.address();
    m_vms.push_back(std::move(vm));
    return *m_vms.back();
}

/** Writes the settings file as the platform renders it from platform/settings.yaml.template. */
void ReviewCluster::writeSettings(const ReviewVm &vm) const
{
    std::ofstream file(vm.settingsFile);
    file << "daemon: " << vm.name << "\nregion: pilbara\ndata-centre: " << vm.dataCentre << "\nservice: " << vm.service
         << "\nbackend-address: " << vm.backendAddress << "\n"
         << vm.settings() << "store-address: " << vm.storeAddress << "\nheartbeat-interval: " << toMs(HeartbeatInterval)
         << "ms\ngrace-period: " << toMs(GracePeriod) / 1000 << "s\nretry-ratio: 0.2\nretry-slack: 64\nretry-window: 10s\nmemory: 260\ndescriptors: 4100\n";
}

void ReviewCluster::start(int version, const std::vector<platform::PublishedRoute> &routes)
{
    constexpr int IdleTimeoutMs = 15'000;
    m_store.put("op", "config", platform::publishedConfig(version, routes, IdleTimeoutMs));
    for (const auto &vm : m_vms) {
        writeSettings(*vm);
        startDaemon(*vm);
        spawn(sendHeartbeats(*vm));
    }
}

void ReviewCluster::startDaemon(ReviewVm &vm)
{
    ::setenv(SettingsVariable, vm.settingsFile.c_str(), 1);
    record("start daemon " + vm.name);
    closeDescriptorsOnExec();
    vm.daemon = bench::ChildProcess::startWithLogFile({ DaemonProgram }, m_directory + "/" + vm.name + ".log");
    if (!vm.daemon) {
        throw std::runtime_error("cannot start the daemon");
    }
}

Task<void> ReviewCluster::restartDaemon(ReviewVm &vm)
{
    record("SIGTERM to daemon " + vm.name);
    vm.daemon->terminate();
    const TimePoint limit = SteadyClock().now() + GracePeriod;
    while (!vm.daemon->waitForExit(0ms)) {
        if (SteadyClock().now() > limit) {
            vm.daemon->kill();
        }
        co_await pause(PollInterval);
    }
    startDaemon(vm);
}

Task<void> ReviewCluster::killDaemon(ReviewVm &vm, Duration downTime)
{
    record("SIGKILL to daemon " + vm.name);
    vm.daemon->kill();
    co_await pause(downTime);
    startDaemon(vm);
}

Task<void> ReviewCluster::restartBackend(ReviewVm &vm, bool keepsId)
{
    const std::string id = keepsId ? vm.backend->id : "i-" + vm.name + "-" + std::to_string(++vm.backendStarts);
    while (!vm.backend->restart(id)) {
        co_await pause(PollInterval);
    }
    vm.backendStartedAtMs = std::max(unixTimeMs(), vm.backendStartedAtMs + 1);
    vm.sequence = 0;
    vm.isDraining = false;
    vm.isSendingHeartbeats = true;
    record("start backend server " + id);
    co_await sendHeartbeat(vm, id, vm.backendStartedAtMs, "ready", ++vm.sequence);
}

Task<unsigned> ReviewCluster::sendControl(ReviewVm &vm, HttpRequest message)
{
    message.set(http::field::host, "admin");
    message.prepare_payload();
    const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.control).value(), PoolLimits {});
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + 1s; // a later response is no acknowledgement
    const ExchangeResult result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    co_return result.end == ExchangeEnd::Answered ? result.response.result_int() : 0;
}

Task<unsigned> ReviewCluster::sendHeartbeat(ReviewVm &vm, std::string id, int64_t startedAtMs, std::string state, uint64_t sequence)
{
    HttpRequest message(http::verb::put, "/v1/instances/" + id, 11);
    message.set(http::field::content_type, "application/json");
    message.body() = platform::heartbeatBody(vm.backend->address(), startedAtMs, vm.service, state, sequence);
    co_return co_await sendControl(vm, std::move(message));
}

Task<unsigned> ReviewCluster::sendLeave(ReviewVm &vm)
{
    const std::string id = vm.backend->id;
    const unsigned status = co_await sendControl(vm, HttpRequest(http::verb::delete_, "/v1/instances/" + id, 11));
    record("leave of " + id + ": " + std::to_string(status));
    co_return status;
}

Task<void> ReviewCluster::sendHeartbeats(ReviewVm &vm)
{
    while (!m_isFinished) {
        if (vm.isSendingHeartbeats) {
            const uint64_t sequence = ++vm.sequence;
            co_await sendHeartbeat(vm, vm.backend->id, vm.backendStartedAtMs, vm.isDraining ? "draining" : "ready", sequence);
        }
        co_await pause(HeartbeatInterval);
    }
}

Task<bool> ReviewCluster::waitUntilReady(Duration limit)
{
    const TimePoint end = SteadyClock().now() + limit;
    size_t readyCount = 0;
    while (readyCount < m_vms.size() && SteadyClock().now() < end) {
        co_await pause(200ms);
        readyCount = 0;
        for (const auto &vm : m_vms) {
            const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm->ready).value(), PoolLimits {});
            HttpRequest message(http::verb::get, "/v1/readyz", 11);
            message.set(http::field::host, "ready");
            ExchangeOptions options;
            options.deadline = SteadyClock().now() + 1s;
            const ExchangeResult result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
            readyCount += result.end == ExchangeEnd::Answered && result.response.result() == http::status::ok ? 1 : 0;
        }
    }
    co_return readyCount == m_vms.size();
}

Task<CallerAnswer> ReviewCluster::send(ReviewVm &vm, http::verb method, std::string path, std::string id, std::string body, Duration deadline)
{
    HttpRequest message(method, path, 11);
    message.set(http::field::host, "h.example");
    message.set("X-Attempt-Id", id);
    message.set("X-Deadline-Ms", std::to_string(toMs(deadline)));
    message.body() = std::move(body);
    message.prepare_payload();
    record("send to " + vm.name + ": " + id + " " + path);
    const auto connections = std::make_shared<HttpClientPool>(m_loop, parseEndpoint(vm.caller).value(), PoolLimits {});
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + deadline;
    ExchangeResult result = co_await connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    CallerAnswer answer { result.end, result.end == ExchangeEnd::Answered ? result.response.result_int() : 0, std::move(result.response) };
    record("answer to " + id + ": " + answer.text());
    co_return answer;
}

int ReviewCluster::run(const std::function<Task<int>()> &scenario, Duration limit)
{
    int exitCode = CouldNotRun;
    asio::steady_timer timer(m_loop, limit);
    timer.async_wait([this](ErrorCode error) {
        if (!error) {
            record("the time limit of the case has passed");
            m_loop.stop();
        }
    });
    asio::co_spawn(m_loop, scenario(), [&](const std::exception_ptr &error, int result) {
        exitCode = error ? CouldNotRun : result;
        m_isFinished = true;
        m_loop.stop();
    });
    m_loop.run();
    record("exit code " + std::to_string(exitCode));
    return exitCode;
}

} // namespace carobjunction::review
