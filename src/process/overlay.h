#pragma once

#include <carobjunction/process/member.h>

#include <string>
#include <vector>

namespace carobjunction
{

/** Shape of the overlay over which daemons gossip. */
struct OverlayOptions {
    std::size_t successors = 2; /**< Next daemons on the ring of the own region. */
    std::size_t longLinks = 3; /**< Links to points on the ring chosen by hash, for few hops between any two daemons. */
    std::size_t representatives = 2; /**< Daemons of each region with links to other regions. */
};

/** Daemons that one daemon sends to. */
struct Neighbours {
    std::vector<std::string> local; /**< In the own region. */
    std::vector<std::string> remote; /**< Representatives of the other regions; empty unless this daemon is one. */
    bool isRepresentative = false;
};

/**
 * Computes the neighbours of one daemon. All daemons with the same view get parts of the same graph, which is connected.
 *
 * Ring positions, link points and representatives are chosen by hash of the daemon ids, so one join or leave changes
 * only the links that end at the changed daemon or pass over its place on the ring.
 *
 * @param members  all entries; dead ones are ignored
 * @param own  id of the daemon
 */
Neighbours neighboursOf(const std::vector<MemberPointer> &members, const std::string &own, const OverlayOptions &options = {});

} // namespace carobjunction
