#pragma once

#include <carobjunction/process/backendgate.h>
#include <carobjunction/process/crashhistory.h>
#include <carobjunction/process/hostslowness.h>
#include <carobjunction/process/slotqueue.h>
#include <carobjunction/process/slottuner.h>

#include "connection/httpclientpool.h"
#include "process/backendprobe.h"
#include "process/eventlog.h"
#include "process/workestimates.h"
#include "request/forwarding.h"
#include "request/servedheaders.h"

#include <functional>
#include <memory>

namespace carobjunction
{

/** What the daemon beside a target tells the rest of the process. */
struct TargetHooks {
    std::function<void()> onRecordChanged; /**< The backend server's record is another. */
    std::function<void(const CrashReport &)> onCrash; /**< The backend server ended while it ran a request. */
    std::function<std::string(const std::string &service)> healthPath; /**< Health path of a service; empty if not known. */
};

/**
 * Runs requests on the backend server beside this daemon: admission, dispatch and the classification of answers.
 * Used on one event loop; not thread-safe.
 */
class TargetService
{
public:
    /**
     * @param crashes  outlives this object
     * @param work  outlives this object
     * @param bodies  room for the bodies of answers; null: without a bound over all of them
     */
    TargetService(asio::io_context &loop,
                  const Tcp::endpoint &backend,
                  const ServedHeaders &headers,
                  Duration silenceLimit,
                  CrashHistory &crashes,
                  WorkEstimates &work,
                  TargetHooks hooks,
                  std::shared_ptr<BodyBudget> bodies = nullptr);

    Task<ForwardResult> run(ForwardRequest request, CancellationPtr cancellation);

    HeartbeatEffect onHeartbeat(const Heartbeat &beat);
    void onLeave(const std::string &id);

    /**
     * Takes what the store or a peer holds of the backend server from before a restart of this daemon. Until then, or until waiting for
     * it is in vain, no work is admitted: a late heartbeat of a process that has left looks like one of a sound process.
     * @param former  null if nothing is held
     */
    void recall(const BackendRecord *former);

    /** The daemon is about to end: work in progress goes on, new work is refused. */
    void stopAdmission();

    /** Ends waits that have become useless, and notices a silent backend server. To be called several times a second. */
    void checkTimes();

    TargetReport report() const;

    /** Takes what the other targets of the service have learned about its slots. */
    void learnSlots(const SlotEvidence &others)
    {
        m_tuner.learn(others);
    }

    const Tcp::endpoint &backendAddress() const
    {
        return m_backend->server();
    }

    const BackendRecord &record() const
    {
        return m_gate.record();
    }

private:
    Task<ForwardResult> admitAndDispatch(ForwardRequest &request, CancellationPtr cancellation);
    void logRefusal(const ForwardRequest &request, const ForwardResult &result) const;
    std::optional<Reason> reasonToRefuse(const ForwardRequest &request) const;
    Task<std::optional<ForwardResult>> waitForSlot(const ForwardRequest &request, CancellationPtr cancellation);
    Task<void> refreshHost();
    Task<void> watchSlowSpell();
    void applyHost(TimePoint now);
    Task<ForwardResult> dispatch(ForwardRequest &request, CancellationPtr cancellation);
    void applyLimit();
    HttpRequest toBackendMessage(ForwardRequest &request) const;
    ForwardResult classify(const ForwardRequest &request, ExchangeResult exchange);
    bool isRefusal(const HttpResponse &response) const;
    ForwardResult classifyAnswer(const ForwardRequest &request, HttpResponse response);
    Task<void> checkForCrash();
    void onRecordChanged();
    bool readLoad(const HttpResponse &response);

    asio::io_context &m_loop;
    std::shared_ptr<HttpClientPool> m_backend;
    const ServedHeaders &m_headers;
    CrashHistory &m_crashes;
    WorkEstimates &m_work;
    TargetHooks m_hooks;
    BackendGate m_gate;
    SlotQueue m_slots;
    SlotTuner m_tuner;
    std::map<uint64_t, uint64_t> m_inFlight; /**< Fingerprints of the requests at the backend server, by run. */
    uint64_t m_lastRun = 0;
    bool m_hasRecalled = false;
    TimePoint m_recallLimit; /**< Time at which work is admitted although nothing was recalled. */
    HostSlowness m_host;
    BackendProbe m_probe;
    bool m_isWatchingSpell = false;
    bool m_isStopping = false;
};

} // namespace carobjunction
