#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/process/targetinfo.h>

#include <string>
#include <vector>

namespace carobjunction
{

/** One candidate of a routing decision, for the log. */
struct WeighedCandidate {
    std::string daemon;
    double score = 0; /**< Lower is better; the unit depends on the policy, milliseconds for `predicted`. */
};

/** Result of a routing decision. */
struct RouteChoice {
    TargetInfo target;
    bool own = false; /**< The entry daemon's own target, reached without a hop. */
    std::vector<WeighedCandidate> weighed;
    std::string why; /**< One word: "best", "only", "trial" or "spill" (another region). */
};

/** Why no target was chosen. */
enum class RouteError {
    None,
    UnknownService, /**< setTargets() was never called for the service, or with no targets. */
    AllLeaving,
    AllExcluded, /**< Each target that accepts work was excluded by the caller. */
    PolicyRefused, /**< The policy found no candidate, for example `local-only` without an own target. */
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
