#include <carobjunction/process/targetsubset.h>

#include <carobjunction/process/stablehash.h>

#include <algorithm>
#include <limits>
#include <string>

namespace carobjunction
{

namespace
{

uint64_t rendezvousHash(const TargetInfo &target, std::string_view ownDaemon)
{
    if (target.daemon == ownDaemon) {
        return std::numeric_limits<uint64_t>::max();
    }
    return stableHash(std::string(ownDaemon) + '/' + target.daemon);
}

void keepHighestHashes(std::vector<TargetInfo> &targets, size_t count, std::string_view ownDaemon)
{
    if (targets.size() <= count) {
        return;
    }
    const auto end = targets.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(targets.begin(), end, targets.end(), [ownDaemon](const TargetInfo &left, const TargetInfo &right) {
        return rendezvousHash(left, ownDaemon) > rendezvousHash(right, ownDaemon);
    });
    targets.erase(end, targets.end());
}

} // namespace

std::vector<TargetInfo> targetSubset(std::vector<TargetInfo> targets, std::string_view ownDaemon, std::string_view ownRegion)
{
    if (targets.size() <= MaxTargetsOfService) {
        return targets;
    }
    const auto firstRemote = std::partition(targets.begin(), targets.end(), [ownRegion](const TargetInfo &target) { return target.region == ownRegion; });
    std::vector<TargetInfo> remote(std::make_move_iterator(firstRemote), std::make_move_iterator(targets.end()));
    targets.erase(firstRemote, targets.end());
    keepHighestHashes(targets, MaxSameRegionTargetsOfService, ownDaemon);
    keepHighestHashes(remote, MaxTargetsOfService - targets.size(), ownDaemon);
    targets.insert(targets.end(), std::make_move_iterator(remote.begin()), std::make_move_iterator(remote.end()));
    return targets;
}

} // namespace carobjunction
