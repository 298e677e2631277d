#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace carobjunction
{

/**
 * Decides which daemon is asked for newer routes, and when. Answers to a pattern seen at 300 VMs: a change reaches some daemons first, all others
 * hear of it from any of them, and when all ask at once, their copies share the link between the regions with the change itself. So the
 * store goes first, then a daemon of the own region, and only then one of another region. Not thread-safe.
 */
class RoutesCatchUp
{
public:
    /** Time for which the store is given to bring the routes. */
    static constexpr Duration StoreHeadStart = std::chrono::milliseconds(500);
    /** Time after that for which daemons of the own region are waited for. */
    static constexpr Duration RegionHeadStart = std::chrono::seconds(1);

    /** A daemon that has newer routes. */
    struct Peer {
        std::string address;
        uint64_t version = 0;
        bool isSameRegion = false;
    };

    /** Takes that a daemon has newer routes than this one. */
    void onAhead(Peer peer, TimePoint now);

    /** Takes that a daemon was asked. It counts again when it is heard of again. */
    void onAsked(const std::string &address);

    /** Forgets daemons that have nothing newer than @p ownVersion. @return whether one is left that has */
    bool isBehind(uint64_t ownVersion);

    /** @return address of the daemon to ask now, empty if it is too early */
    std::optional<std::string> source(TimePoint now) const;

private:
    std::optional<Peer> m_near; /**< In the own region. */
    std::optional<Peer> m_far;
    TimePoint m_since; /**< Time at which the first of both was heard. */
};

} // namespace carobjunction
