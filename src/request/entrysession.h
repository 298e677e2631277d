#pragma once

#include "request/decisionrecord.h"

#include <carobjunction/request/attemptplanner.h>
#include <carobjunction/version/serviceconfig.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace carobjunction
{

class EntryService;

/**
 * Runs one request on its entry daemon. Attempts in flight share ownership, so that a result that arrives after the end of the request
 * still has a valid session.
 */
class EntrySession : public std::enable_shared_from_this<EntrySession>
{
public:
    /**
     * @param service  must outlive the session
     * @param config  configuration that applies to this request, even if a newer version is published meanwhile
     */
    EntrySession(EntryService &service, std::shared_ptr<const ServiceConfig> config, CallRequest request, AttemptRules rules);

    /** Makes attempts until the request has a result or the deadline is reached. Blocks the calling thread. */
    CallResult run();

    /** @return the attempts of the request, for the decision log; complete after run() */
    std::vector<AttemptRecord> attempts() const;

    // Interface of AttemptEnvironment.
    std::optional<std::string> chooseTarget(std::span<const std::string> excluded);
    bool tryAcquireRetryToken();

private:
    /** Result of an attempt that run() has not processed yet. */
    struct PendingResult {
        uint32_t number = 0;
        CallResult result;
        TimePoint availableAt; /**< Time from which run() processes the result; delayed only if an experiment adds latency between regions. */
    };

    void startAttempt(const StartAttempt &attempt);
    void dispatchAttempt(const StartAttempt &attempt, const RouteChoice &choice);
    CallRequest makeAttemptRequest(const StartAttempt &attempt) const;
    void onResult(uint32_t number, CallResult result);
    void reportAttempt(const AttemptRecord &attempt, const CallResult &result, bool wasCancelled);
    void waitForResult(TimePoint until);
    std::vector<PendingResult> takeAvailableResults();
    void cancelUnfinishedAttempts(const std::vector<StartAttempt> &unfinishedAttempts);
    void logAttempt(const StartAttempt &attempt, const RouteChoice &choice) const;

    EntryService &m_service;
    const std::shared_ptr<const ServiceConfig> m_config;
    const CallRequest m_request;
    const AttemptRules m_rules;
    const TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    std::condition_variable m_resultArrived;
    std::vector<PendingResult> m_pendingResults;
    std::vector<AttemptRecord> m_attempts;
    std::map<uint32_t, std::function<void()>> m_cancelFunctions;
    std::optional<RouteChoice> m_lastChoice; /**< Result of the latest call of chooseTarget(). */
    bool m_isFinished = false;
};

} // namespace carobjunction
