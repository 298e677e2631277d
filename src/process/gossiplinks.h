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

/** Link to a neighbour in the overlay. */
struct GossipLink {
    std::string daemon;
    std::string address;
    bool isRemote = false;
    std::atomic<bool> isBusy = false;
    // The following are used only by the thread that has set isBusy, or under the mutex of GossipLinks.
    uint64_t memberCursor = 0;
    uint64_t configCursor = 0;
    std::unordered_map<uint64_t, uint64_t> sentSuspects;
    std::atomic<uint32_t> failures = 0;
    TimePoint retryAt;
    uint64_t nextConfigComparisonTick = 0; /**< Tick before which configuration hashes are not compared. */
};
using GossipLinkPointer = std::shared_ptr<GossipLink>;

/** What a message of one link contains, kept until the message is answered. */
struct GossipUpdate {
    v1::ExchangeRequest request;
    uint64_t memberCursor = 0;
    uint64_t configCursor = 0;
    std::unordered_map<uint64_t, uint64_t> suspects;
};

/** The links of one daemon, and what each of them has still to be sent. Thread-safe; holds no lock during calls. */
template<PeerTransport T, MonotonicClock C>
class GossipLinks
{
public:
    using Context = GossipContext<T, C>;

    /** @param context  must outlive this object */
    explicit GossipLinks(const Context &context) : m_context(context)
    {
    }

    /** Takes the neighbours that follow from the present view. Links that stay keep what they know. */
    void refresh()
    {
        const uint64_t sequence = m_context.view.sequence();
        {
            const std::lock_guard lock(m_mutex);
            if (m_linksSequence == sequence) {
                return;
            }
        }
        const Neighbours neighbours = neighboursOf(*m_context.view.members(), m_context.view.ownId(), m_context.options.overlay);
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
                // Older differences are found by comparing digests.
                link->memberCursor = m_pushedMemberSequence;
                link->configCursor = m_pushedConfigSequence;
            }
        }
        m_links = std::move(links);
        m_isRepresentative = neighbours.isRepresentative;
        m_linksSequence = sequence;
    }

    /** @return links that have something to send, marked as busy */
    std::vector<GossipLinkPointer> acquirePendingLinks()
    {
        const uint64_t members = m_context.view.sequence();
        const uint64_t configs = m_context.configs.sequence();
        const std::vector<v1::SuspectEntry> suspects = m_context.hooks.collectSuspects ? m_context.hooks.collectSuspects() : std::vector<v1::SuspectEntry> {};
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

    /** @return what the neighbour has not been sent yet */
    GossipUpdate updateFor(const GossipLink &link)
    {
        GossipUpdate update;
        MemberChanges members = m_context.view.changedSince(link.memberCursor, m_context.options.maxEntries, link.daemon);
        update.memberCursor = members.next;
        for (const MemberPointer &member : members.members) {
            *update.request.add_members() = toWire(*member);
        }
        const ConfigTable::Changes configs = m_context.configs.changedSince(link.configCursor);
        update.configCursor = configs.next;
        for (const auto &entry : configs.entries) {
            *update.request.add_configs() = versionOnly(*entry);
        }
        if (m_context.hooks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_context.hooks.collectSuspects()) {
                if (!wasSent(link, suspect)) {
                    *update.request.add_suspects() = suspect;
                }
                const auto [key, value] = suspectKeyAndHash(suspect);
                update.suspects[key] = value;
            }
        }
        return update;
    }

    /** @return the links of the own region, or those to other regions, in turn; null if there is none */
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

    /** Ends the use of a link. Changes made in the meantime were skipped by other pushes, so they are pushed now. */
    void release(GossipLink &link, bool isDrained)
    {
        const bool hasMore = isDrained && (link.memberCursor < m_context.view.sequence() || link.configCursor < m_context.configs.sequence());
        link.isBusy = false;
        if (hasMore) {
            m_context.wake();
        }
    }

    /** Records that the link's neighbour has answered and knows @p news. */
    static void recordDelivery(GossipLink &link, GossipUpdate update)
    {
        link.memberCursor = update.memberCursor;
        link.configCursor = update.configCursor;
        link.sentSuspects = std::move(update.suspects);
    }

    /** Records that the link's neighbour has not answered, and leaves the link alone for a while. */
    void recordFailure(GossipLink &link)
    {
        constexpr uint32_t MaxDoublings = 3;
        const uint32_t failures = ++link.failures;
        const std::lock_guard lock(m_mutex);
        link.retryAt = m_context.clock.now() + m_context.options.interval / 2 * (1U << std::min(failures, MaxDoublings));
    }

    /** Takes all that is known now as known to the others, because it came from one of them. */
    void skipCurrentState()
    {
        const uint64_t members = m_context.view.sequence();
        const uint64_t configs = m_context.configs.sequence();
        const std::lock_guard lock(m_mutex);
        m_pushedMemberSequence = members;
        m_pushedConfigSequence = configs;
    }

    /** @return whether this daemon has the links to other regions */
    bool isRepresentative()
    {
        refresh();
        const std::lock_guard lock(m_mutex);
        return m_isRepresentative;
    }

private:
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
    uint64_t m_linksSequence = 0;
    uint64_t m_pushedMemberSequence = 0;
    uint64_t m_pushedConfigSequence = 0;
    bool m_isRepresentative = false;
    std::array<uint64_t, 2> m_nextLinkIndexes {};
};

} // namespace carobjunction
