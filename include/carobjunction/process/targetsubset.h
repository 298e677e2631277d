#pragma once

#include <carobjunction/process/targetinfo.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Most targets of one service that a daemon routes to. Bounds its connections and the cost of a decision. */
constexpr size_t MaxTargetsOfService = 32;
/** Of these, most targets in the own region; the other places are for the case that the near ones are full or lost. */
constexpr size_t MaxNearTargetsOfService = 24;

/**
 * Chooses the targets of a large service that one daemon routes to: those with the highest hash of daemon and target, counted apart
 * for the own region and the others. A target that comes or goes changes at most one place, and each target is in the subsets of about
 * the same number of daemons.
 *
 * @param targets  all targets of one service
 * @param ownDaemon  id of the choosing daemon; its own target is always among the chosen ones
 * @param ownRegion  region of the choosing daemon
 * @return all targets if there are at most MaxTargetsOfService, else a subset of that size or less
 */
std::vector<TargetInfo> targetSubset(std::vector<TargetInfo> targets, std::string_view ownDaemon, std::string_view ownRegion);

} // namespace carobjunction
