#pragma once

#include <carobjunction/process/enumnames.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carobjunction
{

/** State of a daemon. If two entries have the same incarnation and revision, the entry with the greater state supersedes the other. The numeric values are part
 * of the wire protocol. */
enum class MemberState {
    Up = 0,
    Leaving = 1, /**< The daemon accepts no new requests and completes those in progress. */
    Suspected = 2, /**< The daemon did not answer several others; it may still refute the suspicion. */
    Failed = 3, /**< The suspicion was not refuted in time. */
    Left = 4, /**< The daemon was shut down in an orderly way. */
};

template<>
struct EnumNames<MemberState> {
    static constexpr std::pair<MemberState, std::string_view> Table[] = {
        { MemberState::Up, "up" },         { MemberState::Leaving, "leaving" }, { MemberState::Suspected, "suspected" },
        { MemberState::Failed, "failed" }, { MemberState::Left, "left" },
    };
};

/** Version of a daemon's entry. Of two entries of the same daemon, the one with the greater version is newer. */
struct MemberEntryVersion {
    uint64_t incarnation = 0;
    uint64_t revision = 0;
    MemberState state = MemberState::Up;

    auto operator<=>(const MemberEntryVersion &) const = default;
};

/** Membership entry of a daemon and of the target on the same VM. */
struct Member {
    std::string daemon; /**< Unique id of the daemon. */
    uint64_t incarnation
        = 0; /**< Start time of the daemon process in milliseconds, or a greater value if the daemon had to refute an entry with a greater incarnation. */
    uint64_t revision = 0; /**< Increases with each change that the daemon makes to its own entry. */
    MemberState state = MemberState::Up;
    std::string region;
    std::string dataCentre;
    std::string peerAddress; /**< Address for connections from other daemons. */
    std::string operatorAddress; /**< Address for connections from operator tools. */
    std::string callerAddress; /**< Address for connections from callers. */
    std::string service; /**< Service that the target runs. */
    std::string targetAddress; /**< Address of the backend server; empty while none is announced. */
    uint64_t targetIncarnation = 0; /**< Incarnation of the backend server, 0 while none is announced. */
    uint32_t slots = 0; /**< Maximum number of concurrent requests on the target. */
    bool wasLeaving = false; /**< Whether the member was leaving before it was suspected. */

    bool operator==(const Member &) const = default;

    MemberEntryVersion entryVersion() const
    {
        return { incarnation, revision, state };
    }

    /** @return whether the daemon is assumed to be running */
    bool isLive() const
    {
        return state < MemberState::Failed;
    }

    /** @return whether the target may be selected by routing; a suspected member remains eligible until it is marked as failed */
    bool acceptsWork() const
    {
        return (state == MemberState::Up || (state == MemberState::Suspected && !wasLeaving)) && !targetAddress.empty();
    }
};

/** Shared immutable entry. */
using MemberPointer = std::shared_ptr<const Member>;

/** Shared immutable list of entries. */
using MemberList = std::shared_ptr<const std::vector<MemberPointer>>;

/** Entry of a member before and after an update. */
struct MemberChange {
    MemberPointer before; /**< Previous entry; null if the member is new. */
    MemberPointer after; /**< New entry; null if the member was removed. */
};

} // namespace carobjunction
