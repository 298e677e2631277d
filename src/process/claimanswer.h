#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/request/callresult.h>

#include <optional>
#include <string>

namespace carobjunction
{

/** What became of an attempt to claim an idempotency key. */
enum class ClaimState {
    Won, /**< The store holds this claim; the request may be dispatched once. */
    Done, /**< A request with this key ran before. */
    Unresolved, /**< The key is claimed, and no result is recorded. */
    KeyMismatch, /**< The key was used with another request. */
    Unavailable, /**< Not claimed; the request must not be dispatched. A claim that still comes into force is released. */
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

/** Answer to an attempt to claim an idempotency key. */
struct ClaimAnswer {
    ClaimState state = ClaimState::Unavailable;
    std::string claimId; /**< Set with Won. */
    std::optional<CallResult> result; /**< Set with Done, unless the result was too large to record. */
    int recordedStatus = 0; /**< HTTP status of the recorded result, set with Done. */
};

} // namespace carobjunction
