#pragma once

#include "process/gossipcomparison.h"
#include "process/gossiplinks.h"
#include "process/peerchecker.h"

#include <atomic>
#include <condition_variable>

namespace carobjunction
{

/**
 * Disseminates members, configurations and suspects between daemons, and detects failed daemons.
 *
 * The component that owns this object must call tick() once per interval, and pushUpdates() after each call of GossipCallbacks::wake, from
 * one or several threads. No lock is held while the transport, the callbacks, the membership view or the configuration table are called.
 */
template<PeerTransport T, MonotonicClock C>
class Gossip
{
public:
    /** All references must outlive this object. The destructor waits for all tasks passed to GossipCallbacks::execute. */
    Gossip(T &transport, const C &clock, MembershipView<C> &view, ConfigTable &configs, GossipOptions options, GossipCallbacks callbacks)
        : m_context { transport, clock, view, configs, std::move(options), std::move(callbacks) }
    {
    }

    Gossip(const Gossip &) = delete;
    Gossip &operator=(const Gossip &) = delete;

    ~Gossip()
    {
        std::unique_lock lock(m_mutex);
        m_tasksFinished.wait(lock, [&] { return m_runningTasks == 0; });
    }

    /**
     * Runs the work of one interval: expires suspicions, joins if necessary, retries failed pushes, and sends one heartbeat within the
     * region and one to another region.
     */
    void tick()
    {
        const uint64_t tickNumber = ++m_tickCount;
        m_context.view.expire(!m_messenger.isIsolated());
        if (!hasLivePeers() || !m_hasJoined) {
            join();
        }
        pushUpdates();
        heartbeat(m_links.nextLink(false));
        heartbeat(m_links.nextLink(true));
        // Only representatives try to reconnect, so that the addresses of failed seeds don't receive connections from every daemon.
        constexpr uint64_t TicksPerReconnect = 5;
        if (tickNumber % TicksPerReconnect == 0 && isRepresentative()) {
            reconnect(tickNumber);
        }
    }

    /** Sends all pending updates to the neighbours, and checks the daemons passed to reportUnreachable(). */
    void pushUpdates()
    {
        m_links.refresh();
        for (const GossipLinkPointer &link : m_links.reserveLinksWithUpdates()) {
            execute([this, link] {
                const bool isDrained = push(*link);
                m_links.release(*link, isDrained);
            });
        }
        for (const std::string &daemon : m_peerChecker.dequeueChecks()) {
            execute([this, daemon] { m_peerChecker.check(daemon); });
        }
    }

    /** Changes the membership entry of this daemon and triggers a push. See MembershipView::updateOwn(). */
    void updateOwn(const std::function<void(Member &)> &change)
    {
        m_context.view.updateOwn(change);
        m_context.wake();
    }

    /** Schedules an immediate check of a daemon by indirect probes, because a call to it failed. Does not block. */
    void reportUnreachable(const std::string &daemon)
    {
        m_peerChecker.reportUnreachable(daemon);
    }

    /** Marks the daemon as ready, because all configurations have been read from the store and none from peers are needed. */
    void onStorePolled()
    {
        m_isReady = true;
    }

    /** @return whether this daemon has received all configurations, from the store or from a peer that is ready */
    bool isReady() const
    {
        return m_isReady;
    }

    /** @return whether an exchange with another daemon has succeeded */
    bool hasJoined() const
    {
        return m_hasJoined;
    }

    /** @return whether this daemon is a representative of its region, which has links to other regions and polls the store */
    bool isRepresentative()
    {
        return m_links.isRepresentative();
    }

    /** Merges a message of another daemon and returns the response. Invalid entries are ignored. */
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
                *response.add_configs() = toWireWithoutContent(*entry);
            }
        }
        if (request.joining() && m_context.callbacks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_context.callbacks.collectSuspects()) {
                *response.add_suspects() = suspect;
            }
        }
        if (hasChanges) {
            m_context.wake();
        }
        return response;
    }

    /** Probes another daemon on behalf of the sender of the request. */
    v1::IndirectProbeResponse onIndirectProbe(const v1::IndirectProbeRequest &request)
    {
        const Duration requestedTimeout = std::chrono::microseconds(std::min<uint64_t>(request.timeout_us(), MaxProbeTimeout.count()));
        // With a single attempt, a message loss of 5 % caused so many false suspicions that each of 400 daemons sent 5 KB/s.
        constexpr unsigned Attempts = 2;
        bool isReachable = false;
        for (unsigned attempt = 0; attempt < Attempts && !isReachable; ++attempt) {
            isReachable = m_messenger.call(request.peer_address(), request.daemon(), {}, requestedTimeout / Attempts).has_value();
        }
        v1::IndirectProbeResponse response;
        response.set_reachable(isReachable);
        return response;
    }

    /** Returns the configuration versions in force at this daemon, for one service, or for all if the request names none. */
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
    static constexpr unsigned MaxReconcileRounds = 5; /**< Limit of messages in one reconciliation with a peer. */
    static constexpr unsigned MaxJoinRounds = 60; /**< The same limit while joining, when most entries are missing. */

    /** Runs a task by GossipCallbacks::execute, and counts it until it has finished. */
    void execute(std::function<void()> task)
    {
        if (!m_context.callbacks.execute) {
            task();
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runningTasks;
        }
        m_context.callbacks.execute([this, work = std::move(task)] {
            work();
            const std::lock_guard lock(m_mutex);
            --m_runningTasks;
            m_tasksFinished.notify_all();
        });
    }

    bool hasLivePeers() const
    {
        const MemberList members = m_context.view.members();
        return std::any_of(
            members->begin(), members->end(), [&](const MemberPointer &member) { return member->isLive() && member->daemon != m_context.view.ownId(); });
    }

    /** Joins through the configured seeds, or else through those in the store. After a failure, the next attempts are delayed. */
    void join()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_context.clock.now() < m_nextJoinAt) {
                return;
            }
        }
        if (joinThrough(m_context.options.seeds) || (m_context.callbacks.lookupSeeds && joinThrough(m_context.callbacks.lookupSeeds()))) {
            EventLog::write(LogLevel::Info, Event::JoinSucceeded, { { "members", std::to_string(m_context.view.members()->size()) } });
            const std::lock_guard lock(m_mutex);
            m_joinFailures = 0;
            return;
        }
        // Jitter keeps daemons that started at the same time from contacting the seeds at the same time.
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

    /** Synchronises with the first daemon that answers, in random order. @return whether one has answered */
    bool joinThrough(std::vector<std::string> addresses)
    {
        m_messenger.shuffle(addresses);
        const std::string ownAddress = m_context.view.own().peerAddress;
        for (const std::string &address : addresses) {
            if (address != ownAddress && synchroniseWith(address, MaxJoinRounds)) {
                if (!m_hasJoined.exchange(true)) {
                    // The other daemons already have the state that the seed has sent.
                    m_links.skipCurrentState();
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Exchanges the full state with a daemon of which only the address is known.
     * @param rounds  limit of messages for reconciling the members
     * @return whether the daemon answered
     */
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

    /** Marks this daemon as ready if it has all configurations of a peer that is ready. */
    void updateReadiness(bool isComplete, const v1::ExchangeResponse &response)
    {
        if (isComplete && response.configs_known()) {
            m_isReady = true;
        }
    }

    /** Tries to reconnect to one daemon that a partition may have separated: a seed that is not a live member, or a failed member. */
    void reconnect(uint64_t tickNumber)
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
        // The seeds in the store are read rarely, because the store limits the rate of reads.
        constexpr uint64_t TicksPerSeedLookup = 60;
        if (tickNumber % TicksPerSeedLookup == 0 && m_context.callbacks.lookupSeeds) {
            const std::vector<std::string> stored = m_context.callbacks.lookupSeeds();
            candidates.insert(candidates.end(), stored.begin(), stored.end());
        }
        std::erase_if(candidates, [&](const std::string &address) { return live.count(address) > 0; });
        if (!candidates.empty()) {
            synchroniseWith(candidates[m_messenger.randomBelow(candidates.size())], MaxReconcileRounds);
        }
    }

    /**
     * Sends one message over a link that the caller has marked as busy, and updates the state of the link.
     * @return the merged response, or empty if the neighbour did not answer
     */
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

    /** Sends the configurations that the neighbour has requested, in as many messages as their size requires. */
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

    /** Sends pending updates over one link. @return whether none are left */
    bool push(GossipLink &link)
    {
        // The limit spreads a large change, such as a healed partition, over several pushes.
        constexpr unsigned MaxMessages = 2;
        for (unsigned message = 0; message < MaxMessages; ++message) {
            GossipUpdate update = m_links.updateFor(link);
            if (isEmpty(update.request)) {
                m_links.recordDelivery(link, std::move(update));
                return true;
            }
            const std::optional<MergedResponse> answer = send(link, std::move(update));
            if (!answer) {
                reportUnreachable(link.daemon);
                return false;
            }
            sendCorrections(link.address, *answer);
        }
        return false;
    }

    /** Sends the entries that are newer here than in the response of the other daemon. */
    void sendCorrections(const std::string &address, const MergedResponse &answer)
    {
        if (!answer.newerEntries.empty()) {
            v1::ExchangeRequest request;
            for (const MemberPointer &member : answer.newerEntries) {
                m_messenger.addMember(request, *member);
            }
            m_messenger.call(address, answer.response.daemon(), std::move(request), m_context.options.exchangeTimeout);
        }
    }

    /** Sends pending updates with the hashes of this daemon's state over one link, and reconciles the differences that the response shows. */
    void heartbeat(const GossipLinkPointer &link)
    {
        if (!link || link->isBusy.exchange(true)) {
            return;
        }
        GossipUpdate update = m_links.updateFor(*link);
        update.request.set_view_hash(m_context.view.hash());
        if (m_tickCount >= link->nextConfigComparisonTick) {
            update.request.set_config_hash(m_context.configs.hash());
        }
        const std::optional<MergedResponse> answer = send(*link, std::move(update));
        if (answer) {
            m_hasJoined = true;
            m_comparison.reconcileMembers(link->address, *answer, MaxReconcileRounds);
            const uint64_t sequenceBefore = m_context.configs.sequence();
            const bool isComplete = m_comparison.reconcileConfigs(link->address, answer->response);
            updateReadiness(isComplete, answer->response);
            if (answer->response.config_differs() && m_context.configs.sequence() == sequenceBefore) {
                // The configurations may differ because one of the two daemons rejects a version. Without a pause, they would be
                // compared again at each heartbeat.
                constexpr uint64_t ConfigComparisonPauseTicks = 20;
                link->nextConfigComparisonTick = m_tickCount + ConfigComparisonPauseTicks;
            }
        }
        m_links.release(*link, answer.has_value());
        if (!answer) {
            onHeartbeatFailed(*link);
        }
    }

    /** Checks a local neighbour by indirect probes. If a remote one failed repeatedly, synchronises with another member of its region. */
    void onHeartbeatFailed(const GossipLink &link)
    {
        if (!link.isRemote) {
            execute([this, daemon = link.daemon] { m_peerChecker.check(daemon); });
            return;
        }
        // The other region may have chosen new representatives during a partition, so another member of that region is contacted.
        constexpr uint32_t FailuresBeforeFallback = 3;
        const MemberPointer failedMember = m_context.view.find(link.daemon);
        if (!failedMember || link.failures < FailuresBeforeFallback) {
            return;
        }
        std::vector<MemberPointer> fallbacks;
        for (const MemberList list = m_context.view.members(); const MemberPointer &member : *list) {
            if (member->region == failedMember->region && member->isLive() && member != failedMember) {
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
    PeerChecker<T, C> m_peerChecker { m_context, m_messenger };
    std::atomic<bool> m_isReady = false;
    std::atomic<bool> m_hasJoined = false;
    std::atomic<uint64_t> m_tickCount = 0;
    std::mutex m_mutex;
    std::condition_variable m_tasksFinished;
    std::size_t m_runningTasks = 0;
    TimePoint m_nextJoinAt;
    uint32_t m_joinFailures = 0;
};

} // namespace carobjunction
