#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/targetinfo.h>

#include <string>
#include <vector>

namespace carobjunction
{

/** Candidate of a routing decision with its score, for the event log. */
struct ScoredCandidate {
    std::string daemon; /**< Id of the candidate's daemon. */
    double score = 0; /**< Lower is better. The unit depends on the policy; `predicted` uses milliseconds. */
};

/** Result of a routing decision. */
struct RouteChoice {
    TargetInfo target;
    bool own = false; /**< Whether the target belongs to the entry daemon itself, so that the call needs no hop to another daemon. */
    std::vector<ScoredCandidate> scored;
    /** Rule that selected the target: "best" score, "only" eligible target, "trial" after an ejection, or "spill" over to another region. */
    std::string selectionReason;
};

/** Reasons why no target could be chosen. */
enum class RouteError {
    None,
    UnknownService, /**< The service has no targets: setTargets() was not called for it, or was last called with an empty list. */
    AllLeaving, /**< Every target is leaving, ejected or on trial. */
    AllExcluded, /**< The caller excluded every target that accepts work. */
    PolicyRefused, /**< The policy accepted no candidate, for example `local-only` if this daemon has no target of the service. */
};

template<>
struct EnumNames<RouteError> {
    static constexpr std::pair<RouteError, std::string_view> Table[] = {
        { RouteError::None, "none" },
        { RouteError::UnknownService, "unknown-service" },
        { RouteError::AllLeaving, "all-leaving" },
        { RouteError::AllExcluded, "all-excluded" },
        { RouteError::PolicyRefused, "policy-refused" },
    };
};

} // namespace carobjunction
