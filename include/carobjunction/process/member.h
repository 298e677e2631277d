#pragma once

#include <carobjunction/process/enumnames.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace carobjunction
{

/** State of a daemon. The numeric order decides between entries of equal revision, and travels between daemons. */
enum class MemberState {
    Up = 0,
    Leaving = 1, /**< Accepts no new work and finishes what it has. */
    Suspected = 2, /**< Did not answer several daemons; may still refute. */
    Failed = 3,
    Left = 4, /**< The process ended as planned. */
};

template<>
struct EnumNames<MemberState> {
    static constexpr std::pair<MemberState, std::string_view> Table[] = {
        { MemberState::Up, "up" },         { MemberState::Leaving, "leaving" }, { MemberState::Suspected, "suspected" },
        { MemberState::Failed, "failed" }, { MemberState::Left, "left" },
    };
};

/** Place of an entry in the order of all entries of one daemon. The greater one is the newer one. */
struct MemberRank {
    uint64_t incarnation = 0;
    uint64_t revision = 0;
    MemberState state = MemberState::Up;

    auto operator<=>(const MemberRank &) const = default;
};

/** What is known about one daemon and the target beside it. */
struct Member {
    std::string daemon; /**< Unique id. */
    uint64_t incarnation = 0; /**< Start time of the process in milliseconds. */
    uint64_t revision = 0; /**< Grows with each change that the daemon itself makes. */
    MemberState state = MemberState::Up;
    std::string region;
    std::string dataCentre;
    std::string peerAddress;
    std::string operatorAddress;
    std::string callerAddress;
    std::string service; /**< Service of the target. */
    std::string targetAddress; /**< Empty while no backend server is announced. */
    uint64_t targetIncarnation = 0; /**< Incarnation of the backend server, 0 while none is announced. */
    uint32_t slots = 0;
    bool wasLeaving = false; /**< The member was leaving when it was suspected. */

    bool operator==(const Member &) const = default;

    MemberRank rank() const
    {
        return { incarnation, revision, state };
    }

    /** @return whether the process is believed to run */
    bool isLive() const
    {
        return state < MemberState::Failed;
    }

    /** @return whether routing may choose the target; a suspected one stays usable until it has failed */
    bool acceptsWork() const
    {
        return (state == MemberState::Up || (state == MemberState::Suspected && !wasLeaving)) && !targetAddress.empty();
    }
};

/** Shared, immutable entry. */
using MemberPointer = std::shared_ptr<const Member>;

/** Shared, immutable list of entries. */
using MemberList = std::shared_ptr<const std::vector<MemberPointer>>;

/** Change of one entry. */
struct MemberChange {
    MemberPointer before; /**< Null if the member is new. */
    MemberPointer after; /**< Null if the entry was removed. */
};

} // namespace carobjunction
