#pragma once

#include <carobjunction/process/targetinfo.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Maximum number of targets of one service that a daemon routes to. Limits its connections and the cost of a routing decision. */
constexpr size_t MaxTargetsOfService = 32;
/** Maximum number of these in the own region. The remaining ones are in other regions, in case the targets of the own region are full or unavailable. */
constexpr size_t MaxSameRegionTargetsOfService = 24;

/**
 * Chooses the targets of a large service that one daemon routes to by rendezvous hashing: those with the highest hash of daemon and target,
 * separately for the own region and all other regions. Adding or removing a target changes at most one member of each of the two parts, and each
 * target belongs to the subsets of about the same number of daemons.
 *
 * @param targets  all targets of one service
 * @param ownDaemon  id of this daemon, whose own target is always in the subset
 * @param ownRegion  region of this daemon
 * @return all targets if there are at most MaxTargetsOfService, otherwise a subset of at most that size
 */
std::vector<TargetInfo> targetSubset(std::vector<TargetInfo> targets, std::string_view ownDaemon, std::string_view ownRegion);

} // namespace carobjunction
