#pragma once

#include "process/gossipmessenger.h"

#include <array>
#include <map>
#include <set>

namespace carobjunction
{

/** Finds differences between the states of two daemons by digests and summaries, and reconciles them. Thread-safe. */
template<PeerTransport T, MonotonicClock C>
class GossipComparison
{
public:
    using Context = GossipContext<T, C>;

    /** @param context, messenger  must outlive this object */
    GossipComparison(const Context &context, GossipMessenger<T, C> &messenger) : m_context(context), m_messenger(messenger)
    {
    }

    /**
     * Compares the summaries in @p request with the membership view. Adds to @p response the members that are newer here or missing in the
     * request, and names those that are newer at the sender.
     */
    void addBucketDifferences(const v1::ExchangeRequest &request, v1::ExchangeResponse &response) const
    {
        if (request.wanted_buckets().empty()) {
            return;
        }
        std::set<std::string_view> summarised;
        for (const v1::MemberSummary &summary : request.summaries()) {
            summarised.insert(summary.daemon());
            const MemberEntryVersion remoteVersion { summary.incarnation(), summary.revision(), static_cast<MemberState>(summary.state()) };
            const MemberPointer local = m_context.view.findIncludingRemoved(summary.daemon());
            if (local && local->entryVersion() > remoteVersion) {
                m_messenger.addMember(response, *local);
            } else if ((!local || local->entryVersion() < remoteVersion)
                       && static_cast<std::size_t>(response.wanted_members_size()) < m_context.options.maxMemberEntries) {
                response.add_wanted_members(summary.daemon());
            }
        }
        for (const MemberPointer &member : m_context.view.entriesInBuckets({ request.wanted_buckets().begin(), request.wanted_buckets().end() })) {
            if (member->isLive() && summarised.count(member->daemon) == 0) {
                m_messenger.addMember(response, *member);
            }
        }
    }

    /**
     * Reconciles the membership views of both daemons.
     * @param first  response of the other daemon that contains its digest
     * @param maxRounds  limit of messages sent
     */
    void reconcileMembers(const std::string &address, const MergedResponse &first, unsigned maxRounds)
    {
        std::vector<MemberPointer> outgoing = first.newerEntries;
        for (unsigned round = 0; round < maxRounds; ++round) {
            const std::vector<uint32_t> buckets = differingBuckets(first.response);
            if (buckets.empty() && outgoing.empty()) {
                return;
            }
            v1::ExchangeRequest request = summaryRequest(buckets);
            for (const MemberPointer &member : outgoing) {
                m_messenger.addMember(request, *member);
            }
            const bool hadOutgoing = !outgoing.empty();
            const std::optional<MergedResponse> answer
                = m_messenger.call(address, first.response.daemon(), std::move(request), m_context.options.exchangeTimeout);
            if (!answer) {
                return;
            }
            outgoing = answer->newerEntries;
            for (const std::string &daemon : answer->response.wanted_members()) {
                if (const MemberPointer member = m_context.view.find(daemon)) {
                    outgoing.push_back(member);
                }
            }
            if (!hadOutgoing && outgoing.empty() && answer->changed == 0) {
                return;
            }
        }
    }

    /** Reconciles the configurations of both daemons. @return whether this daemon then has all configurations of the other */
    bool reconcileConfigs(const std::string &address, const v1::ExchangeResponse &response)
    {
        if (!response.config_differs()) {
            return true;
        }
        sendNewerConfigs(address, response);
        constexpr unsigned MaxFetches = 64;
        for (unsigned round = 0; round < MaxFetches; ++round) {
            v1::ExchangeRequest request;
            for (const v1::ConfigEntry &entry : response.configs()) {
                if (m_context.configs.needsContent(entry.service(), entry.version(), entry.hash())) {
                    request.add_wanted_configs(entry.service());
                }
            }
            if (request.wanted_configs().empty()) {
                return true;
            }
            const uint64_t sequenceBefore = m_context.configs.sequence();
            if (!m_messenger.call(address, response.daemon(), std::move(request), m_context.options.exchangeTimeout)
                || m_context.configs.sequence() == sequenceBefore) {
                return false;
            }
        }
        return false;
    }

private:
    std::vector<uint32_t> differingBuckets(const v1::ExchangeResponse &response)
    {
        std::vector<uint32_t> buckets;
        if (response.digest_size() != MembershipView<C>::BucketCount) {
            return buckets;
        }
        const auto own = m_context.view.digest();
        // The number of summaries in a message is limited; with random start buckets, repeated comparisons cover all buckets.
        const auto start = static_cast<uint32_t>(m_messenger.randomBelow(own.size()));
        for (uint32_t step = 0; step < own.size(); ++step) {
            const auto bucket = static_cast<uint32_t>((start + step) % own.size());
            if (own.at(bucket) != response.digest(static_cast<int>(bucket))) {
                buckets.push_back(bucket);
            }
        }
        return buckets;
    }

    v1::ExchangeRequest summaryRequest(const std::vector<uint32_t> &buckets) const
    {
        v1::ExchangeRequest request;
        std::array<std::vector<MemberPointer>, MembershipView<C>::BucketCount> entries;
        for (const MemberList list = m_context.view.members(); const MemberPointer &member : *list) {
            if (member->isLive()) {
                entries.at(m_context.view.bucketOf(member->daemon)).push_back(member);
            }
        }
        for (const uint32_t bucket : buckets) {
            if (static_cast<std::size_t>(request.summaries_size()) >= m_context.options.maxSummaries) {
                break;
            }
            request.add_wanted_buckets(bucket);
            for (const MemberPointer &member : entries.at(bucket)) {
                v1::MemberSummary &summary = *request.add_summaries();
                summary.set_daemon(member->daemon);
                summary.set_incarnation(member->incarnation);
                summary.set_revision(member->revision);
                summary.set_state(static_cast<uint32_t>(member->state));
            }
        }
        return request;
    }

    void sendNewerConfigs(const std::string &address, const v1::ExchangeResponse &response)
    {
        std::map<std::string_view, uint64_t> versions;
        for (const v1::ConfigEntry &entry : response.configs()) {
            versions[entry.service()] = entry.version();
        }
        google::protobuf::RepeatedPtrField<std::string> newer;
        for (const auto &entry : m_context.configs.entries()) {
            const auto otherVersion = versions.find(entry->service);
            if (otherVersion == versions.end() || otherVersion->second < entry->version) {
                *newer.Add() = entry->service;
            }
        }
        if (!newer.empty()) {
            v1::ExchangeRequest request;
            m_messenger.addConfigs(newer, request);
            m_messenger.call(address, response.daemon(), std::move(request), m_context.options.exchangeTimeout);
        }
    }

    const Context &m_context;
    GossipMessenger<T, C> &m_messenger;
};

} // namespace carobjunction
