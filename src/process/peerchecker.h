#pragma once

#include "process/gossipmessenger.h"

#include <set>
#include <unordered_map>

namespace carobjunction
{

/** Detects by indirect probes whether a daemon that did not answer has failed. Thread-safe; holds no lock while calling others. */
template<PeerTransport T, MonotonicClock C>
class PeerChecker
{
public:
    using Context = GossipContext<T, C>;

    /** @param context, messenger  must outlive this object */
    PeerChecker(const Context &context, GossipMessenger<T, C> &messenger) : m_context(context), m_messenger(messenger)
    {
    }

    /** Schedules a check of a daemon because a call to it failed, at most once in two intervals. Does not block. */
    void reportUnreachable(const std::string &daemon)
    {
        {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = m_context.clock.now();
            const auto [checked, isFirst] = m_lastRequestedAt.try_emplace(daemon, now);
            // A busy daemon reports the same error with each failed call.
            if (!isFirst && now - checked->second < 2 * m_context.options.interval) {
                return;
            }
            checked->second = now;
            m_pendingChecks.insert(daemon);
        }
        m_context.wake();
    }

    /** Removes up to two daemons from the queue of pending checks. @return these daemons */
    std::vector<std::string> dequeueChecks()
    {
        const std::lock_guard lock(m_mutex);
        // Without the limit, the loss of a data centre would block gossip for the sum of many timeouts.
        constexpr std::size_t MaxChecks = 2;
        std::vector<std::string> checks;
        while (!m_pendingChecks.empty() && checks.size() < MaxChecks) {
            checks.push_back(*m_pendingChecks.begin());
            m_pendingChecks.erase(m_pendingChecks.begin());
        }
        if (m_lastRequestedAt.size() > m_context.options.maxMemberEntries) {
            const TimePoint now = m_context.clock.now();
            std::erase_if(m_lastRequestedAt, [&](const auto &item) { return now - item.second >= 2 * m_context.options.interval; });
        }
        return checks;
    }

    /** Requests indirect probes of a member from other daemons, and marks the member as suspected if none of them can reach it. */
    void check(const std::string &daemon)
    {
        const MemberPointer member = m_context.view.find(daemon);
        // A daemon is suspected only by daemons of its own region, so that a partition between regions causes no false failures.
        if (!member || daemon == m_context.view.ownId() || member->state >= MemberState::Suspected || member->region != m_context.view.own().region) {
            return;
        }
        const std::vector<MemberPointer> helpers = probeHelpers(*member);
        v1::IndirectProbeRequest request;
        request.set_daemon(daemon);
        request.set_peer_address(member->peerAddress);
        request.set_timeout_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_context.options.probeTimeout).count()));
        std::size_t unreachableReports = 0;
        constexpr std::size_t MaxHelpers = 4;
        for (std::size_t index = 0; index < std::min(MaxHelpers, helpers.size()) && unreachableReports < RequiredReports; ++index) {
            const std::optional<bool> isReachable
                = m_context.transport.indirectProbe(helpers[index]->peerAddress, request, m_context.options.probeTimeout + m_context.options.exchangeTimeout);
            if (!isReachable) {
                continue;
            }
            m_messenger.recordResponse();
            if (*isReachable) {
                return;
            }
            ++unreachableReports;
        }
        // With three daemons in total there is only one helper, so its report suffices. If no helper answers, this daemon itself may be
        // isolated.
        if (unreachableReports > 0 && unreachableReports >= std::min(RequiredReports, helpers.size())
            && m_context.view.suspect(daemon, member->entryVersion())) {
            m_context.wake();
        }
    }

private:
    static constexpr std::size_t RequiredReports = 2; /**< Number of helpers that must report a daemon as unreachable before it is suspected. */

    /** @return members that can probe @p member, in random order, those of its region first */
    std::vector<MemberPointer> probeHelpers(const Member &member)
    {
        std::vector<MemberPointer> helpers;
        for (const MemberList list = m_context.view.members(); const MemberPointer &candidate : *list) {
            if (candidate->state <= MemberState::Leaving && candidate->daemon != member.daemon && candidate->daemon != m_context.view.ownId()) {
                helpers.push_back(candidate);
            }
        }
        m_messenger.shuffle(helpers);
        std::stable_partition(helpers.begin(), helpers.end(), [&](const MemberPointer &candidate) { return candidate->region == member.region; });
        return helpers;
    }

    const Context &m_context;
    GossipMessenger<T, C> &m_messenger;
    std::mutex m_mutex;
    std::set<std::string> m_pendingChecks; /**< Daemons to check. */
    std::unordered_map<std::string, TimePoint> m_lastRequestedAt; /**< Times of the latest check requests, by daemon. */
};

} // namespace carobjunction
