#include "process/overlay.h"

#include <carobjunction/process/stablehash.h>

#include <algorithm>
#include <map>

namespace carobjunction
{

namespace
{

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
    const auto self = std::find_if(ring.begin(), ring.end(), [&](const RingEntry &place) { return place.second->daemon == own; });
    const auto index = static_cast<std::size_t>(self - ring.begin());
    for (std::size_t step = 1; step <= std::min(options.successors, ring.size() - 1); ++step) {
        addIfAbsent(links, ring[(index + step) % ring.size()].second->daemon);
    }
    for (std::size_t number = 1; number <= options.longLinks; ++number) {
        const uint64_t position = stableHash(own, number);
        auto place = std::lower_bound(ring.begin(), ring.end(), position, [](const RingEntry &item, uint64_t value) { return item.first < value; });
        // A link that would end at the daemon itself goes to the next one.
        for (std::size_t attempt = 0; attempt < 2; ++attempt, ++place) {
            if (place == ring.end()) {
                place = ring.begin();
            }
            if (place->second->daemon != own) {
                addIfAbsent(links, place->second->daemon);
                break;
            }
        }
    }
    return links;
}

/** @return ids of the members with the highest rank in a rendezvous hash */
std::vector<std::string> selectRepresentatives(std::vector<RingEntry> members, std::size_t count)
{
    for (RingEntry &place : members) {
        constexpr uint64_t RankSeed = 0x7265707265736e74U;
        place.first = stableHash(place.second->daemon, RankSeed);
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

Neighbours neighboursOf(const std::vector<MemberPointer> &members, const std::string &own, const OverlayOptions &options)
{
    const auto self = std::find_if(members.begin(), members.end(), [&](const MemberPointer &member) { return member->daemon == own; });
    Neighbours neighbours;
    if (self == members.end()) {
        return neighbours;
    }
    std::vector<RingEntry> ring;
    std::vector<RingEntry> ownCandidates;
    for (const MemberPointer &member : members) {
        if (member->region == (*self)->region && (member->isLive() || member == *self)) {
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
        if (member->region != (*self)->region && member->state == MemberState::Up) {
            candidates[member->region].emplace_back(0, member.get());
        }
    }
    for (auto &[region, places] : candidates) {
        const std::vector<std::string> others = selectRepresentatives(std::move(places), options.representatives);
        neighbours.remote.insert(neighbours.remote.end(), others.begin(), others.end());
    }
    return neighbours;
}

} // namespace carobjunction
