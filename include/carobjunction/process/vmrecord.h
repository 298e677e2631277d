#pragma once

#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <string>

namespace carobjunction
{

/** Whether a backend server may be given work, as its own daemon knows it. */
enum class BackendState {
    Unknown, /**< The daemon has not heard from it since the daemon started. */
    Ready,
    Draining, /**< It announced that it is leaving. */
    Gone, /**< It ended, or was silent for too long. */
};

template<>
struct EnumNames<BackendState> {
    static constexpr std::pair<BackendState, std::string_view> Table[] = {
        { BackendState::Unknown, "unknown" },
        { BackendState::Ready, "ready" },
        { BackendState::Draining, "draining" },
        { BackendState::Gone, "gone" },
    };
};

/** Identity and state of the backend server beside a daemon. */
struct BackendRecord {
    std::string id; /**< Empty if none was heard of. */
    uint64_t bornMs = 0; /**< Start of the process, Unix time in milliseconds; 0 if it does not say. */
    std::string service;
    uint32_t slots = 0; /**< Requests that it runs at once. */
    BackendState state = BackendState::Unknown;
    bool isLeaving = false; /**< It announced that it ends, which binds also after a restart of the daemon. */

    bool operator==(const BackendRecord &) const = default;
};

/** One VM: its daemon and the backend server beside it. Written only by that daemon. */
struct VmRecord {
    std::string daemon; /**< Id of the daemon. */
    uint64_t incarnation = 0; /**< Grows with each start of the daemon. */
    uint64_t revision = 0; /**< Grows with each change within an incarnation. */
    std::string address; /**< Peer port of the daemon, `ip:port`. */
    std::string dataCentre;
    std::string region;
    bool stopping = false; /**< The daemon is about to end. */
    BackendRecord backend;

    /** @return whether this record replaces @p other of the same daemon */
    bool isNewerThan(const VmRecord &other) const
    {
        return incarnation != other.incarnation ? incarnation > other.incarnation : revision > other.revision;
    }
};

} // namespace carobjunction
