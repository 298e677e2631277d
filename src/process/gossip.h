#pragma once

#include "process/gossipcomparison.h"
#include "process/gossiplinks.h"
#include "process/peerchecker.h"

#include <atomic>
#include <condition_variable>

namespace carobjunction
{

/**
 * Spreads members, configurations and suspects between daemons, and detects failed daemons.
 *
 * tick() is called at each interval, and pushNow() after each wake, by one thread or several. No lock is held during
 * calls of the transport, the hooks, the view and the configuration table.
 */
template<PeerTransport T, MonotonicClock C>
class Gossip
{
public:
    /** All references must outlive this object. Tasks given to GossipHooks::execute end before the destructor returns. */
    Gossip(T &transport, const C &clock, MembershipView<C> &view, ConfigTable &configs, GossipOptions options, GossipHooks hooks)
        : m_context { transport, clock, view, configs, std::move(options), std::move(hooks) }
    {
    }

    Gossip(const Gossip &) = delete;
    Gossip &operator=(const Gossip &) = delete;

    ~Gossip()
    {
        std::unique_lock lock(m_mutex);
        m_idle.wait(lock, [&] { return m_runningTasks == 0; });
    }

    /** Does the work of one interval: timeouts, joining, repeated pushes, one heartbeat in each direction. */
    void tick()
    {
        const uint64_t number = ++m_ticks;
        m_context.view.expire(!m_messenger.isIsolated());
        if (!hasLivePeers() || !m_hasJoined) {
            join();
        }
        pushNow();
        heartbeat(m_links.nextLink(false));
        heartbeat(m_links.nextLink(true));
        // Only representatives look for lost daemons, so that dead seeds don't get connections from everybody.
        constexpr uint64_t TicksPerReconnect = 5;
        if (number % TicksPerReconnect == 0 && isRepresentative()) {
            reconnect(number);
        }
    }

    /** Sends what is new to all neighbours at once, and checks the daemons given to noteUnreachable(). */
    void pushNow()
    {
        m_links.refresh();
        for (const GossipLinkPointer &link : m_links.acquirePendingLinks()) {
            execute([this, link] {
                const bool isDrained = push(*link);
                m_links.release(*link, isDrained);
            });
        }
        for (const std::string &daemon : m_checker.dequeueChecks()) {
            execute([this, daemon] { m_checker.check(daemon); });
        }
    }

    /** Changes the own entry and has it pushed. See MembershipView::updateOwn(). */
    void updateOwn(const std::function<void(Member &)> &change)
    {
        m_context.view.updateOwn(change);
        m_context.wake();
    }

    /** Has the daemon checked by others at once, because a call to it failed. Does not block. */
    void noteUnreachable(const std::string &daemon)
    {
        m_checker.noteUnreachable(daemon);
    }

    /** Records that the store was read for configurations, so that the daemon is ready whatever the peers know. */
    void noteStorePolled()
    {
        m_isReady = true;
    }

    /** @return whether the store or a peer that is ready has told all its configurations */
    bool isReady() const
    {
        return m_isReady;
    }

    /** @return whether an exchange with another daemon has succeeded */
    bool hasJoined() const
    {
        return m_hasJoined;
    }

    /** @return whether this daemon has the links to other regions and polls the store */
    bool isRepresentative()
    {
        return m_links.isRepresentative();
    }

    /** Answers a message of another daemon. Entries that are not valid have no effect. */
    v1::ExchangeResponse onExchange(const v1::ExchangeRequest &request)
    {
        v1::ExchangeResponse response;
        response.set_daemon(m_context.view.ownId());
        response.set_incarnation(m_context.view.own().incarnation);
        response.set_configs_known(m_isReady);
        bool hasChanges = false;
        for (const MemberPointer &correction : m_messenger.mergeMembers(request.members(), request.daemon(), hasChanges)) {
            m_messenger.addMember(response, *correction);
        }
        m_messenger.mergeConfigs(request.configs(), response, hasChanges);
        hasChanges |= m_messenger.mergeSuspects(request.suspects());
        m_comparison.addBucketDifferences(request, response);
        m_messenger.addConfigs(request.wanted_configs(), response);
        if (request.view_hash() != 0 && request.view_hash() != m_context.view.hash()) {
            for (const uint64_t bucket : m_context.view.digest()) {
                response.add_digest(bucket);
            }
        }
        if (request.config_hash() != 0 && request.config_hash() != m_context.configs.hash()) {
            response.set_config_differs(true);
            for (const auto &entry : m_context.configs.entries()) {
                *response.add_configs() = versionOnly(*entry);
            }
        }
        if (request.joining() && m_context.hooks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_context.hooks.collectSuspects()) {
                *response.add_suspects() = suspect;
            }
        }
        if (hasChanges) {
            m_context.wake();
        }
        return response;
    }

    /** Probes another daemon on behalf of the sender. */
    v1::IndirectProbeResponse onIndirectProbe(const v1::IndirectProbeRequest &request)
    {
        const Duration requestedTimeout = std::chrono::microseconds(std::min<uint64_t>(request.timeout_us(), MaxProbeTimeout.count()));
        // With one attempt, 5 in 100 messages lost made so many false suspicions that 400 daemons used 5 KB/s each.
        constexpr unsigned Attempts = 2;
        bool isReachable = false;
        for (unsigned attempt = 0; attempt < Attempts && !isReachable; ++attempt) {
            isReachable = m_messenger.call(request.peer_address(), request.daemon(), {}, requestedTimeout / Attempts).has_value();
        }
        v1::IndirectProbeResponse response;
        response.set_reachable(isReachable);
        return response;
    }

    /** Names the versions in force at this daemon, of one service or of all. */
    v1::InForceResponse onInForce(const v1::InForceRequest &request) const
    {
        v1::InForceResponse response;
        response.set_daemon(m_context.view.ownId());
        for (const auto &entry : m_context.configs.entries()) {
            if (request.service().empty() || request.service() == entry->service) {
                v1::ConfigEntry wire = toWire(*entry);
                wire.clear_content();
                *response.add_configs() = std::move(wire);
            }
        }
        return response;
    }

private:
    static constexpr std::chrono::microseconds MaxProbeTimeout = std::chrono::seconds(1);
    static constexpr unsigned MaxReconcileRounds = 5; /**< Messages of one comparison in one tick. */
    static constexpr unsigned MaxJoinRounds = 60;

    void execute(std::function<void()> task)
    {
        if (!m_context.hooks.execute) {
            task();
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runningTasks;
        }
        m_context.hooks.execute([this, work = std::move(task)] {
            work();
            const std::lock_guard lock(m_mutex);
            --m_runningTasks;
            m_idle.notify_all();
        });
    }

    bool hasLivePeers() const
    {
        const MemberList members = m_context.view.members();
        return std::any_of(
            members->begin(), members->end(), [&](const MemberPointer &member) { return member->isLive() && member->daemon != m_context.view.ownId(); });
    }

    void join()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_context.clock.now() < m_nextJoinAt) {
                return;
            }
        }
        if (joinThrough(m_context.options.seeds) || (m_context.hooks.lookupSeeds && joinThrough(m_context.hooks.lookupSeeds()))) {
            EventLog::write(LogLevel::Info, Event::JoinSucceeded, { { "members", std::to_string(m_context.view.members()->size()) } });
            const std::lock_guard lock(m_mutex);
            m_joinFailures = 0;
            return;
        }
        // Jitter keeps daemons that started together from asking the seeds together.
        constexpr double MinJitterFactor = 0.5;
        const double jitter = m_messenger.randomBetween(MinJitterFactor, 1);
        uint32_t failures = 0;
        {
            const std::lock_guard lock(m_mutex);
            constexpr uint32_t MaxDoublings = 3;
            failures = ++m_joinFailures;
            const Duration wait = m_context.options.interval * (1U << std::min(failures - 1, MaxDoublings));
            m_nextJoinAt = m_context.clock.now() + std::chrono::duration_cast<Duration>(wait * jitter);
        }
        EventLog::write(
            LogLevel::Warning, Event::JoinFailed, { { "seeds", std::to_string(m_context.options.seeds.size()) }, { "attempts", std::to_string(failures) } });
    }

    bool joinThrough(std::vector<std::string> addresses)
    {
        m_messenger.shuffle(addresses);
        const std::string ownAddress = m_context.view.own().peerAddress;
        for (const std::string &address : addresses) {
            if (address != ownAddress && synchroniseWith(address, MaxJoinRounds)) {
                if (!m_hasJoined.exchange(true)) {
                    // What the seed told is no news to the others.
                    m_links.skipCurrentState();
                }
                return true;
            }
        }
        return false;
    }

    /** Exchanges everything with a daemon of which only the address is known. */
    bool synchroniseWith(const std::string &address, unsigned rounds)
    {
        v1::ExchangeRequest request;
        m_messenger.addMember(request, m_context.view.own());
        request.set_view_hash(m_context.view.hash());
        request.set_config_hash(m_context.configs.hash());
        request.set_joining(true);
        const std::optional<MergedResponse> answer = m_messenger.call(address, {}, std::move(request), m_context.options.exchangeTimeout);
        if (!answer) {
            return false;
        }
        m_comparison.reconcileMembers(address, *answer, rounds);
        updateReadiness(m_comparison.reconcileConfigs(address, answer->response), answer->response);
        return true;
    }

    void updateReadiness(bool isComplete, const v1::ExchangeResponse &response)
    {
        if (isComplete && response.configs_known()) {
            m_isReady = true;
        }
    }

    /** Looks for daemons that were lost by a partition: seeds that are no live members, and failed members. */
    void reconnect(uint64_t number)
    {
        std::set<std::string> live;
        std::vector<std::string> candidates;
        for (const MemberList list = m_context.view.members(); const MemberPointer &member : *list) {
            if (member->isLive()) {
                live.insert(member->peerAddress);
            } else if (member->state == MemberState::Failed) {
                candidates.push_back(member->peerAddress);
            }
        }
        candidates.insert(candidates.end(), m_context.options.seeds.begin(), m_context.options.seeds.end());
        // The store is read seldom, because it limits reads.
        constexpr uint64_t TicksPerSeedLookup = 60;
        if (number % TicksPerSeedLookup == 0 && m_context.hooks.lookupSeeds) {
            const std::vector<std::string> stored = m_context.hooks.lookupSeeds();
            candidates.insert(candidates.end(), stored.begin(), stored.end());
        }
        std::erase_if(candidates, [&](const std::string &address) { return live.count(address) > 0; });
        if (!candidates.empty()) {
            synchroniseWith(candidates[m_messenger.randomBelow(candidates.size())], MaxReconcileRounds);
        }
    }

    /** Sends one message over a link that the caller has marked as busy. */
    std::optional<MergedResponse> send(GossipLink &link, GossipUpdate update)
    {
        std::optional<MergedResponse> answer = m_messenger.call(link.address, link.daemon, std::move(update.request), m_context.options.exchangeTimeout);
        if (!answer) {
            m_links.recordFailure(link);
            return std::nullopt;
        }
        link.failures = 0;
        m_links.recordDelivery(link, std::move(update));
        if (!answer->response.wanted_configs().empty()) {
            sendWantedConfigs(link, answer->response);
        }
        return answer;
    }

    void sendWantedConfigs(const GossipLink &link, const v1::ExchangeResponse &response)
    {
        google::protobuf::RepeatedPtrField<std::string> wanted = response.wanted_configs();
        while (!wanted.empty()) {
            v1::ExchangeRequest request;
            m_messenger.addConfigs(wanted, request);
            if (request.configs().empty() || !m_messenger.call(link.address, link.daemon, request, m_context.options.exchangeTimeout)) {
                return;
            }
            std::set<std::string_view> sent;
            for (const v1::ConfigEntry &entry : request.configs()) {
                sent.insert(entry.service());
            }
            google::protobuf::RepeatedPtrField<std::string> remaining;
            for (const std::string &service : wanted) {
                if (sent.count(service) == 0) {
                    *remaining.Add() = service;
                }
            }
            wanted = std::move(remaining);
        }
    }

    static bool isEmpty(const v1::ExchangeRequest &request)
    {
        return request.members().empty() && request.configs().empty() && request.suspects().empty();
    }

    /** @return whether everything was sent */
    bool push(GossipLink &link)
    {
        // The limit keeps a large change, for instance a healed partition, from becoming one burst.
        constexpr unsigned MaxMessages = 2;
        for (unsigned message = 0; message < MaxMessages; ++message) {
            GossipUpdate update = m_links.updateFor(link);
            if (isEmpty(update.request)) {
                m_links.recordDelivery(link, std::move(update));
                return true;
            }
            const std::optional<MergedResponse> answer = send(link, std::move(update));
            if (!answer) {
                noteUnreachable(link.daemon);
                return false;
            }
            sendCorrections(link.address, *answer);
        }
        return false;
    }

    void sendCorrections(const std::string &address, const MergedResponse &answer)
    {
        if (!answer.corrections.empty()) {
            v1::ExchangeRequest request;
            for (const MemberPointer &member : answer.corrections) {
                m_messenger.addMember(request, *member);
            }
            m_messenger.call(address, answer.response.daemon(), std::move(request), m_context.options.exchangeTimeout);
        }
    }

    void heartbeat(const GossipLinkPointer &link)
    {
        if (!link || link->isBusy.exchange(true)) {
            return;
        }
        GossipUpdate update = m_links.updateFor(*link);
        update.request.set_view_hash(m_context.view.hash());
        if (m_ticks >= link->nextConfigComparisonTick) {
            update.request.set_config_hash(m_context.configs.hash());
        }
        const std::optional<MergedResponse> answer = send(*link, std::move(update));
        if (answer) {
            m_hasJoined = true;
            m_comparison.reconcileMembers(link->address, *answer, MaxReconcileRounds);
            const uint64_t before = m_context.configs.sequence();
            const bool isComplete = m_comparison.reconcileConfigs(link->address, answer->response);
            updateReadiness(isComplete, answer->response);
            if (answer->response.config_differs() && m_context.configs.sequence() == before) {
                // Versions that one of both rejects would otherwise be compared at each heartbeat.
                constexpr uint64_t ConfigComparisonPauseTicks = 20;
                link->nextConfigComparisonTick = m_ticks + ConfigComparisonPauseTicks;
            }
        }
        m_links.release(*link, answer.has_value());
        if (!answer) {
            onHeartbeatFailed(*link);
        }
    }

    void onHeartbeatFailed(const GossipLink &link)
    {
        if (!link.isRemote) {
            execute([this, daemon = link.daemon] { m_checker.check(daemon); });
            return;
        }
        // The representatives known here may have been replaced while the regions were apart.
        constexpr uint32_t FailuresBeforeFallback = 3;
        const MemberPointer lost = m_context.view.find(link.daemon);
        if (!lost || link.failures < FailuresBeforeFallback) {
            return;
        }
        std::vector<MemberPointer> fallbacks;
        for (const MemberList list = m_context.view.members(); const MemberPointer &member : *list) {
            if (member->region == lost->region && member->isLive() && member != lost) {
                fallbacks.push_back(member);
            }
        }
        if (!fallbacks.empty()) {
            synchroniseWith(fallbacks[m_messenger.randomBelow(fallbacks.size())]->peerAddress, MaxReconcileRounds);
        }
    }

    const GossipContext<T, C> m_context;
    GossipMessenger<T, C> m_messenger { m_context };
    GossipComparison<T, C> m_comparison { m_context, m_messenger };
    GossipLinks<T, C> m_links { m_context };
    PeerChecker<T, C> m_checker { m_context, m_messenger };
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_hasJoined = false;
    std::atomic<uint64_t> m_ticks = 0;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_runningTasks = 0;
    TimePoint m_nextJoinAt;
    uint32_t m_joinFailures = 0;
};

} // namespace carobjunction
