#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace carobjunction
{

/**
 * Selects the peer from which newer routes are fetched, and the time of the fetch. With 300 VMs, a change reaches a few daemons first, and all
 * others receive the new version number in their gossip. If all of them fetched the routes at once, these transfers would compete with the
 * distribution of the change itself for the link between the regions. Therefore the daemon first waits for the store to deliver the routes,
 * then fetches them from a peer in its own region, and only then from a peer in another region. Not thread-safe.
 */
class RouteFetchScheduler
{
public:
    /** Time that the store has to deliver the routes before a peer in the daemon's own region is queried. */
    static constexpr Duration StoreWait = std::chrono::milliseconds(500);
    /** Additional time before a peer in another region is queried. */
    static constexpr Duration SameRegionWait = std::chrono::seconds(1);

    /** Daemon that advertises newer routes. */
    struct Peer {
        std::string address;
        uint64_t version = 0; /**< Version of the routes that the daemon has. */
        bool isSameRegion = false;
    };

    /** Records that @p peer advertises newer routes than this daemon has. */
    void onNewerRoutesAdvertised(Peer peer, TimePoint now);

    /** Drops the peer at @p address after a query to it, until it advertises newer routes again. */
    void onQueried(const std::string &address);

    /**
     * Drops peers whose routes are not newer than @p ownVersion.
     * @return whether a peer with newer routes is left
     */
    bool hasNewerRoutes(uint64_t ownVersion);

    /** @return address of the peer to query at @p now, empty if there is none or the wait is not over */
    std::optional<std::string> source(TimePoint now) const;

private:
    std::optional<Peer> m_sameRegionPeer; /**< Peer in the daemon's own region with the newest routes. */
    std::optional<Peer> m_otherRegionPeer; /**< Peer in another region with the newest routes. */
    TimePoint m_firstRecordedAt; /**< Time at which the first of the peers was recorded; start of the waits. */
};

} // namespace carobjunction
