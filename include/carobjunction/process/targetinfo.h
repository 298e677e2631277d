#pragma once

#include <cstdint>
#include <string>

namespace carobjunction
{

/** Target of a service as recorded in the membership view. */
struct TargetInfo {
    std::string daemon; /**< Id of the target's daemon. */
    uint64_t incarnation = 0; /**< Incarnation of the backend server; a higher value is newer. */
    std::string region;
    std::string dataCentre;
    std::string peerAddress; /**< Address of the daemon's peer port. */
    std::string service;
    uint32_t slots = 0; /**< Number of requests that the backend server runs concurrently. */
    bool leaving = false; /**< Whether the target announced that it accepts no new work. */

    bool operator==(const TargetInfo &) const = default;
};

} // namespace carobjunction
