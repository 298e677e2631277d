#pragma once

#include <cstdint>
#include <string>

namespace carobjunction
{

/** One target of a service as the membership view knows it. */
struct TargetInfo {
    std::string daemon; /**< Id of the target's daemon. */
    uint64_t incarnation = 0; /**< Incarnation of the backend server; larger is newer. */
    std::string region;
    std::string dataCentre;
    std::string peerAddress; /**< Address of the daemon's peer port. */
    std::string service;
    uint32_t slots = 0; /**< Requests that the backend server runs at once. */
    bool leaving = false; /**< The target announced that it accepts no new work. */

    bool operator==(const TargetInfo &) const = default;
};

} // namespace carobjunction
