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

/** What the owner daemon needs to know of a request to admit it. */
struct AdmissionRequest {
    std::string service;
    std::string caller;
    Priority priority = Priority::Normal;
    Deadline deadline = Deadline::after(TimePoint {}, Duration::zero());
    uint64_t targetIncarnation = 0; /**< Incarnation that the entry daemon chose; 0 accepts any. */
    bool suspect = false; /**< Must run alone. */
    bool mayQueue = true; /**< Whether the request may wait; otherwise it is refused when no slot is free. */
};

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

/** Decision on one request. A refusal proves that the request did not run. */
struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Refused;
    Reason reason = Reason::None;
    AdmissionTicket ticket = 0; /**< Valid unless refused. */
    LoadReport load;
};

/** A queued request that was refused after all. */
struct AdmissionRefusal {
    AdmissionTicket ticket = 0;
    Reason reason = Reason::None;
};

/** Queued requests whose state changed. Each queued ticket appears exactly once over its life, unless it is cancelled. */
struct AdmissionChanges {
    std::vector<AdmissionTicket> admitted;
    std::vector<AdmissionRefusal> refused;
};

/** How an admitted request ended. */
enum class CompletionKind {
    Answered, /**< The backend server gave a complete answer. */
    Overloaded, /**< The backend server refused the request because of its load. */
    Failed, /**< No complete answer; the duration says nothing about the service time. */
};

/** Limits of one target. */
struct AdmissionLimits {
    uint32_t slots = 9;
    uint32_t queue = 18;
    Duration coldRamp = std::chrono::seconds(5);
};

} // namespace carobjunction
