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
    Claimed,
    Released, /**< The request did not run under this claim; the key may be claimed again. */
    Done, /**< The request ran; the row holds the result. */
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
    std::string daemon;
    uint64_t fingerprint = 0; /**< Identifies the request that the key was used with. */
    int64_t createdMs = 0;
    int64_t expiresMs = 0; /**< From this time on the row counts as absent. */
    bool complete = false; /**< Whether headers and body are recorded. */
    int status = 0;
    HeaderList headers;
    std::string body;

    /** Time from expiry to the deletion of a row. Conditional writes that are under way must have ended by then. */
    static constexpr int64_t SweepDelayMs = 60LL * 60 * 1000;

    /** Row that every deletion of expired claims rewrites; it is never deleted. */
    static constexpr const char *SweepRowKey = "claim-sweep";

    /** Largest body that is recorded, in bytes. */
    static constexpr size_t MaxRecordedBody = 16U << 10U;

    /** Largest sum of header names and values that is recorded, in bytes. */
    static constexpr size_t MaxRecordedHeaders = 8U << 10U;

    static std::string keyOf(std::string_view service, std::string_view key);

    bool isExpired(int64_t nowMs) const
    {
        return nowMs >= expiresMs;
    }

    /**
     * Whether the row may be deleted soon. After a deletion the row's versions start again at 1, so a condition on the version
     * alone no longer identifies it. Half of the delay is left for clocks that differ and for writes under way.
     */
    bool mayBeSweptSoon(int64_t nowMs) const
    {
        return nowMs >= expiresMs + SweepDelayMs / 2;
    }

    bool isSweepable(int64_t nowMs) const
    {
        return nowMs >= expiresMs + SweepDelayMs;
    }

    /** Takes status, headers and body of @p result as far as they fit the limits. */
    void setResult(const CallResult &result);

    nlohmann::json toJson() const;

    /** @return the row, or empty if @p value is malformed */
    static std::optional<ClaimRow> fromJson(const nlohmann::json &value);
};

} // namespace carobjunction
