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

/** Request that the entry daemon forwards to the daemon of a target. */
struct ForwardRequest {
    HttpRequest message; /**< Message of the caller without hop-by-hop header fields. */
    std::string requestId;
    uint64_t call = 0; /**< Number of the call between the daemons, repeated in the answer; 0 if an older daemon sent none. */
    std::string callerService; /**< Service of the VM on which the caller runs. */
    std::string service; /**< Service that must run the request. */
    std::string route; /**< Name of the route, for which service times are estimated. */
    std::string backend; /**< Id of the backend server that the entry daemon chose. */
    uint64_t configVersion = 0; /**< Version of the route table that the entry daemon used. */
    uint64_t fingerprint = 0; /**< See computeFingerprint(). */
    bool idempotent = false;
    bool mayQueue = false; /**< Whether the request may wait for a slot at the target. */
    uint32_t priority = 0; /**< 0 is the most urgent. */
    TimePoint softDeadlineAt; /**< Time by which the request should be answered, from the aim of its route. */
    TimePoint deadlineAt; /**< Time by which the caller must receive its final answer. */
    Duration work = Duration::zero(); /**< Expected service time on the backend server. */
};

/** Result of a request that was forwarded to a target. */
struct ForwardResult {
    uint64_t call = 0; /**< Number of the call that this result answers. */
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    bool reachedBackend = false; /**< Whether the request was sent to the backend server, which may have refused it. */
    HttpResponse response; /**< Answer of the backend server; set only if the outcome is Ran. */
    std::optional<TargetReport> report; /**< Load report of the target, if one was attached. */
    Duration serviceTime = Duration::zero(); /**< Time that the backend server took. */
    bool isRepresentative = false; /**< Whether serviceTime is representative, so that it may enter the estimate for the route. */
    Duration retryAfter = Duration::zero(); /**< Time after which the target expects free capacity; set for refusals. */
    std::string detail; /**< Error text of the connection, if a connection error ended the attempt. */

    /** @return the result of a request that is proven not to have run */
    static ForwardResult notRun(Reason reason, Duration retryAfter = Duration::zero())
    {
        ForwardResult result;
        result.reason = reason;
        result.retryAfter = retryAfter;
        return result;
    }

    /**
     * Returns the result of an exchange that ended without an answer.
     * @param end  how the exchange ended
     * @param notSent  reason to report if nothing was sent
     * @param detail  error text of the connection
     */
    static ForwardResult fromUnansweredExchange(ExchangeEnd end, Reason notSent, std::string detail)
    {
        if (end == ExchangeEnd::NotSent) {
            ForwardResult result = notRun(notSent);
            result.detail = std::move(detail);
            return result;
        }
        return unknown(reasonForEnd(end), std::move(detail));
    }

    /** @return the result of a request that may have run */
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
