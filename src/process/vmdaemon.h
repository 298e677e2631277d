#pragma once

#include <carobjunction/process/clusterretrybudget.h>
#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/stopschedule.h>
#include <carobjunction/process/vmdirectory.h>

#include "connection/datagramport.h"
#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/httplistener.h"
#include "connection/messagefields.h"
#include "connection/peercodec.h"
#include "process/backendcontrol.h"
#include "process/clustersync.h"
#include "process/suspensionmeter.h"
#include "process/targetservice.h"
#include "process/vmsettings.h"
#include "request/requestrouter.h"

#include <memory>

namespace carobjunction
{

/**
 * Requirements on the adapter of a platform. The adapter defines the header names, the table and format of the routes, the control calls
 * of a backend server and the dialect of the store. It only translates between formats: it has no state and makes no decisions.
 */
template<typename T>
concept PlatformAdapter = TableDialect<typename T::Dialect> && requires(const HttpRequest &message, std::string_view text)
{
    T::headers();
    T::decodeRoutes(text);
    T::decodeControlCall(message);
    {
        T::isReadinessCheck(message)
        } -> std::same_as<bool>;
};

/**
 * Daemon that runs next to the backend server of a VM. Creates, connects and owns the components. A single event loop serves all ports,
 * because the daemon gets only a fraction of one core of its VM.
 */
template<PlatformAdapter Platform>
class VmDaemon
{
public:
    /** Path of the metrics on the operator port. */
    static constexpr std::string_view MetricsPath = "/metrics";
    /** Interval at which timeouts are checked. */
    static constexpr Duration TickInterval = std::chrono::milliseconds(50);
    /** Ticks between two updates of the slot estimate from the reports of other daemons. */
    static constexpr uint32_t TicksPerSlotUpdate = 10;
    /** Number of heartbeat intervals without a heartbeat after which a backend server is considered down. */
    static constexpr int HeartbeatTimeoutIntervals = 3;
    /**
     * Share of the memory limit available for message bodies. The rest, 56 MB on the smallest VMs, is for the program itself, message
     * headers and the kernel's buffers for connections.
     */
    static constexpr double BodyMemoryShare = 0.65;
    /** Minimum time between closing the ports and ending the process, to answer requests that arrived during the close. */
    static constexpr Duration MinCloseDuration = std::chrono::milliseconds(100);
    /** Number of copies of a caller's body that the entry daemon holds: one for a retry, and one being sent to a target. */
    static constexpr uint64_t CallerBodyCopies = 2;
    /**
     * Predicted wait returned to a peer whose request is refused because the body memory is full. Bodies of typical requests are released
     * within this time.
     */
    static constexpr Duration PeerBodiesFullRetryAfter = std::chrono::milliseconds(500);

    VmDaemon(asio::io_context &loop, VmSettings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_directory(m_settings.daemon, Locality { m_settings.dataCentre, m_settings.region })
        , m_clusterRetryBudget(ClusterRetryLimits { m_settings.retryRatio, m_settings.retrySlack, m_settings.retryWindow })
        , m_bodyBudget(std::make_shared<BodyBudget>(bodyMemoryBytes(m_settings), [this] { m_metrics.add(Counter::BodiesWithoutRoom); }))
        , m_target(loop,
                   parseEndpoint(m_settings.backendAddress).value(),
                   m_settings.service,
                   Platform::headers(),
                   m_settings.heartbeatInterval * HeartbeatTimeoutIntervals,
                   m_crashHistory,
                   m_routeServiceTimes,
                   TargetCallbacks { [this] { publishBackendRecord(); },
                                     [this](const CrashReport &report) { onCrash(report); },
                                     [this](uint64_t fingerprint) { onCrashesCleared(fingerprint); },
                                     [this](const std::string &service) {
                                         return healthPath(service);
                                     } },
                   m_bodyBudget)
        , m_sync(loop, m_settings, m_directory, m_crashHistory, m_metrics, m_bodyBudget)
        , m_backendControl(loop, m_settings, m_target, m_sync.ownRecord())
        , m_router(RouterEnvironment { [this] { return m_sync.routes(); },
                                       [this](std::string daemon, ForwardRequest request, CancellationPtr cancellation) {
                                           return forward(std::move(daemon), std::move(request), std::move(cancellation));
                                       },
                                       m_settings.service,
                                       &SuspensionMeter::suspendedTimeSinceBoot,
                                       [this]() -> const StopSchedule * {
                                           return m_stopSchedule ? &*m_stopSchedule : nullptr;
                                       } },
                   Platform::headers(),
                   m_directory,
                   m_clusterRetryBudget,
                   m_crashHistory,
                   m_routeServiceTimes,
                   m_metrics)
        , m_tickTimer(loop)
    {
    }

    /** Opens the ports and starts the components. @return whether all ports could be opened; those that could not are logged */
    bool start()
    {
        const bool isOpen = listen(m_callerPort, m_settings.callerAddress, &VmDaemon::handleCaller)
            && listen(m_peerPort, m_settings.peerAddress, &VmDaemon::handlePeer) && listen(m_readyPort, m_settings.readyAddress, &VmDaemon::handleReadiness)
            && listen(m_operatorPort, m_settings.operatorAddress, &VmDaemon::handleControl);
        if (!isOpen) {
            return false;
        }
        setUndeliveredHandlers();
        m_callerPort->setBodyBudgetRejection([this](const http::fields &head) { return m_router.refuseForBodyRoom(head); });
        m_peerPort->setBodyBudgetRejection(
            [](const http::fields &) { return PeerCodec::encode(ForwardResult::notRun(Reason::Full, PeerBodiesFullRetryAfter)); });
        m_sync.start([this] { return m_target.report(); }, [this](const BackendRecord *storedBackend) { m_target.restoreRecord(storedBackend); });
        scheduleTick();
        EventLog::write(LogLevel::Info, Event::DaemonStarted, { { "daemon", m_settings.daemon }, { "peerAddress", m_settings.peerAddress } });
        return true;
    }

    /** Applies those of the changed settings that can change while the process runs. */
    void reload(const VmSettings &settings)
    {
        m_clusterRetryBudget.setLimits(ClusterRetryLimits { settings.retryRatio, settings.retrySlack, settings.retryWindow });
        m_settings.gracePeriod = settings.gracePeriod;
        m_settings.logLevel = settings.logLevel;
        EventLog::initialiseStandardOutput(settings.logLevel);
        EventLog::write(LogLevel::Info, Event::SettingsReloaded, { { "daemon", settings.daemon } });
    }

    /** Starts a graceful stop: readiness checks fail and requests in progress finish. The event loop is stopped when it is complete. */
    void stop()
    {
        if (m_stopSchedule) {
            return;
        }
        m_stopSchedule.emplace(SteadyClock().now(), m_settings.gracePeriod);
        EventLog::write(LogLevel::Info, Event::DaemonStopping, { { "active", std::to_string(activeRequests()) } });
        m_callerPort->disableKeepAlive();
        m_target.stopAdmission();
        m_sync.announceStop();
    }

private:
    static constexpr uint32_t BytesPerMebibyte = 1U << 20U;

    using Handler = Task<MaybeResponse> (VmDaemon::*)(HttpRequest, CancellationPtr);

    bool listen(std::shared_ptr<HttpListener> &port, const std::string &address, Handler handler)
    {
        ErrorCode error;
        port = HttpListener::open(
            m_loop,
            parseEndpoint(address).value(),
            [this, handler](HttpRequest request, CancellationPtr cancellation) { return (this->*handler)(std::move(request), std::move(cancellation)); },
            [this, isCaller = handler == &VmDaemon::handleCaller] { return listenerLimits(isCaller); },
            error);
        if (!port) {
            EventLog::write(LogLevel::Error, Event::PortUnavailable, { { "address", address }, { "detail", error.message() } });
        }
        return port != nullptr;
    }

    void setUndeliveredHandlers()
    {
        m_callerPort->setUndeliveredCallback([this](const HttpResponse *response, UndeliveredCause cause) {
            m_metrics.add(Counter::AnswersUndelivered);
            logUndelivered("caller", response, cause);
        });
        m_peerPort->setUndeliveredCallback([](const HttpResponse *response, UndeliveredCause cause) { logUndelivered("peer", response, cause); });
    }

    static void logUndelivered(const std::string &port, const HttpResponse *response, UndeliveredCause cause)
    {
        EventLog::write(cause == UndeliveredCause::CallerLeft ? LogLevel::Info : LogLevel::Warning,
                        Event::AnswerUndelivered,
                        { { "request", response == nullptr ? "" : fieldValue(*response, Platform::headers().requestId) },
                          { "port", port },
                          { "status", response == nullptr ? "" : std::to_string(response->result_int()) },
                          { "cause", std::string(nameOf(cause)) } });
    }

    /** @return memory available for message bodies, in bytes */
    static uint64_t bodyMemoryBytes(const VmSettings &settings)
    {
        return static_cast<uint64_t>(settings.memoryMb * BodyMemoryShare * BytesPerMebibyte);
    }

    ListenerLimits listenerLimits(bool isCaller) const
    {
        constexpr double DescriptorShare = 0.5; // the other half is for connections to peers and the backend server
        constexpr uint32_t MaxBodyMemoryDivisor = 4; // the largest body may use 1/4 of the memory
        ListenerLimits limits;
        limits.sharedBodyBudget = m_bodyBudget;
        limits.bodyCopies = isCaller ? CallerBodyCopies : 1;
        limits.connections = static_cast<size_t>(m_settings.maxDescriptors * DescriptorShare);
        limits.bodyBytes = static_cast<uint64_t>(m_settings.memoryMb * BytesPerMebibyte / MaxBodyMemoryDivisor);
        const auto routes = m_sync.routes();
        if (isCaller && routes) {
            limits.headerBytes = routes->limits().headerBytes;
            limits.bodyBytes = std::min(limits.bodyBytes, routes->limits().bodyBytes);
            limits.headerTimeout = routes->limits().headerTimeout;
            limits.idleTimeout = routes->limits().idleTimeout;
        }
        return limits;
    }

    Task<MaybeResponse> handleCaller(HttpRequest message, CancellationPtr cancellation)
    {
        if (m_stopSchedule && SteadyClock().now() > m_stopSchedule->serveUntil()) {
            co_return m_router.refuseWhenStopping(message);
        }
        co_return co_await m_router.handle(std::move(message), std::move(cancellation));
    }

    Task<MaybeResponse> handlePeer(HttpRequest message, CancellationPtr cancellation)
    {
        const std::string_view path(message.target().data(), message.target().size());
        if (const auto part = fromName<StatePart>(path)) {
            HttpResponse state(http::status::ok, 11);
            state.body() = m_sync.encodeState(*part, fieldValue(message, PeerCodec::DaemonField));
            state.prepare_payload();
            co_return state;
        }
        const std::string id = fieldValue(message, Platform::headers().requestId);
        auto request = PeerCodec::decode(std::move(message), SteadyClock().now());
        if (!request) {
            EventLog::write(
                LogLevel::Warning, Event::RequestRejected, { { "request", id }, { "reason", "the request forwarded by a peer cannot be decoded" } });
            co_return textResponse(http::status::bad_request, "the forwarded request can't be read");
        }
        request->requestId = id; // the id that the backend server echoes; the request of the peer contains it as JSON text
        const uint64_t call = request->call;
        ForwardResult result = co_await m_target.run(std::move(*request), cancellation);
        result.call = call;
        result.report = m_target.report();
        co_return PeerCodec::encode(std::move(result));
    }

    Task<MaybeResponse> handleReadiness(HttpRequest message, CancellationPtr)
    {
        if (!Platform::isReadinessCheck(message)) {
            co_return textResponse(http::status::not_found, "unknown call");
        }
        const bool isReady = !m_stopSchedule && m_sync.routes() != nullptr;
        if (isReady && !std::exchange(m_hasLoggedReady, true)) {
            EventLog::write(LogLevel::Info, Event::DaemonReady, { { "config", std::to_string(m_sync.routes()->version()) } });
        }
        co_return textResponse(isReady ? http::status::ok : http::status::service_unavailable, isReady ? "ready" : "not ready");
    }

    Task<MaybeResponse> handleControl(HttpRequest message, CancellationPtr)
    {
        if (std::string_view(message.target().data(), message.target().size()) == MetricsPath) {
            HttpResponse metricsResponse(http::status::ok, 11);
            metricsResponse.set(http::field::content_type, "text/plain; version=0.0.4");
            m_metrics.set(Gauge::BodyBytesHeld, m_bodyBudget->reservedBytes());
            m_metrics.set(Gauge::RouteConfirmationAgeMs, static_cast<uint64_t>(toMs(m_sync.routeConfirmationAge().value_or(Duration::zero()))));
            metricsResponse.body() = m_metrics.toPrometheus();
            co_return metricsResponse;
        }
        co_return co_await m_backendControl.handle(std::move(message));
    }

    Task<ForwardResult> forward(std::string daemon, ForwardRequest request, CancellationPtr cancellation)
    {
        if (m_directory.isSelf(daemon)) {
            ForwardResult result = co_await m_target.run(std::move(request), std::move(cancellation));
            result.report = m_target.report();
            co_return result;
        }
        const VmState *vm = m_directory.find(daemon);
        if (vm == nullptr) {
            co_return ForwardResult::notRun(Reason::PeerUnreachable);
        }
        co_return co_await m_sync.peers().forward(vm->record.address, m_directory.isSameRegion(vm->record), std::move(request), std::move(cancellation));
    }

    std::string healthPath(const std::string &service) const
    {
        const auto routes = m_sync.routes();
        const ServiceRules *rules = routes ? routes->service(service) : nullptr;
        return rules == nullptr ? "" : rules->healthPath;
    }

    void publishBackendRecord()
    {
        m_sync.setBackend(m_target.record());
    }

    void onCrash(const CrashReport &report)
    {
        if (m_crashHistory.add(report, SteadyClock().now())) {
            EventLog::write(
                LogLevel::Warning, Event::SuspectRecorded, { { "fingerprint", std::to_string(report.fingerprint) }, { "backend", report.backend } });
            m_sync.reportNow();
        }
    }

    void onCrashesCleared(uint64_t fingerprint)
    {
        EventLog::write(LogLevel::Info, Event::SuspectCleared, { { "fingerprint", std::to_string(fingerprint) }, { "cause", "answered" } });
        m_sync.reportNow();
    }

    size_t activeRequests() const
    {
        return m_callerPort->activeRequests() + m_peerPort->activeRequests();
    }

    size_t pendingRequests() const
    {
        return m_callerPort->pendingRequests() + m_peerPort->pendingRequests();
    }

    void scheduleTick()
    {
        m_tickTimer.expires_after(TickInterval);
        m_tickTimer.async_wait([this](ErrorCode error) {
            if (!error) {
                callAndLogExceptions("tick", [this] { onTick(); });
                scheduleTick();
            }
        });
    }

    void onTick()
    {
        m_target.checkTimeouts();
        if (++m_tickCount % TicksPerSlotUpdate == 0) {
            m_clusterRetryBudget.setDaemonCount(m_directory.all().size());
            m_metrics.set(Gauge::KnownVms, m_directory.all().size());
            m_metrics.set(Gauge::SlotLimit, m_target.report().limit);
            m_target.compareSlotLimits(m_directory.slotLimitStatistics(m_target.record().service));
        }
        if (m_stopSchedule) {
            advanceStop();
        }
    }

    /** Closes the ports, aborts requests and stops the event loop, each as soon as its condition in the graceful stop is met. */
    void advanceStop()
    {
        const TimePoint now = SteadyClock().now();
        if (!m_portsClosedAt && activeRequests() == 0 && now >= m_stopSchedule->serveUntil()) {
            // Later connection attempts of callers are refused, which shows the callers that their requests have not run.
            m_callerPort->close();
            m_peerPort->close();
            m_portsClosedAt = now;
        }
        const bool isDrained = m_portsClosedAt && pendingRequests() == 0 && now - *m_portsClosedAt >= MinCloseDuration;
        if (now >= m_stopSchedule->answerBy()) {
            m_callerPort->cancelRequests();
            m_peerPort->cancelRequests();
        }
        if (isDrained || now >= m_stopSchedule->exitBy()) {
            EventLog::write(LogLevel::Info, Event::DaemonStopped, { { "cause", isDrained ? "drained" : "drain-limit" } });
            m_loop.stop();
        }
    }

    asio::io_context &m_loop;
    VmSettings m_settings;
    VmDirectory m_directory;
    ClusterRetryBudget m_clusterRetryBudget;
    CrashHistory m_crashHistory;
    RouteServiceTimes m_routeServiceTimes;
    Metrics m_metrics;
    std::shared_ptr<BodyBudget> m_bodyBudget; /**< Memory budget for the bodies that the process holds. */
    TargetService m_target;
    ClusterSync<Platform> m_sync;
    BackendControl<Platform> m_backendControl;
    RequestRouter m_router;
    asio::steady_timer m_tickTimer;
    uint32_t m_tickCount = 0;
    std::shared_ptr<HttpListener> m_callerPort;
    std::shared_ptr<HttpListener> m_peerPort;
    std::shared_ptr<HttpListener> m_readyPort;
    std::shared_ptr<HttpListener> m_operatorPort;
    std::optional<StopSchedule> m_stopSchedule; /**< Set from the stop request on. */
    std::optional<TimePoint> m_portsClosedAt; /**< Time at which the caller and peer ports were closed during the stop. */
    bool m_hasLoggedReady = false;
};

} // namespace carobjunction
