#include "process/overlay.h"

#include <carobjunction/process/stablehash.h>

#include <algorithm>
#include <map>

namespace carobjunction
{

namespace
{

/** Hash value and member; the hash is the ring position, or the rank among candidates for representatives. */
using RingEntry = std::pair<uint64_t, const Member *>;

void addIfAbsent(std::vector<std::string> &list, const std::string &daemon)
{
    if (std::find(list.begin(), list.end(), daemon) == list.end()) {
        list.push_back(daemon);
    }
}

std::vector<std::string> ringLinks(std::vector<RingEntry> ring, const std::string &own, const OverlayOptions &options)
{
    std::vector<std::string> links;
    if (ring.size() < 2) {
        return links;
    }
    std::sort(ring.begin(), ring.end(), [](const RingEntry &left, const RingEntry &right) {
        return std::tie(left.first, left.second->daemon) < std::tie(right.first, right.second->daemon);
    });
    const auto ownEntry = std::find_if(ring.begin(), ring.end(), [&](const RingEntry &entry) { return entry.second->daemon == own; });
    const auto index = static_cast<std::size_t>(ownEntry - ring.begin());
    for (std::size_t step = 1; step <= std::min(options.successors, ring.size() - 1); ++step) {
        addIfAbsent(links, ring[(index + step) % ring.size()].second->daemon);
    }
    for (std::size_t linkNumber = 1; linkNumber <= options.longRangeLinks; ++linkNumber) {
        const uint64_t position = stableHash(own, linkNumber);
        auto entry = std::lower_bound(ring.begin(), ring.end(), position, [](const RingEntry &item, uint64_t value) { return item.first < value; });
        // A link that would end at the daemon itself goes to its successor.
        for (std::size_t attempt = 0; attempt < 2; ++attempt, ++entry) {
            if (entry == ring.end()) {
                entry = ring.begin();
            }
            if (entry->second->daemon != own) {
                addIfAbsent(links, entry->second->daemon);
                break;
            }
        }
    }
    return links;
}

/** @return ids of the @p count members with the highest ranks by rendezvous hashing */
std::vector<std::string> selectRepresentatives(std::vector<RingEntry> members, std::size_t count)
{
    for (RingEntry &entry : members) {
        constexpr uint64_t RankSeed = 0x7265707265736e74U;
        entry.first = stableHash(entry.second->daemon, RankSeed);
    }
    count = std::min(count, members.size());
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(), [](const RingEntry &left, const RingEntry &right) {
        return std::tie(right.first, left.second->daemon) < std::tie(left.first, right.second->daemon);
    });
    std::vector<std::string> selected;
    for (std::size_t index = 0; index < count; ++index) {
        selected.push_back(members[index].second->daemon);
    }
    return selected;
}

} // namespace

Neighbours computeNeighbours(const std::vector<MemberPointer> &members, const std::string &own, const OverlayOptions &options)
{
    const auto ownEntry = std::find_if(members.begin(), members.end(), [&](const MemberPointer &member) { return member->daemon == own; });
    Neighbours neighbours;
    if (ownEntry == members.end()) {
        return neighbours;
    }
    std::vector<RingEntry> ring;
    std::vector<RingEntry> ownCandidates;
    for (const MemberPointer &member : members) {
        if (member->region == (*ownEntry)->region && (member->isLive() || member == *ownEntry)) {
            ring.emplace_back(stableHash(member->daemon), member.get());
            if (member->state == MemberState::Up) {
                ownCandidates.emplace_back(0, member.get());
            }
        }
    }
    neighbours.local = ringLinks(std::move(ring), own, options);
    const std::vector<std::string> ownRegion = selectRepresentatives(std::move(ownCandidates), options.representatives);
    neighbours.isRepresentative = std::find(ownRegion.begin(), ownRegion.end(), own) != ownRegion.end();
    if (!neighbours.isRepresentative) {
        return neighbours;
    }
    std::map<std::string_view, std::vector<RingEntry>> candidates;
    for (const MemberPointer &member : members) {
        if (member->region != (*ownEntry)->region && member->state == MemberState::Up) {
            candidates[member->region].emplace_back(0, member.get());
        }
    }
    for (auto &[region, regionCandidates] : candidates) {
        const std::vector<std::string> others = selectRepresentatives(std::move(regionCandidates), options.representatives);
        neighbours.remote.insert(neighbours.remote.end(), others.begin(), others.end());
    }
    return neighbours;
}

} // namespace carobjunction
