#pragma once

#include <carobjunction/process/member.h>

#include <string>
#include <vector>

namespace carobjunction
{

/** Parameters of the overlay network over which daemons gossip. */
struct OverlayOptions {
    std::size_t successors = 2; /**< Number of links to the next daemons on the ring of the daemon's own region. */
    std::size_t longRangeLinks = 3; /**< Number of links to ring positions chosen by hash, which keep the number of hops between any two daemons low. */
    std::size_t representatives = 2; /**< Number of daemons in each region that have links to other regions. */
};

/** Daemons to which one daemon sends gossip. */
struct Neighbours {
    std::vector<std::string> local; /**< Daemons in the same region. */
    std::vector<std::string> remote; /**< Representatives of the other regions; empty unless this daemon is a representative. */
    bool isRepresentative = false; /**< Whether this daemon has links to other regions. */
};

/**
 * Computes the neighbours of one daemon. Daemons with the same membership view compute links of the same graph, which is connected.
 *
 * Ring positions, link targets and representatives are chosen by hashes of the daemon ids. A join or leave of one daemon therefore
 * changes only the links that end at that daemon or span its ring position.
 *
 * @param members  entries of the membership view; those that are not live are ignored
 * @param own  id of the daemon whose neighbours are computed
 * @return the neighbours, empty if @p members has no entry of @p own
 */
Neighbours computeNeighbours(const std::vector<MemberPointer> &members, const std::string &own, const OverlayOptions &options = {});

} // namespace carobjunction
