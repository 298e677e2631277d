#pragma once

#include <carobjunction/process/backendgate.h>
#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/hostslowdowndetector.h>
#include <carobjunction/process/slotqueue.h>
#include <carobjunction/process/slottuner.h>

#include "connection/httpclientpool.h"
#include "process/backendprobe.h"
#include "process/eventlog.h"
#include "process/routeservicetimes.h"
#include "request/forwarding.h"
#include "request/platformheaders.h"

#include <functional>
#include <memory>

namespace carobjunction
{

/** Callbacks by which TargetService notifies and queries the rest of the daemon. */
struct TargetCallbacks {
    std::function<void()> onRecordChanged; /**< Called after a change of the backend server's record. */
    std::function<void(const CrashReport &)> onCrash; /**< Called for each request that was in flight when the backend server crashed. */
    std::function<void(uint64_t fingerprint)> onCrashesCleared; /**< Called if a request was answered for which crashes were recorded. */
    std::function<std::string(const std::string &service)> healthPath; /**< Returns the health path of a service, empty if it is unknown. */
};

/**
 * Runs requests on the backend server of this VM: admits or refuses them, forwards them and classifies the answers.
 * Must be used on a single event loop; not thread-safe.
 */
class TargetService
{
public:
    /**
     * @param service  service of the backend server, from the settings
     * @param heartbeatTimeout  time without a heartbeat after which the backend server counts as down
     * @param crashHistory  must outlive this object
     * @param routeServiceTimes  must outlive this object
     * @param sharedBodyBudget  memory budget for the bodies of answers; null if their total size is not limited
     */
    TargetService(asio::io_context &loop,
                  const Tcp::endpoint &backend,
                  const std::string &service,
                  const PlatformHeaders &headers,
                  Duration heartbeatTimeout,
                  CrashHistory &crashHistory,
                  RouteServiceTimes &routeServiceTimes,
                  TargetCallbacks callbacks,
                  std::shared_ptr<BodyBudget> sharedBodyBudget = nullptr);

    /** Admits or refuses a request, waits for a slot and runs the request on the backend server. Logs refusals. */
    Task<ForwardResult> run(ForwardRequest request, CancellationPtr cancellation);

    /** Applies a heartbeat from the backend server. */
    HeartbeatResult onHeartbeat(const Heartbeat &heartbeat);

    /** Marks the backend server with the given id as leaving. */
    void onLeave(const std::string &id);

    /**
     * Restores the backend server's record from before a restart of this daemon, as stored in the store or by a peer. No request is admitted
     * until this is called or the time limit for it has passed, because a delayed heartbeat from a process that has left can't be distinguished
     * from that of a running process.
     * @param storedRecord  null if no record is stored
     */
    void restoreRecord(const BackendRecord *storedRecord);

    /** Stops admission before the daemon terminates. Running requests continue, waiting and new ones are refused. */
    void stopAdmission();

    /** Expires waiting requests and detects missing heartbeats from the backend server. Must be called several times per second. */
    void checkTimeouts();

    /** @return the current load report of the target */
    TargetReport report() const;

    /** Passes the slot limit statistics of the other targets of the service to the slot tuner. */
    void compareSlotLimits(const SlotLimitStatistics &others)
    {
        m_tuner.compareLimits(others);
    }

    const Tcp::endpoint &backendAddress() const
    {
        return m_backendPool->server();
    }

    const BackendRecord &record() const
    {
        return m_gate.record();
    }

private:
    Task<ForwardResult> admitAndDispatch(ForwardRequest &request, CancellationPtr cancellation);
    void logRefusal(const ForwardRequest &request, const ForwardResult &result) const;
    std::optional<Reason> refusalReason(const ForwardRequest &request) const;
    Task<std::optional<ForwardResult>> waitForSlot(const ForwardRequest &request, CancellationPtr cancellation);
    Task<void> refreshHostSlowdown();
    Task<void> watchSlowdown();
    void applyHostSlowdown(TimePoint now);
    Task<ForwardResult> dispatch(ForwardRequest &request, CancellationPtr cancellation);
    void applyLimit();
    HttpRequest toBackendRequest(ForwardRequest &request) const;
    ForwardResult classify(const ForwardRequest &request, ExchangeResult exchange);
    bool isRefusal(const HttpResponse &response) const;
    ForwardResult classifyAnswer(const ForwardRequest &request, HttpResponse response);
    Task<void> checkForCrash();
    void onRecordChanged();
    bool applyLoadField(const HttpResponse &response);

    asio::io_context &m_loop;
    std::shared_ptr<HttpClientPool> m_backendPool;
    const PlatformHeaders &m_headers;
    CrashHistory &m_crashHistory;
    RouteServiceTimes &m_routeServiceTimes;
    TargetCallbacks m_callbacks;
    BackendGate m_gate;
    SlotQueue m_slotQueue;
    SlotTuner m_tuner;
    std::map<uint64_t, uint64_t> m_fingerprintsInFlight; /**< Fingerprints of the requests in flight on the backend server, by run number. */
    uint64_t m_lastRun = 0; /**< Number of the last run. */
    bool m_isRecordRestored = false; /**< Whether the stored record was restored, or it is known that no record is stored. */
    TimePoint m_restoreDeadline; /**< Time after which requests are admitted even if the stored record was not restored. */
    HostSlowdownDetector m_slowdownDetector;
    BackendProbe m_probe;
    bool m_isWatchingSlowdown = false;
    bool m_isStopping = false;
};

} // namespace carobjunction
