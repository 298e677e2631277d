#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/request/callresult.h>

#include <optional>
#include <string>

namespace carobjunction
{

/** Result code of an attempt to claim an idempotency key. */
enum class ClaimState {
    Won, /**< The store has committed this claim; the request may be dispatched once. */
    Done, /**< A request with this key has already run. */
    Unresolved, /**< Another attempt has claimed the key, and no result is recorded. */
    KeyMismatch, /**< The key was used with a request of a different fingerprint. */
    Unavailable, /**< Not claimed; the request must not be dispatched. If the claim is committed later, it is released. */
};

template<>
struct EnumNames<ClaimState> {
    static constexpr std::pair<ClaimState, std::string_view> Table[] = {
        { ClaimState::Won, "won" },
        { ClaimState::Done, "done" },
        { ClaimState::Unresolved, "unresolved" },
        { ClaimState::KeyMismatch, "key-mismatch" },
        { ClaimState::Unavailable, "unavailable" },
    };
};

/** Outcome of an attempt to claim an idempotency key. */
struct ClaimOutcome {
    ClaimState state = ClaimState::Unavailable;
    std::string claimId; /**< Id of the new claim; set if the state is Won. */
    std::optional<CallResult> result; /**< Recorded result; set if the state is Done, unless the result was too large to record. */
    int recordedStatus = 0; /**< HTTP status of the recorded result; set if the state is Done. */
};

} // namespace carobjunction
