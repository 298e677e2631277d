#pragma once

#include <carobjunction/request/deadline.h>
#include <carobjunction/request/loadreport.h>
#include <carobjunction/request/priority.h>
#include <carobjunction/request/reason.h>

#include <cstdint>
#include <string>
#include <vector>

namespace carobjunction
{

/** Identifies one request at an AdmissionController. 0 is never used. */
using AdmissionTicket = uint64_t;

/** Request attributes on which the owner daemon bases its admission decision. */
struct AdmissionRequest {
    std::string service;
    std::string caller;
    Priority priority = Priority::Normal;
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
    uint64_t targetIncarnation = 0; /**< Incarnation of the backend server that the entry daemon selected; 0 matches any incarnation. */
    bool suspect = false; /**< The request is suspected of crashing backend servers and must run alone. */
    bool mayQueue = true; /**< Whether the request may wait for a slot; if not, it is refused when no slot is free. */
};

/** Outcome of an admission decision. */
enum class AdmissionVerdict {
    Admitted,
    Queued,
    Refused,
};

template<>
struct EnumNames<AdmissionVerdict> {
    static constexpr std::pair<AdmissionVerdict, std::string_view> Table[] = {
        { AdmissionVerdict::Admitted, "admitted" },
        { AdmissionVerdict::Queued, "queued" },
        { AdmissionVerdict::Refused, "refused" },
    };
};

/** Admission decision for one request. A refusal guarantees that the request did not run. */
struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refused;
    Reason reason = Reason::None;
    AdmissionTicket ticket = 0; /**< Identifies the request if it was admitted or queued; 0 if it was refused. */
    LoadReport load;
};

/** A request that was refused after it had been queued. */
struct AdmissionRefusal {
    AdmissionTicket ticket = 0;
    Reason reason = Reason::None;
};

/** Queued requests that were admitted or refused. Each queued ticket is reported exactly once, unless the request is cancelled. */
struct AdmissionChanges {
    std::vector<AdmissionTicket> admitted;
    std::vector<AdmissionRefusal> refused;
};

/** Result of running an admitted request. */
enum class CompletionKind {
    Answered, /**< The backend server returned a complete response. */
    Overloaded, /**< The backend server rejected the request because it is overloaded. */
    Failed, /**< No complete response was received, so the duration is no sample of the service time. */
};

/** Concurrency and queue limits of one target. */
struct AdmissionLimits {
    uint32_t slots = 9; /**< Maximum number of concurrent requests. */
    uint32_t queue = 18; /**< Maximum number of queued requests. */
    Duration coldRamp = std::chrono::seconds(5); /**< Time after its start during which a backend server is reported as cold. */
};

} // namespace carobjunction
