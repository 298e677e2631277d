#include "process/overlay.h"

#include <carobjunction/process/stablehash.h>

#include <algorithm>
#include <map>

namespace carobjunction
{

namespace
{

using RingPlace = std::pair<uint64_t, const Member *>;

void addOnce(std::vector<std::string> &list, const std::string &daemon)
{
    if (std::find(list.begin(), list.end(), daemon) == list.end()) {
        list.push_back(daemon);
    }
}

std::vector<std::string> ringLinks(std::vector<RingPlace> ring, const std::string &own, const OverlayOptions &options)
{
    std::vector<std::string> links;
    if (ring.size() < 2) {
        return links;
    }
    std::sort(ring.begin(), ring.end(), [](const RingPlace &left, const RingPlace &right) {
        return std::tie(left.first, left.second->daemon) < std::tie(right.first, right.second->daemon);
    });
    const auto self = std::find_if(ring.begin(), ring.end(), [&](const RingPlace &place) { return place.second->daemon == own; });
    const auto index = static_cast<std::size_t>(self - ring.begin());
    for (std::size_t step = 1; step <= std::min(options.successors, ring.size() - 1); ++step) {
        addOnce(links, ring[(index + step) % ring.size()].second->daemon);
    }
    for (std::size_t number = 1; number <= options.longLinks; ++number) {
        const uint64_t point = stableHash(own, number);
        auto place = std::lower_bound(ring.begin(), ring.end(), point, [](const RingPlace &item, uint64_t value) { return item.first < value; });
        // A link that would end at the daemon itself goes to the next one.
        for (std::size_t attempt = 0; attempt < 2; ++attempt, ++place) {
            if (place == ring.end()) {
                place = ring.begin();
            }
            if (place->second->daemon != own) {
                addOnce(links, place->second->daemon);
                break;
            }
        }
    }
    return links;
}

/** @return ids of the members with the highest rank in a rendezvous hash */
std::vector<std::string> representativesOf(std::vector<RingPlace> members, std::size_t count)
{
    for (RingPlace &place : members) {
        constexpr uint64_t RankSeed = 0x7265707265736e74U;
        place.first = stableHash(place.second->daemon, RankSeed);
    }
    count = std::min(count, members.size());
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(), [](const RingPlace &left, const RingPlace &right) {
        return std::tie(right.first, left.second->daemon) < std::tie(left.first, right.second->daemon);
    });
    std::vector<std::string> chosen;
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(members[index].second->daemon);
    }
    return chosen;
}

} // namespace

Neighbours neighboursOf(const std::vector<MemberPointer> &members, const std::string &own, const OverlayOptions &options)
{
    const auto self = std::find_if(members.begin(), members.end(), [&](const MemberPointer &member) { return member->daemon == own; });
    Neighbours neighbours;
    if (self == members.end()) {
        return neighbours;
    }
    std::vector<RingPlace> ring;
    std::vector<RingPlace> ownCandidates;
    for (const MemberPointer &member : members) {
        if (member->region == (*self)->region && (member->isLive() || member == *self)) {
            ring.emplace_back(stableHash(member->daemon), member.get());
            if (member->state == MemberState::Up) {
                ownCandidates.emplace_back(0, member.get());
            }
        }
    }
    neighbours.local = ringLinks(std::move(ring), own, options);
    const std::vector<std::string> ownRegion = representativesOf(std::move(ownCandidates), options.representatives);
    neighbours.isRepresentative = std::find(ownRegion.begin(), ownRegion.end(), own) != ownRegion.end();
    if (!neighbours.isRepresentative) {
        return neighbours;
    }
    std::map<std::string_view, std::vector<RingPlace>> candidates;
    for (const MemberPointer &member : members) {
        if (member->region != (*self)->region && member->state == MemberState::Up) {
            candidates[member->region].emplace_back(0, member.get());
        }
    }
    for (auto &[region, places] : candidates) {
        const std::vector<std::string> others = representativesOf(std::move(places), options.representatives);
        neighbours.remote.insert(neighbours.remote.end(), others.begin(), others.end());
    }
    return neighbours;
}

} // namespace carobjunction
