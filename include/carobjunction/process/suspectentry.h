#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <string>

namespace carobjunction
{

/** How a request is treated after crashes of backend servers. The numeric values travel between daemons and never change. */
enum class SuspectState {
    Clear = 0,
    Suspect = 1, /**< Runs alone on its target. */
    Condemned = 2, /**< Refused everywhere. */
};

template<>
struct EnumNames<SuspectState> {
    static constexpr std::pair<SuspectState, std::string_view> Table[] = {
        { SuspectState::Clear, "clear" },
        { SuspectState::Suspect, "suspect" },
        { SuspectState::Condemned, "condemned" },
    };
};

/** What the daemons tell each other about one fingerprint. */
struct SuspectEntry {
    uint64_t fingerprint = 0;
    std::string service;
    SuspectState state = SuspectState::Clear;
    uint32_t crashes = 0; /**< Crashes with the request in flight, since it was last cleared. */
    Duration expiresIn = Duration::zero(); /**< Remaining time, because daemons do not share a clock. */
    uint64_t revision = 0; /**< Upper 32 bits: clears by operators; lower 32 bits: changes since. */

    bool operator==(const SuspectEntry &) const = default;
};

} // namespace carobjunction
