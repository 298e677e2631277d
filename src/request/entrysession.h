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

/** One request at its entry daemon. Shared with the attempts in flight, so that a late answer finds it. */
class EntrySession : public std::enable_shared_from_this<EntrySession>
{
public:
    /**
     * @param service  must outlive the session
     * @param config  configuration that stays in force for this request
     */
    EntrySession(EntryService &service, std::shared_ptr<const ServiceConfig> config, CallRequest request, AttemptRules rules);

    /** Makes attempts until there is a result, at most until the deadline. Blocks. */
    CallResult run();

    /** @return the attempts made, for the decision log; valid after run() */
    std::vector<AttemptRecord> attempts() const;

    // Interface of AttemptEnvironment.
    std::optional<std::string> chooseTarget(std::span<const std::string> excluded);
    bool takeRetryToken();

private:
    struct PendingResult {
        uint32_t number = 0;
        CallResult result;
        TimePoint availableAt; /**< Later than the arrival only when an experiment adds delays between regions. */
    };

    void start(const StartAttempt &attempt);
    void send(const StartAttempt &attempt, const RouteChoice &choice);
    CallRequest makeAttemptRequest(const StartAttempt &attempt) const;
    void onResult(uint32_t number, CallResult result);
    void reportAttempt(const AttemptRecord &attempt, const CallResult &result, bool wasCancelled);
    void waitForResult(TimePoint until);
    std::vector<PendingResult> takeAvailableResults();
    void finish(const std::vector<StartAttempt> &unfinished);
    void logAttempt(const StartAttempt &attempt, const RouteChoice &choice) const;

    EntryService &m_service;
    const std::shared_ptr<const ServiceConfig> m_config;
    const CallRequest m_request;
    const AttemptRules m_rules;
    const TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<PendingResult> m_pendingResults;
    std::vector<AttemptRecord> m_attempts;
    std::map<uint32_t, std::function<void()>> m_cancelFunctions;
    std::optional<RouteChoice> m_lastChoice; /**< Choice that the planner was given last. */
    bool m_isFinished = false;
};

} // namespace carobjunction
