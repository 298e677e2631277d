#pragma once

#include <carobjunction/process/targetinfo.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Maximum number of targets of one service that a daemon routes to. Limits its connections and the cost of a routing decision. */
constexpr size_t MaxTargetsOfService = 32;
/**
 * Maximum number of these targets in the daemon's own region. The others are in other regions, in case the targets in the daemon's region are full
 * or unavailable.
 */
constexpr size_t MaxSameRegionTargetsOfService = 24;

/**
 * Uses rendezvous hashing to choose which targets of a large service a daemon routes to: those with the highest hash of daemon and target,
 * chosen separately for the daemon's own region and for all other regions. Adding or removing a target changes at most one member of each of
 * these two groups, and each target belongs to the subsets of about the same number of daemons.
 *
 * @param targets  all targets of one service
 * @param ownDaemon  id of this daemon, whose own target is always in the subset
 * @param ownRegion  region of this daemon
 * @return all targets if there are at most MaxTargetsOfService, otherwise a subset of at most that size
 */
std::vector<TargetInfo> targetSubset(std::vector<TargetInfo> targets, std::string_view ownDaemon, std::string_view ownRegion);

} // namespace carobjunction
