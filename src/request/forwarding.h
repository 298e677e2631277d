#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/vmdirectory.h>
#include <carobjunction/request/outcome.h>
#include <carobjunction/request/reason.h>

#include "connection/httpclientpool.h"

#include <optional>
#include <string>

namespace carobjunction
{

/** A request on its way from the entry daemon to the daemon beside a target. */
struct ForwardRequest {
    HttpRequest message; /**< As the caller sent it, less the fields that concern one connection only. */
    std::string requestId;
    uint64_t call = 0; /**< Number of the call to the other daemon, which the answer repeats; 0 if an older daemon gives none. */
    std::string callerService; /**< Service of the VM on which the request began. */
    std::string service; /**< Service that is to run it. */
    std::string route; /**< Name of the route, by which work is estimated. */
    std::string backend; /**< Id of the backend server that the entry chose. */
    uint64_t configVersion = 0; /**< Version of the routes that the entry used. */
    uint64_t fingerprint = 0; /**< See fingerprintOf(). */
    bool idempotent = false;
    bool mayQueue = false; /**< Whether it may wait at the target for a slot. */
    uint32_t priority = 0; /**< 0 is the most urgent. */
    TimePoint aimAt; /**< Time until which an answer is in good time. */
    TimePoint deadlineAt; /**< Time at which the caller gets its final answer. */
    Duration work = Duration::zero(); /**< Expected time at the backend server. */
};

/** What became of a request at a target. */
struct ForwardResult {
    uint64_t call = 0; /**< Number of the call that it answers. */
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    bool reachedBackend = false; /**< Whether it was sent to the backend server, which may have rejected it. */
    HttpResponse response; /**< The backend server's answer; only if the outcome is Ran. */
    std::optional<TargetReport> report;
    Duration serviceTime = Duration::zero(); /**< Time at the backend server. */
    bool isTypical = false; /**< Whether serviceTime tells what such requests usually take. */
    Duration retryAfter = Duration::zero(); /**< Time after which the target expects to have room; for refusals. */
    std::string detail; /**< Last error of the connection, if one ended the attempt. */

    static ForwardResult notRun(Reason reason, Duration retryAfter = Duration::zero())
    {
        ForwardResult result;
        result.reason = reason;
        result.retryAfter = retryAfter;
        return result;
    }

    /**
     * @param end  of an exchange that brought no answer
     * @param notSent  reason if nothing was sent
     */
    static ForwardResult unanswered(ExchangeEnd end, Reason notSent, std::string detail)
    {
        if (end == ExchangeEnd::NotSent) {
            ForwardResult result = notRun(notSent);
            result.detail = std::move(detail);
            return result;
        }
        return unknown(reasonForEnd(end), std::move(detail));
    }

    /** @return why the outcome of an exchange is unknown */
    static Reason reasonForEnd(ExchangeEnd end)
    {
        switch (end) {
        case ExchangeEnd::TimedOut:
            return Reason::DeadlineExceeded;
        case ExchangeEnd::Cancelled:
            return Reason::Cancelled;
        case ExchangeEnd::TooLarge:
            return Reason::AnswerTooLarge;
        default:
            return Reason::AnswerLost;
        }
    }

    static ForwardResult unknown(Reason reason, std::string detail = {})
    {
        ForwardResult result;
        result.outcome = Outcome::Unknown;
        result.reason = reason;
        result.reachedBackend = true;
        result.detail = std::move(detail);
        return result;
    }
};

} // namespace carobjunction
