#pragma once

#include "process/eventlog.h"
#include "process/gossipcontext.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace carobjunction
{

/** Response to a message, and the result of merging it. */
struct MergedResponse {
    v1::ExchangeResponse response;
    std::vector<MemberPointer> newerEntries; /**< Entries that are newer here than in the response. */
    std::size_t changed = 0; /**< Number of changes to the membership view. */
};

/** Sends single messages to other daemons, and merges received messages and responses. Thread-safe; holds no lock during calls. */
template<PeerTransport T, MonotonicClock C>
class GossipMessenger
{
public:
    using Context = GossipContext<T, C>;

    /** @param context  must outlive this object */
    explicit GossipMessenger(const Context &context) : m_context(context), m_random(context.options.randomSeed), m_lastResponseAt(context.clock.now())
    {
    }

    /** Adds an entry to a message, unless the message is full. */
    template<typename Message>
    void addMember(Message &message, const Member &member) const
    {
        if (static_cast<std::size_t>(message.members_size()) < m_context.options.maxMemberEntries) {
            *message.add_members() = toWire(member);
        }
    }

    /**
     * Merges member entries received from another daemon into the membership view. Invalid entries are ignored.
     * @param hasChanges  set to true if an entry changed the view
     * @return entries that are newer in the view of this daemon
     */
    template<typename Entries>
    std::vector<MemberPointer> mergeMembers(const Entries &entries, const std::string &source, bool &hasChanges)
    {
        std::vector<Member> valid;
        for (const v1::MemberEntry &entry : entries) {
            if (std::optional<Member> member = fromWire(entry)) {
                valid.push_back(std::move(*member));
            }
        }
        MergeResult result = m_context.view.merge(valid, source);
        hasChanges |= result.changed > 0;
        if (result.refuted) {
            EventLog::write(
                LogLevel::Warning, Event::SuspicionRefuted, { { "revision", std::to_string(m_context.view.own().revision) }, { "reported_by", source } });
        }
        return std::move(result.newerEntries);
    }

    /** Merges suspects received from another daemon. @return whether one of them changed the table of suspects */
    template<typename Entries>
    bool mergeSuspects(const Entries &entries)
    {
        bool hasChanges = false;
        for (const v1::SuspectEntry &entry : entries) {
            hasChanges |= m_context.callbacks.mergeSuspect && m_context.callbacks.mergeSuspect(entry);
        }
        return hasChanges;
    }

    /**
     * Sends one message and merges the response.
     * @param expectedDaemon  daemon that must answer; if empty, any other daemon may
     * @return empty if no response arrived within @p timeout, or if it came from a different daemon
     */
    std::optional<MergedResponse> call(const std::string &address, const std::string &expectedDaemon, v1::ExchangeRequest request, Duration timeout)
    {
        request.set_daemon(m_context.view.ownId());
        request.set_incarnation(m_context.view.own().incarnation);
        std::optional<v1::ExchangeResponse> response = m_context.transport.exchange(address, request, timeout);
        if (!response || response->daemon() == m_context.view.ownId() || (!expectedDaemon.empty() && response->daemon() != expectedDaemon)) {
            return std::nullopt;
        }
        recordResponse();
        MergedResponse answer;
        bool hasChanges = false;
        const uint64_t sequenceBefore = m_context.view.sequence();
        answer.newerEntries = mergeMembers(response->members(), response->daemon(), hasChanges);
        answer.changed = m_context.view.sequence() - sequenceBefore;
        for (const v1::ConfigEntry &entry : response->configs()) {
            hasChanges |= !entry.content().empty() && m_context.configs.offer(fromWire(entry)) == ConfigOfferResult::Accepted;
        }
        hasChanges |= mergeSuspects(response->suspects());
        answer.response = std::move(*response);
        if (hasChanges) {
            m_context.wake();
        }
        return answer;
    }

    /**
     * Merges received configurations. Requests in @p response the contents of newer versions that were sent without content.
     * @param hasChanges  set to true if a configuration was accepted
     */
    template<typename Entries>
    void mergeConfigs(const Entries &entries, v1::ExchangeResponse &response, bool &hasChanges)
    {
        for (const v1::ConfigEntry &entry : entries) {
            if (!entry.content().empty()) {
                hasChanges |= m_context.configs.offer(fromWire(entry)) == ConfigOfferResult::Accepted;
            } else if (m_context.configs.needsContent(entry.service(), entry.version(), entry.hash()) && tryStartFetch(entry)) {
                response.add_wanted_configs(entry.service());
            }
        }
    }

    /** Adds the configurations of the given services to a message, up to GossipOptions::maxConfigBytes. */
    template<typename Message>
    void addConfigs(const google::protobuf::RepeatedPtrField<std::string> &services, Message &message) const
    {
        std::size_t bytes = 0;
        for (const std::string &service : services) {
            const std::shared_ptr<const ConfigEntry> entry = m_context.configs.entry(service);
            if (entry && bytes + entry->content.size() <= m_context.options.maxConfigBytes) {
                bytes += entry->content.size();
                *message.add_configs() = toWire(*entry);
            }
        }
    }

    /** @return whether no daemon has answered for 3 intervals. This daemon may then be isolated, so it must not declare others failed. */
    bool isIsolated() const
    {
        const std::lock_guard lock(m_mutex);
        return m_context.clock.now() - m_lastResponseAt > 3 * m_context.options.interval;
    }

    /** @return a random integer from 0 up to, but not including, @p bound */
    uint64_t randomBelow(uint64_t bound)
    {
        const std::lock_guard lock(m_mutex);
        return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_random);
    }

    template<typename Item>
    void shuffle(std::vector<Item> &items)
    {
        const std::lock_guard lock(m_mutex);
        std::shuffle(items.begin(), items.end(), m_random);
    }

    /** Records that another daemon has answered. See isIsolated(). */
    void recordResponse()
    {
        const std::lock_guard lock(m_mutex);
        m_lastResponseAt = m_context.clock.now();
    }

    /** @return a random number from @p low up to, but not including, @p high */
    double randomBetween(double low, double high)
    {
        const std::lock_guard lock(m_mutex);
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

private:
    /**
     * Records that the content of a version is requested, because several neighbours may report a version at nearly the same time.
     * @return whether to request it now; false if it was requested within the last exchange timeout
     */
    bool tryStartFetch(const v1::ConfigEntry &entry)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_context.clock.now();
        std::erase_if(m_fetchRequestedAt, [&](const auto &fetch) { return now - fetch.second >= m_context.options.exchangeTimeout; });
        return m_fetchRequestedAt.try_emplace({ entry.service(), entry.version() }, now).second;
    }

    const Context &m_context;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    TimePoint m_lastResponseAt;
    std::map<std::pair<std::string, uint64_t>, TimePoint> m_fetchRequestedAt; /**< Times of the requests for contents, by service and version. */
};

} // namespace carobjunction
