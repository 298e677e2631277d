#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/request/callresult.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace carobjunction
{

/** State of a claim row. */
enum class ClaimRowState {
    Claimed, /**< The request may have run; no result is recorded. */
    Released, /**< The request did not run; the key may be claimed again. */
    Done, /**< The request ran; the row contains its result. */
};

template<>
struct EnumNames<ClaimRowState> {
    static constexpr std::pair<ClaimRowState, std::string_view> Table[] = {
        { ClaimRowState::Claimed, "claimed" },
        { ClaimRowState::Released, "released" },
        { ClaimRowState::Done, "done" },
    };
};

/** Value of the row `claim/{service}/{key}`. */
struct ClaimRow {
    std::string claimId;
    ClaimRowState state = ClaimRowState::Claimed;
    std::string daemon; /**< Id of the daemon that made the claim. */
    uint64_t fingerprint = 0; /**< Identifies the request that claimed the key. */
    int64_t createdMs = 0; /**< Unix time in milliseconds. */
    int64_t expiresMs = 0; /**< Unix time in milliseconds from which the row is treated as absent. */
    bool complete = false; /**< Whether headers and body are recorded. */
    int status = 0; /**< HTTP status of the recorded result. */
    HeaderList headers;
    std::string body;

    /** Time from the expiry of a row to its deletion. Conditional writes in progress must have ended by then. */
    static constexpr int64_t SweepDelayMs = 60LL * 60 * 1000;

    /** Key of the row that every deletion of expired claims rewrites. The row itself is never deleted. */
    static constexpr const char *SweepRowKey = "claim-sweep";

    /** Maximum size of a recorded body, in bytes. */
    static constexpr size_t MaxRecordedBodyBytes = 16U << 10U;

    /** Maximum total size of recorded header names and values, in bytes. */
    static constexpr size_t MaxRecordedHeaderBytes = 8U << 10U;

    /** @return key of the row that holds the claim of an idempotency key */
    static std::string rowKeyFor(std::string_view service, std::string_view key);

    bool isExpired(int64_t nowMs) const
    {
        return nowMs >= expiresMs;
    }

    /**
     * Returns whether the row may be deleted soon. After a deletion, the versions of a new row with this key start from 1, so a condition
     * on the version alone no longer identifies the row. The check uses half of SweepDelayMs; the other half allows for clock skew between
     * daemons and for writes in progress.
     */
    bool isNearSweep(int64_t nowMs) const
    {
        return nowMs >= expiresMs + SweepDelayMs / 2;
    }

    /** @return whether the sweeper may delete the row */
    bool isDeletable(int64_t nowMs) const
    {
        return nowMs >= expiresMs + SweepDelayMs;
    }

    /** Copies the status of @p result, and its headers and body if both are within the limits. */
    void recordResult(const CallResult &result);

    nlohmann::json toJson() const;

    /** @return the row, or empty if @p value is malformed */
    static std::optional<ClaimRow> fromJson(const nlohmann::json &value);
};

} // namespace carobjunction
