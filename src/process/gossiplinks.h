#pragma once

#include "process/gossipcontext.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace carobjunction
{

/** State of the link to one neighbour in the overlay. */
struct GossipLink {
    std::string daemon;
    std::string address;
    bool isRemote = false;
    std::atomic<bool> isBusy = false;
    // The members below are accessed only by the thread that has set isBusy, or under the mutex of GossipLinks.
    uint64_t memberCursor = 0; /**< Sequence number of the membership view up to which changes have been delivered. */
    uint64_t configCursor = 0; /**< Sequence number of the configuration table up to which changes have been delivered. */
    std::unordered_map<uint64_t, uint64_t> sentSuspects; /**< Hashes of the delivered suspect states, by suspect key. */
    std::atomic<uint32_t> failures = 0; /**< Number of consecutive messages without a response. */
    TimePoint retryAt; /**< Time before which nothing is pushed. */
    uint64_t nextConfigComparisonTick = 0; /**< Tick before which configuration hashes are not compared. */
};
using GossipLinkPointer = std::shared_ptr<GossipLink>;

/** Contents of a message on one link, and the state of the link once the neighbour has answered it. */
struct GossipUpdate {
    v1::ExchangeRequest request;
    uint64_t memberCursor = 0;
    uint64_t configCursor = 0;
    std::unordered_map<uint64_t, uint64_t> suspects;
};

/** Manages the links of one daemon and the updates pending on each. Thread-safe; holds no lock while calling other components. */
template<PeerTransport T, MonotonicClock C>
class GossipLinks
{
public:
    using Context = GossipContext<T, C>;

    /** @param context  must outlive this object */
    explicit GossipLinks(const Context &context) : m_context(context)
    {
    }

    /** Recomputes the neighbours if the membership view has changed. Links to unchanged neighbours keep their state. */
    void refresh()
    {
        const uint64_t sequence = m_context.view.sequence();
        {
            const std::lock_guard lock(m_mutex);
            if (m_linksSequence == sequence) {
                return;
            }
        }
        const Neighbours neighbours = computeNeighbours(*m_context.view.members(), m_context.view.ownId(), m_context.options.overlay);
        std::map<std::string, GossipLinkPointer> links;
        const auto add = [&](const std::string &daemon, bool isRemote) {
            const MemberPointer member = m_context.view.find(daemon);
            if (!member) {
                return;
            }
            auto link = std::make_shared<GossipLink>();
            link->daemon = daemon;
            link->address = member->peerAddress;
            link->isRemote = isRemote;
            links.emplace(daemon, std::move(link));
        };
        for (const std::string &daemon : neighbours.local) {
            add(daemon, false);
        }
        for (const std::string &daemon : neighbours.remote) {
            add(daemon, true);
        }
        const std::lock_guard lock(m_mutex);
        for (auto &[daemon, link] : links) {
            const auto former = m_links.find(daemon);
            if (former != m_links.end() && former->second->address == link->address) {
                link = former->second;
            } else {
                // Earlier changes that a new neighbour lacks are found by comparing digests.
                link->memberCursor = m_pushedMemberSequence;
                link->configCursor = m_pushedConfigSequence;
            }
        }
        m_links = std::move(links);
        m_isRepresentative = neighbours.isRepresentative;
        m_linksSequence = sequence;
    }

    /** Marks all idle links with undelivered updates as busy, so that no other thread uses them. @return these links; each must be passed to release() */
    std::vector<GossipLinkPointer> reserveLinksWithUpdates()
    {
        const uint64_t members = m_context.view.sequence();
        const uint64_t configs = m_context.configs.sequence();
        const std::vector<v1::SuspectEntry> suspects
            = m_context.callbacks.collectSuspects ? m_context.callbacks.collectSuspects() : std::vector<v1::SuspectEntry> {};
        std::vector<GossipLinkPointer> found;
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_context.clock.now();
        for (const auto &[daemon, link] : m_links) {
            if (now < link->retryAt || link->isBusy.exchange(true)) {
                continue;
            }
            if (link->memberCursor < members || link->configCursor < configs || hasNewSuspects(*link, suspects)) {
                found.push_back(link);
            } else {
                link->isBusy = false;
            }
        }
        m_pushedMemberSequence = members;
        m_pushedConfigSequence = configs;
        return found;
    }

    /** @return the changes that have not been delivered to the link's neighbour */
    GossipUpdate updateFor(const GossipLink &link)
    {
        GossipUpdate update;
        MemberChanges members = m_context.view.changedSince(link.memberCursor, m_context.options.maxMemberEntries, link.daemon);
        update.memberCursor = members.next;
        for (const MemberPointer &member : members.members) {
            *update.request.add_members() = toWire(*member);
        }
        const ConfigTable::Changes configs = m_context.configs.changedSince(link.configCursor);
        update.configCursor = configs.next;
        for (const auto &entry : configs.entries) {
            *update.request.add_configs() = toWireWithoutContent(*entry);
        }
        if (m_context.callbacks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_context.callbacks.collectSuspects()) {
                if (!wasSent(link, suspect)) {
                    *update.request.add_suspects() = suspect;
                }
                const auto [key, value] = suspectKeyAndHash(suspect);
                update.suspects[key] = value;
            }
        }
        return update;
    }

    /** @return the next link in round-robin order within this daemon's region or, if @p isRemote, to other regions; null if there is none */
    GossipLinkPointer nextLink(bool isRemote)
    {
        refresh();
        const std::lock_guard lock(m_mutex);
        std::vector<GossipLinkPointer> links;
        for (const auto &[daemon, link] : m_links) {
            if (link->isRemote == isRemote) {
                links.push_back(link);
            }
        }
        return links.empty() ? nullptr : links[m_nextLinkIndexes[isRemote ? 1 : 0]++ % links.size()];
    }

    /**
     * Marks a link as idle. Pushes skip busy links, so another push is requested for changes made in the meantime.
     * @param isDrained  whether all updates that were pending have been delivered
     */
    void release(GossipLink &link, bool isDrained)
    {
        const bool hasMore = isDrained && (link.memberCursor < m_context.view.sequence() || link.configCursor < m_context.configs.sequence());
        link.isBusy = false;
        if (hasMore) {
            m_context.wake();
        }
    }

    /** Records that the link's neighbour has received @p update. */
    static void recordDelivery(GossipLink &link, GossipUpdate update)
    {
        link.memberCursor = update.memberCursor;
        link.configCursor = update.configCursor;
        link.sentSuspects = std::move(update.suspects);
    }

    /** Records that the link's neighbour has not answered, and delays the next push on the link, up to 4 gossip intervals. */
    void recordFailure(GossipLink &link)
    {
        constexpr uint32_t MaxDoublings = 3;
        const uint32_t failures = ++link.failures;
        const std::lock_guard lock(m_mutex);
        link.retryAt = m_context.clock.now() + m_context.options.interval / 2 * (1U << std::min(failures, MaxDoublings));
    }

    /** Excludes the current state from the pushes on new links, because it was received from a daemon of the cluster. */
    void skipCurrentState()
    {
        const uint64_t members = m_context.view.sequence();
        const uint64_t configs = m_context.configs.sequence();
        const std::lock_guard lock(m_mutex);
        m_pushedMemberSequence = members;
        m_pushedConfigSequence = configs;
    }

    /** @return whether this daemon is a representative of its region, which has links to other regions */
    bool isRepresentative()
    {
        refresh();
        const std::lock_guard lock(m_mutex);
        return m_isRepresentative;
    }

private:
    /** @return the key of a suspect, and a hash of its state */
    static std::pair<uint64_t, uint64_t> suspectKeyAndHash(const v1::SuspectEntry &suspect)
    {
        return { stableHash(suspect.service(), suspect.fingerprint()), mixBits(suspect.revision()) ^ mixBits(suspect.state() * 65536U + suspect.crashes()) };
    }

    static bool wasSent(const GossipLink &link, const v1::SuspectEntry &suspect)
    {
        const auto [key, value] = suspectKeyAndHash(suspect);
        const auto sent = link.sentSuspects.find(key);
        return sent != link.sentSuspects.end() && sent->second == value;
    }

    static bool hasNewSuspects(const GossipLink &link, const std::vector<v1::SuspectEntry> &suspects)
    {
        return std::any_of(suspects.begin(), suspects.end(), [&](const v1::SuspectEntry &suspect) { return !wasSent(link, suspect); });
    }

    const Context &m_context;
    std::mutex m_mutex;
    std::map<std::string, GossipLinkPointer> m_links;
    uint64_t m_linksSequence = 0; /**< Sequence number of the membership view from which the links were computed. */
    uint64_t m_pushedMemberSequence = 0;
    uint64_t m_pushedConfigSequence = 0;
    bool m_isRepresentative = false;
    std::array<uint64_t, 2> m_nextLinkIndexes {}; /**< Round-robin positions of nextLink(), for local and for remote links. */
};

} // namespace carobjunction
