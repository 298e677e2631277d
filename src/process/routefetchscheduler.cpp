#include <carobjunction/process/routefetchscheduler.h>

#include <utility>

namespace carobjunction
{

void RouteFetchScheduler::onNewerRoutesAdvertised(Peer peer, TimePoint now)
{
    if (!m_sameRegionPeer && !m_otherRegionPeer) {
        m_firstRecordedAt = now;
    }
    std::optional<Peer> &known = peer.isSameRegion ? m_sameRegionPeer : m_otherRegionPeer;
    if (!known || known->version <= peer.version) {
        known = std::move(peer);
    }
}

void RouteFetchScheduler::onQueried(const std::string &address)
{
    for (std::optional<Peer> *peer : { &m_sameRegionPeer, &m_otherRegionPeer }) {
        if (*peer && (*peer)->address == address) {
            peer->reset();
        }
    }
}

bool RouteFetchScheduler::hasNewerRoutes(uint64_t ownVersion)
{
    for (std::optional<Peer> *peer : { &m_sameRegionPeer, &m_otherRegionPeer }) {
        if (*peer && (*peer)->version <= ownVersion) {
            peer->reset();
        }
    }
    return m_sameRegionPeer || m_otherRegionPeer;
}

std::optional<std::string> RouteFetchScheduler::source(TimePoint now) const
{
    const Duration waited = now - m_firstRecordedAt;
    if (m_sameRegionPeer && waited >= StoreWait) {
        return m_sameRegionPeer->address;
    }
    if (m_otherRegionPeer && waited >= StoreWait + SameRegionWait) {
        return m_otherRegionPeer->address;
    }
    return std::nullopt;
}

} // namespace carobjunction
