#include <carobjunction/process/routescatchup.h>

#include <utility>

namespace carobjunction
{

void RoutesCatchUp::onAhead(Peer peer, TimePoint now)
{
    if (!m_near && !m_far) {
        m_since = now;
    }
    std::optional<Peer> &known = peer.isSameRegion ? m_near : m_far;
    if (!known || known->version <= peer.version) {
        known = std::move(peer);
    }
}

void RoutesCatchUp::onAsked(const std::string &address)
{
    for (std::optional<Peer> *peer : { &m_near, &m_far }) {
        if (*peer && (*peer)->address == address) {
            peer->reset();
        }
    }
}

bool RoutesCatchUp::isBehind(uint64_t ownVersion)
{
    for (std::optional<Peer> *peer : { &m_near, &m_far }) {
        if (*peer && (*peer)->version <= ownVersion) {
            peer->reset();
        }
    }
    return m_near || m_far;
}

std::optional<std::string> RoutesCatchUp::source(TimePoint now) const
{
    const Duration waited = now - m_since;
    if (m_near && waited >= StoreHeadStart) {
        return m_near->address;
    }
    if (m_far && waited >= StoreHeadStart + RegionHeadStart) {
        return m_far->address;
    }
    return std::nullopt;
}

} // namespace carobjunction
