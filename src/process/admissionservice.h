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

/** One request at its owner daemon, from its arrival to its result. Keeps itself alive until its completion is called. */
class AdmissionSession : public std::enable_shared_from_this<AdmissionSession>
{
public:
    using Completion = std::function<void(CallResult)>;

    AdmissionSession(AdmissionService &service, CallRequest request, Completion completion);

    /** Withdraws the request. A queued one ends as NotRun; a running one is cancelled at the backend server. */
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

/** The owner daemon's side of a call: admits requests, runs them on the backend server beside it, and reports how they ended. */
class AdmissionService
{
public:
    /** Called with the request and the result of each request that ran. */
    using RanHook = std::function<void(const CallRequest &, const CallResult &)>;
    /** Called when the suspect table changed because of a crash, so that the change is spread at once. */
    using SuspectsHook = std::function<void()>;

    AdmissionService(WorkerPool &workers, SuspectTable<SteadyClock> &suspects, Metrics &metrics, uint64_t maxBodyBytes);

    /** Sets the hooks; call before the first request. */
    void setHooks(RanHook ran, SuspectsHook suspectsChanged);

    /** Applies limits of a new configuration. */
    void configure(const AdmissionLimits &limits);

    /**
     * Takes a request. The completion is called exactly once, on any thread, possibly before this returns.
     * @param targetIncarnation  incarnation that the entry daemon chose; 0 accepts any
     * @param mayQueue  whether the request may wait for a slot
     */
    std::shared_ptr<AdmissionSession> submit(CallRequest request, uint64_t targetIncarnation, bool mayQueue, AdmissionSession::Completion completion);

    /** The backend server announced itself. @return whether it is a new process */
    bool announce(const std::string &service, const SocketAddress &address, uint64_t incarnation);

    /** The backend server is leaving: no new dispatch from now on. */
    void leave();

    /** The backend server is silent or refuses connections. */
    void targetDown(const std::string &cause);

    /** Refuses queued requests whose deadline came too near. To be called every few milliseconds. */
    void expire();

    LoadReport load();
    size_t running() const;
    bool isLeaving() const;
    bool isPresent() const;
    uint64_t incarnation() const;

private:
    friend class AdmissionSession;
    using SessionPtr = std::shared_ptr<AdmissionSession>;

    AdmissionRequest admissionRequest(const CallRequest &request, uint64_t targetIncarnation, bool mayQueue);
    void run(const SessionPtr &session);
    void finish(const SessionPtr &session, CallResult result, Duration serviceTime);
    void noteEnd(const AdmissionSession &session, const CallResult &result, bool ranAlone);
    void checkForCrash();
    void reportCrash(uint64_t incarnation);
    void apply(const AdmissionChanges &changes);
    void refuse(const SessionPtr &session, Reason reason, const LoadReport &load);
    void cancelSession(const SessionPtr &session);
    void logDecision(const CallRequest &request, AdmissionVerdict verdict, Reason reason, const LoadReport &load);
    SessionPtr takeSession(AdmissionTicket ticket);

    WorkerPool &m_workers;
    SuspectTable<SteadyClock> &m_suspects;
    Metrics &m_metrics;
    RanHook m_ranHook;
    SuspectsHook m_suspectsHook;
    SteadyClock m_clock;
    AdmissionController<SteadyClock> m_controller;
    BackendClient m_backend;
    CrashDetector m_crashes;
    std::mutex m_sessionsMutex; /**< Taken before the controller's own lock. */
    std::unordered_map<AdmissionTicket, SessionPtr> m_queued;
};

} // namespace carobjunction
