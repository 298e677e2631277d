#pragma once

#include <carobjunction/process/enumnames.h>

#include <compare>
#include <cstdint>
#include <string>

namespace carobjunction
{

/** State of a backend server, as known to its daemon. Only a ready one may receive requests. */
enum class BackendState {
    Unknown, /**< No heartbeat has been received since the daemon started. */
    Ready, /**< The backend server accepts requests. */
    Draining, /**< The backend server has announced that it is leaving. */
    Gone, /**< The backend server has left, has become unreachable or has missed its heartbeats. */
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

/** Identity and state of the backend server on a daemon's VM. */
struct BackendRecord {
    std::string id; /**< Id of the backend server; empty if none is known. */
    uint64_t startedAtMs = 0; /**< Start time of the process, Unix time in milliseconds; 0 if unknown. */
    std::string service; /**< Service that the backend server runs. */
    uint32_t slots = 0; /**< Maximum number of concurrent requests. */
    BackendState state = BackendState::Unknown;
    bool isLeaving = false; /**< The backend server has announced that it is leaving. This remains in effect after a restart of the daemon. */
    /** Whether the daemon that wrote the record had checked all fields of the backend server's messages. Earlier programs also believed other writers. */
    bool isVerified = true;

    bool operator==(const BackendRecord &) const = default;
};

/** Version of a VM's record. A later incarnation is newer, whatever the revisions are. */
struct RecordVersion {
    uint64_t incarnation = 0; /**< Increases with each start of the daemon. */
    uint64_t revision = 0; /**< Increases with each change of the record within an incarnation. */

    auto operator<=>(const RecordVersion &) const = default;
};

/** Record of a VM: its daemon and its backend server. Written only by that daemon. */
struct VmRecord {
    std::string daemon; /**< Id of the daemon. */
    uint64_t incarnation = 0; /**< Increases with each start of the daemon. */
    uint64_t revision = 0; /**< Increases with each change of the record within an incarnation. */
    std::string address; /**< Address of the daemon's peer port, `ip:port`. */
    std::string dataCentre;
    std::string region;
    bool stopping = false; /**< The daemon is shutting down. */
    BackendRecord backend;

    RecordVersion version() const
    {
        return { incarnation, revision };
    }

    /** @return whether this record is newer than @p other of the same daemon */
    bool isNewerThan(const VmRecord &other) const
    {
        return version() > other.version();
    }
};

} // namespace carobjunction
