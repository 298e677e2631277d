#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <string>

namespace carobjunction
{

/** How requests with a fingerprint are treated after crashes of backend servers. Daemons exchange the numeric values, so these must not change. */
enum class SuspectState {
    Clear = 0,
    Suspect = 1, /**< The request runs without other requests on its target. */
    Condemned = 2, /**< All daemons refuse the request. */
};

template<>
struct EnumNames<SuspectState> {
    static constexpr std::pair<SuspectState, std::string_view> Table[] = {
        { SuspectState::Clear, "clear" },
        { SuspectState::Suspect, "suspect" },
        { SuspectState::Condemned, "condemned" },
    };
};

/** State of one request fingerprint as it is replicated between daemons. */
struct SuspectEntry {
    uint64_t fingerprint = 0;
    std::string service;
    SuspectState state = SuspectState::Clear;
    uint32_t crashes = 0; /**< Number of crashes with the request in flight since the entry was last cleared. */
    Duration expiresIn = Duration::zero(); /**< Remaining lifetime; relative, because the clocks of daemons differ. */
    uint64_t revision = 0; /**< Upper 32 bits: number of clears by operators; lower 32 bits: number of changes since the last one. */

    bool operator==(const SuspectEntry &) const = default;
};

} // namespace carobjunction
