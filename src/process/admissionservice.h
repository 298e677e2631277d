#pragma once

#include <carobjunction/process/admissioncontroller.h>
#include <carobjunction/process/suspecttable.h>
#include <carobjunction/request/callresult.h>

#include "connection/backendclient.h"
#include "process/crashdetector.h"
#include "process/workerpool.h"

#include <atomic>
#include <functional>
#include <unordered_map>

namespace carobjunction
{

class AdmissionService;
class Metrics;
struct SocketAddress;

/** A request at its owner daemon, from its submission to its result. Exists at least until its completion callback has been called. */
class AdmissionSession : public std::enable_shared_from_this<AdmissionSession>
{
public:
    /** Called with the result of the request. */
    using Completion = std::function<void(CallResult)>;

    AdmissionSession(AdmissionService &service, CallRequest request, Completion completion);

    /** Cancels the request. A queued request completes as NotRun; a running one is cancelled at the backend server if it is idempotent. */
    void cancel();

private:
    friend class AdmissionService;

    AdmissionService &m_service;
    CallRequest m_request;
    Completion m_completion;
    std::atomic<AdmissionTicket> m_ticket { 0 };
    std::atomic<bool> m_isRunning { false };
    std::atomic<bool> m_isFinished { false };
};

/** Owner daemon's side of a call: admits requests, dispatches them to the backend server on this VM and reports their results. */
class AdmissionService
{
public:
    /** Called with the result of each request that was dispatched to the backend server and ran. */
    using RequestRanHandler = std::function<void(const CallRequest &, const CallResult &)>;
    /** Called when a crash has changed the suspect table, so that the change can be propagated immediately. */
    using SuspectsChangedHandler = std::function<void()>;

    AdmissionService(WorkerPool &workers, SuspectTable<SteadyClock> &suspects, Metrics &metrics, uint64_t maxBodyBytes);

    /** Sets the handlers. Must be called before the first request is submitted. */
    void setHandlers(RequestRanHandler ran, SuspectsChangedHandler suspectsChanged);

    /** Applies the limits of a new configuration. */
    void configure(const AdmissionLimits &limits);

    /**
     * Submits a request for admission.
     * @param targetIncarnation  incarnation of the backend server that the entry daemon selected; 0 matches any incarnation
     * @param mayQueue  whether the request may wait for a slot
     * @param completion  called exactly once, on any thread, possibly before this function returns
     */
    std::shared_ptr<AdmissionSession> submit(CallRequest request, uint64_t targetIncarnation, bool mayQueue, AdmissionSession::Completion completion);

    /** Processes an announcement of the backend server. @return whether it is from a new process */
    bool announce(const std::string &service, const SocketAddress &address, uint64_t incarnation);

    /** Stops admission because the backend server is leaving. */
    void leave();

    /** Stops admission until the next announcement, because the backend server does not respond or refuses connections. @param cause  cause for the log */
    void markTargetDown(const std::string &cause);

    /** Refuses queued requests that can no longer meet their deadline. To be called every few milliseconds. */
    void expire();

    LoadReport load();
    size_t running() const;
    bool isLeaving() const;
    bool isPresent() const;
    uint64_t incarnation() const;

private:
    friend class AdmissionSession;
    using SessionPtr = std::shared_ptr<AdmissionSession>;

    AdmissionRequest makeAdmissionRequest(const CallRequest &request, uint64_t targetIncarnation, bool mayQueue);
    void run(const SessionPtr &session);
    void finish(const SessionPtr &session, CallResult result, Duration serviceTime);
    void recordOutcome(const AdmissionSession &session, const CallResult &result, bool ranAlone);
    void checkForCrash();
    void reportCrash(uint64_t incarnation);
    void apply(const AdmissionChanges &changes);
    void refuse(const SessionPtr &session, Reason reason, const LoadReport &load);
    void cancelSession(const SessionPtr &session);
    void logDecision(const CallRequest &request, AdmissionVerdict verdict, Reason reason, const LoadReport &load);
    SessionPtr removeQueuedSession(AdmissionTicket ticket);

    WorkerPool &m_workers;
    SuspectTable<SteadyClock> &m_suspects;
    Metrics &m_metrics;
    RequestRanHandler m_requestRanHandler;
    SuspectsChangedHandler m_suspectsChangedHandler;
    SteadyClock m_clock;
    AdmissionController<SteadyClock> m_controller;
    BackendClient m_backend;
    CrashDetector m_crashDetector;
    std::mutex m_sessionsMutex; /**< Must be locked before the mutex of the controller. */
    std::unordered_map<AdmissionTicket, SessionPtr> m_queuedSessions; /**< Queued requests by their ticket. */
};

} // namespace carobjunction
