#pragma once

#include <carobjunction/process/membershipview.h>
#include <carobjunction/version/configtable.h>

#include "process/eventlog.h"
#include "process/overlay.h"
#include "process/wireentries.h"

#include <atomic>
#include <condition_variable>
#include <random>
#include <set>

namespace carobjunction
{

/**
 * Sends messages to other daemons by address, and waits for the answers. Called from several threads at once.
 * An empty result means that no answer came within the timeout.
 */
template<typename T>
concept PeerTransport
    = requires(T &transport, const std::string &address, const v1::ExchangeRequest &exchange, const v1::IndirectProbeRequest &probe, Duration timeout)
{
    {
        transport.exchange(address, exchange, timeout)
        } -> std::same_as<std::optional<v1::ExchangeResponse>>;
    {
        transport.indirectProbe(address, probe, timeout)
        } -> std::same_as<std::optional<bool>>;
};

/** Settings of Gossip. */
struct GossipOptions {
    Duration interval = std::chrono::seconds(1); /**< Time between two calls of tick(). */
    Duration exchangeTimeout = std::chrono::milliseconds(500);
    Duration probeTimeout = std::chrono::milliseconds(500); /**< Time that a helper waits for the daemon it probes. */
    std::vector<std::string> seeds; /**< Peer addresses to join by. */
    OverlayOptions overlay;
    std::size_t maxEntries = 200; /**< Member entries in one message, so that a healed partition causes no burst. */
    std::size_t maxSummaries = 400; /**< Summaries in one message. */
    std::size_t maxConfigBytes = 512U << 10U; /**< Configuration contents in one message. gRPC refuses messages over 4 MiB. */
    uint64_t randomSeed = std::random_device {}();
};

/** What Gossip asks of the rest of the daemon. All members may be empty. */
struct GossipHooks {
    std::function<std::vector<std::string>()> lookupSeeds; /**< Peer addresses from the store, asked when no seed answers. */
    std::function<std::vector<v1::SuspectEntry>()> collectSuspects; /**< All suspects that have not expired. */
    std::function<bool(const v1::SuspectEntry &)> mergeSuspect; /**< Returns whether the entry was news. */
    /** Called when there is something to push: the daemon's gossip thread calls pushNow() soon. Must not block. */
    std::function<void()> wake;
    /** Runs a task that waits for the network, on another thread. If empty, tasks run on the calling thread. */
    std::function<void(std::function<void()>)> execute;
};

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
        : m_transport(transport)
        , m_clock(clock)
        , m_view(view)
        , m_configs(configs)
        , m_options(std::move(options))
        , m_hooks(std::move(hooks))
        , m_random(m_options.randomSeed)
        , m_lastAnswer(clock.now())
    {
    }

    Gossip(const Gossip &) = delete;
    Gossip &operator=(const Gossip &) = delete;

    ~Gossip()
    {
        std::unique_lock lock(m_mutex);
        m_idle.wait(lock, [&] { return m_tasks == 0; });
    }

    /** Does the work of one interval: timeouts, joining, repeated pushes, one heartbeat in each direction. */
    void tick()
    {
        const uint64_t number = ++m_ticks;
        m_view.expire(!isIsolated());
        if (!hasOthers() || !m_joined) {
            join();
        }
        pushNow();
        heartbeat(nextLink(false));
        heartbeat(nextLink(true));
        // Only representatives look for lost daemons, so that dead seeds don't get connections from everybody.
        constexpr uint64_t ReconnectTicks = 5;
        if (number % ReconnectTicks == 0 && isRepresentative()) {
            reconnect(number);
        }
    }

    /** Sends what is new to all neighbours at once, and checks the daemons given to noteUnreachable(). */
    void pushNow()
    {
        refreshLinks();
        for (const LinkPointer &link : pendingLinks()) {
            execute([this, link] {
                push(*link);
                link->isBusy = false;
            });
        }
        for (const std::string &daemon : takeChecks()) {
            execute([this, daemon] { check(daemon); });
        }
    }

    /** Changes the own entry and has it pushed. See MembershipView::updateOwn(). */
    void updateOwn(const std::function<void(Member &)> &change)
    {
        m_view.updateOwn(change);
        wake();
    }

    /** Has the daemon checked by others at once, because a call to it failed. Does not block. */
    void noteUnreachable(const std::string &daemon)
    {
        {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = m_clock.now();
            const auto [checked, isFirst] = m_checkedAt.try_emplace(daemon, now);
            // Each failed call of a busy daemon reports the same fault.
            if (!isFirst && now - checked->second < 2 * m_options.interval) {
                return;
            }
            checked->second = now;
            m_checks.insert(daemon);
        }
        wake();
    }

    /** Records that the store was read for configurations, so that the daemon is ready whatever the peers know. */
    void noteStorePolled()
    {
        m_ready = true;
    }

    /** @return whether the store or a peer that is ready has told all its configurations */
    bool isReady() const
    {
        return m_ready;
    }

    /** @return whether an exchange with another daemon has succeeded */
    bool hasJoined() const
    {
        return m_joined;
    }

    /** @return whether this daemon has the links to other regions and polls the store */
    bool isRepresentative()
    {
        refreshLinks();
        const std::lock_guard lock(m_mutex);
        return m_isRepresentative;
    }

    /** Answers a message of another daemon. Entries that are not valid have no effect. */
    v1::ExchangeResponse onExchange(const v1::ExchangeRequest &request)
    {
        v1::ExchangeResponse response;
        response.set_daemon(m_view.ownId());
        response.set_incarnation(m_view.own().incarnation);
        response.set_configs_known(m_ready);
        bool isNews = false;
        for (const MemberPointer &correction : mergeMembers(request.members(), request.daemon(), isNews)) {
            addMember(response, *correction);
        }
        takeConfigs(request.configs(), response, isNews);
        isNews |= mergeSuspects(request.suspects());
        compareBuckets(request, response);
        addConfigs(request.wanted_configs(), response);
        if (request.view_hash() != 0 && request.view_hash() != m_view.hash()) {
            for (const uint64_t bucket : m_view.digest()) {
                response.add_digest(bucket);
            }
        }
        if (request.config_hash() != 0 && request.config_hash() != m_configs.hash()) {
            response.set_config_differs(true);
            for (const auto &entry : m_configs.entries()) {
                *response.add_configs() = versionOnly(*entry);
            }
        }
        if (request.joining() && m_hooks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_hooks.collectSuspects()) {
                *response.add_suspects() = suspect;
            }
        }
        if (isNews) {
            wake();
        }
        return response;
    }

    /** Probes another daemon on behalf of the sender. */
    v1::IndirectProbeResponse onIndirectProbe(const v1::IndirectProbeRequest &request)
    {
        const Duration asked = std::chrono::microseconds(std::min<uint64_t>(request.timeout_us(), MaxProbeTime.count()));
        v1::IndirectProbeResponse response;
        response.set_reachable(call(request.peer_address(), request.daemon(), {}, asked).has_value());
        return response;
    }

    /** Names the versions in force at this daemon, of one service or of all. */
    v1::InForceResponse onInForce(const v1::InForceRequest &request) const
    {
        v1::InForceResponse response;
        response.set_daemon(m_view.ownId());
        for (const auto &entry : m_configs.entries()) {
            if (request.service().empty() || request.service() == entry->service) {
                v1::ConfigEntry wire = toWire(*entry);
                wire.clear_content();
                *response.add_configs() = std::move(wire);
            }
        }
        return response;
    }

private:
    static constexpr std::chrono::microseconds MaxProbeTime = std::chrono::seconds(1);
    static constexpr unsigned MaxRounds = 5; /**< Messages of one comparison in one tick. */
    static constexpr unsigned MaxJoinRounds = 60;
    static constexpr std::size_t Helpers = 2; /**< Daemons that must agree that another one is unreachable. */

    struct Link {
        std::string daemon;
        std::string address;
        bool isRemote = false;
        std::atomic<bool> isBusy = false;
        // The following are used only by the thread that has set isBusy, or under the mutex.
        uint64_t memberCursor = 0;
        uint64_t configCursor = 0;
        std::unordered_map<uint64_t, uint64_t> suspectsSent;
        std::atomic<uint32_t> failures = 0;
        TimePoint retryAt;
        uint64_t compareConfigsAt = 0; /**< Tick before which configuration hashes are not compared. */
    };
    using LinkPointer = std::shared_ptr<Link>;

    /** Answer to one message, with what the receiver of the answer knows better. */
    struct Answer {
        v1::ExchangeResponse response;
        std::vector<MemberPointer> corrections;
        std::size_t changed = 0;
    };

    void wake() const
    {
        if (m_hooks.wake) {
            m_hooks.wake();
        }
    }

    void execute(std::function<void()> task)
    {
        if (!m_hooks.execute) {
            task();
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_tasks;
        }
        m_hooks.execute([this, work = std::move(task)] {
            work();
            const std::lock_guard lock(m_mutex);
            --m_tasks;
            m_idle.notify_all();
        });
    }

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

    /** @return whether this daemon itself seems to be cut off, so that its opinion on others means nothing */
    bool isIsolated() const
    {
        const std::lock_guard lock(m_mutex);
        return m_clock.now() - m_lastAnswer > 3 * m_options.interval;
    }

    bool hasOthers() const
    {
        const MemberList members = m_view.members();
        return std::any_of(members->begin(), members->end(), [&](const MemberPointer &member) { return member->isLive() && member->daemon != m_view.ownId(); });
    }

    // Messages

    template<typename Message>
    void addMember(Message &message, const Member &member) const
    {
        if (static_cast<std::size_t>(message.members_size()) < m_options.maxEntries) {
            *message.add_members() = toWire(member);
        }
    }

    template<typename Entries>
    std::vector<MemberPointer> mergeMembers(const Entries &entries, const std::string &source, bool &isNews)
    {
        std::vector<Member> valid;
        for (const v1::MemberEntry &entry : entries) {
            if (std::optional<Member> member = fromWire(entry)) {
                valid.push_back(std::move(*member));
            }
        }
        MergeResult result = m_view.merge(valid, source);
        isNews |= result.changed > 0;
        if (result.refuted) {
            EventLog::write(LogLevel::Warning, Event::SuspicionRefuted, { { "revision", std::to_string(m_view.own().revision) }, { "reported_by", source } });
        }
        return std::move(result.corrections);
    }

    template<typename Entries>
    bool mergeSuspects(const Entries &entries)
    {
        bool isNews = false;
        for (const v1::SuspectEntry &entry : entries) {
            isNews |= m_hooks.mergeSuspect && m_hooks.mergeSuspect(entry);
        }
        return isNews;
    }

    /** Sends one message and merges the answer. An answer from another daemon than @p expected counts as none. */
    std::optional<Answer> call(const std::string &address, const std::string &expected, v1::ExchangeRequest request, Duration timeout)
    {
        request.set_daemon(m_view.ownId());
        request.set_incarnation(m_view.own().incarnation);
        std::optional<v1::ExchangeResponse> response = m_transport.exchange(address, request, timeout);
        if (!response || response->daemon() == m_view.ownId() || (!expected.empty() && response->daemon() != expected)) {
            return std::nullopt;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_lastAnswer = m_clock.now();
        }
        Answer answer;
        bool isNews = false;
        const uint64_t before = m_view.sequence();
        answer.corrections = mergeMembers(response->members(), response->daemon(), isNews);
        answer.changed = m_view.sequence() - before;
        for (const v1::ConfigEntry &entry : response->configs()) {
            isNews |= !entry.content().empty() && m_configs.offer(fromWire(entry)) == ConfigOffer::Accepted;
        }
        isNews |= mergeSuspects(response->suspects());
        answer.response = std::move(*response);
        if (isNews) {
            wake();
        }
        return answer;
    }

    template<typename Entries>
    void takeConfigs(const Entries &entries, v1::ExchangeResponse &response, bool &isNews)
    {
        for (const v1::ConfigEntry &entry : entries) {
            if (!entry.content().empty()) {
                isNews |= m_configs.offer(fromWire(entry)) == ConfigOffer::Accepted;
            } else if (m_configs.isWanted(entry.service(), entry.version(), entry.hash()) && startFetch(entry)) {
                response.add_wanted_configs(entry.service());
            }
        }
    }

    /** @return whether to fetch a version now; several neighbours name it within a short time, and one content is enough */
    bool startFetch(const v1::ConfigEntry &entry)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        std::erase_if(m_fetches, [&](const auto &fetch) { return now - fetch.second >= m_options.exchangeTimeout; });
        return m_fetches.try_emplace({ entry.service(), entry.version() }, now).second;
    }

    template<typename Message>
    void addConfigs(const google::protobuf::RepeatedPtrField<std::string> &services, Message &message) const
    {
        std::size_t bytes = 0;
        for (const std::string &service : services) {
            const std::shared_ptr<const ConfigEntry> entry = m_configs.entry(service);
            if (entry && bytes + entry->content.size() <= m_options.maxConfigBytes) {
                bytes += entry->content.size();
                *message.add_configs() = toWire(*entry);
            }
        }
    }

    // Comparing views

    void compareBuckets(const v1::ExchangeRequest &request, v1::ExchangeResponse &response) const
    {
        if (request.wanted_buckets().empty()) {
            return;
        }
        std::set<std::string_view> named;
        for (const v1::MemberSummary &summary : request.summaries()) {
            named.insert(summary.daemon());
            const MemberRank offered { summary.incarnation(), summary.revision(), static_cast<MemberState>(summary.state()) };
            const MemberPointer known = m_view.findWithRemoved(summary.daemon());
            if (known && known->rank() > offered) {
                addMember(response, *known);
            } else if ((!known || known->rank() < offered) && static_cast<std::size_t>(response.wanted_members_size()) < m_options.maxEntries) {
                response.add_wanted_members(summary.daemon());
            }
        }
        for (const MemberPointer &member : m_view.entriesOf({ request.wanted_buckets().begin(), request.wanted_buckets().end() })) {
            if (member->isLive() && named.count(member->daemon) == 0) {
                addMember(response, *member);
            }
        }
    }

    std::vector<uint32_t> differingBuckets(const v1::ExchangeResponse &response)
    {
        std::vector<uint32_t> buckets;
        if (response.digest_size() != MembershipView<C>::BucketCount) {
            return buckets;
        }
        const auto own = m_view.digest();
        // Starting anywhere lets several comparisons with a limit cover all buckets.
        const auto start = static_cast<uint32_t>(randomBelow(own.size()));
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
        for (const uint32_t bucket : buckets) {
            if (static_cast<std::size_t>(request.summaries_size()) >= m_options.maxSummaries) {
                break;
            }
            request.add_wanted_buckets(bucket);
            for (const MemberPointer &member : m_view.entriesOf({ bucket })) {
                if (member->isLive()) {
                    v1::MemberSummary &summary = *request.add_summaries();
                    summary.set_daemon(member->daemon);
                    summary.set_incarnation(member->incarnation);
                    summary.set_revision(member->revision);
                    summary.set_state(static_cast<uint32_t>(member->state));
                }
            }
        }
        return request;
    }

    /** Brings the views of both daemons together, after an answer that carries the other's digest. */
    void reconcileMembers(const std::string &address, const Answer &first, unsigned maxRounds)
    {
        std::vector<MemberPointer> toSend = first.corrections;
        for (unsigned round = 0; round < maxRounds; ++round) {
            const std::vector<uint32_t> buckets = differingBuckets(first.response);
            if (buckets.empty() && toSend.empty()) {
                return;
            }
            v1::ExchangeRequest request = summaryRequest(buckets);
            for (const MemberPointer &member : toSend) {
                addMember(request, *member);
            }
            const bool hasSent = !toSend.empty();
            const std::optional<Answer> answer = call(address, first.response.daemon(), std::move(request), m_options.exchangeTimeout);
            if (!answer) {
                return;
            }
            toSend = answer->corrections;
            for (const std::string &daemon : answer->response.wanted_members()) {
                if (const MemberPointer member = m_view.find(daemon)) {
                    toSend.push_back(member);
                }
            }
            if (!hasSent && toSend.empty() && answer->changed == 0) {
                return;
            }
        }
    }

    /** Brings the configurations of both daemons together. @return whether all that the other one has are known here */
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
                if (m_configs.isWanted(entry.service(), entry.version(), entry.hash())) {
                    request.add_wanted_configs(entry.service());
                }
            }
            if (request.wanted_configs().empty()) {
                return true;
            }
            const uint64_t before = m_configs.sequence();
            if (!call(address, response.daemon(), std::move(request), m_options.exchangeTimeout) || m_configs.sequence() == before) {
                return false;
            }
        }
        return false;
    }

    void sendNewerConfigs(const std::string &address, const v1::ExchangeResponse &response)
    {
        std::map<std::string_view, uint64_t> versions;
        for (const v1::ConfigEntry &entry : response.configs()) {
            versions[entry.service()] = entry.version();
        }
        google::protobuf::RepeatedPtrField<std::string> newer;
        for (const auto &entry : m_configs.entries()) {
            const auto other = versions.find(entry->service);
            if (other == versions.end() || other->second < entry->version) {
                *newer.Add() = entry->service;
            }
        }
        if (!newer.empty()) {
            v1::ExchangeRequest request;
            addConfigs(newer, request);
            call(address, response.daemon(), std::move(request), m_options.exchangeTimeout);
        }
    }

    // Joining

    void join()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_clock.now() < m_joinAt) {
                return;
            }
        }
        if (joinBy(m_options.seeds) || (m_hooks.lookupSeeds && joinBy(m_hooks.lookupSeeds()))) {
            EventLog::write(LogLevel::Info, Event::JoinSucceeded, { { "members", std::to_string(m_view.members()->size()) } });
            const std::lock_guard lock(m_mutex);
            m_joinFailures = 0;
            return;
        }
        uint32_t failures = 0;
        {
            const std::lock_guard lock(m_mutex);
            constexpr uint32_t MaxDoublings = 3;
            failures = ++m_joinFailures;
            const Duration wait = m_options.interval * (1U << std::min(failures - 1, MaxDoublings));
            // Jitter keeps daemons that started together from asking the seeds together.
            std::uniform_real_distribution<double> jitter(0.5, 1.0);
            m_joinAt = m_clock.now() + std::chrono::duration_cast<Duration>(wait * jitter(m_random));
        }
        EventLog::write(
            LogLevel::Warning, Event::JoinFailed, { { "seeds", std::to_string(m_options.seeds.size()) }, { "attempts", std::to_string(failures) } });
    }

    bool joinBy(std::vector<std::string> addresses)
    {
        shuffle(addresses);
        const std::string ownAddress = m_view.own().peerAddress;
        for (const std::string &address : addresses) {
            if (address != ownAddress && meet(address, MaxJoinRounds)) {
                const std::lock_guard lock(m_mutex);
                if (!m_joined) {
                    // What the seed told is no news to the others.
                    m_pushedMembers = m_view.sequence();
                    m_pushedConfigs = m_configs.sequence();
                }
                m_joined = true;
                return true;
            }
        }
        return false;
    }

    /** Exchanges everything with a daemon of which only the address is known. */
    bool meet(const std::string &address, unsigned rounds)
    {
        v1::ExchangeRequest request;
        addMember(request, m_view.own());
        request.set_view_hash(m_view.hash());
        request.set_config_hash(m_configs.hash());
        request.set_joining(true);
        const std::optional<Answer> answer = call(address, {}, std::move(request), m_options.exchangeTimeout);
        if (!answer) {
            return false;
        }
        reconcileMembers(address, *answer, rounds);
        noteConfigs(reconcileConfigs(address, answer->response), answer->response);
        return true;
    }

    void noteConfigs(bool isComplete, const v1::ExchangeResponse &response)
    {
        if (isComplete && response.configs_known()) {
            m_ready = true;
        }
    }

    /** Looks for daemons that were lost by a partition: seeds that are no live members, and failed members. */
    void reconnect(uint64_t number)
    {
        std::set<std::string> live;
        std::vector<std::string> candidates;
        for (const MemberList members = m_view.members(); const MemberPointer &member : *members) {
            if (member->isLive()) {
                live.insert(member->peerAddress);
            } else if (member->state == MemberState::Failed) {
                candidates.push_back(member->peerAddress);
            }
        }
        candidates.insert(candidates.end(), m_options.seeds.begin(), m_options.seeds.end());
        // The store is read seldom, because it limits reads.
        constexpr uint64_t LookupTicks = 60;
        if (number % LookupTicks == 0 && m_hooks.lookupSeeds) {
            const std::vector<std::string> stored = m_hooks.lookupSeeds();
            candidates.insert(candidates.end(), stored.begin(), stored.end());
        }
        std::erase_if(candidates, [&](const std::string &address) { return live.count(address) > 0; });
        if (!candidates.empty()) {
            meet(candidates[randomBelow(candidates.size())], MaxRounds);
        }
    }

    // Links

    void refreshLinks()
    {
        const uint64_t sequence = m_view.sequence();
        {
            const std::lock_guard lock(m_mutex);
            if (m_linksAt == sequence) {
                return;
            }
        }
        const Neighbours neighbours = neighboursOf(*m_view.members(), m_view.ownId(), m_options.overlay);
        std::map<std::string, LinkPointer> links;
        const auto add = [&](const std::string &daemon, bool isRemote) {
            const MemberPointer member = m_view.find(daemon);
            if (!member) {
                return;
            }
            auto link = std::make_shared<Link>();
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
                link->memberCursor = m_pushedMembers;
                link->configCursor = m_pushedConfigs;
            }
        }
        m_links = std::move(links);
        m_isRepresentative = neighbours.isRepresentative;
        m_linksAt = sequence;
    }

    /** @return links that have something to send, marked as busy */
    std::vector<LinkPointer> pendingLinks()
    {
        const uint64_t members = m_view.sequence();
        const uint64_t configs = m_configs.sequence();
        const std::vector<v1::SuspectEntry> suspects = m_hooks.collectSuspects ? m_hooks.collectSuspects() : std::vector<v1::SuspectEntry> {};
        std::vector<LinkPointer> pending;
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock.now();
        for (const auto &[daemon, link] : m_links) {
            if (now < link->retryAt || link->isBusy.exchange(true)) {
                continue;
            }
            if (link->memberCursor < members || link->configCursor < configs || hasNewSuspects(*link, suspects)) {
                pending.push_back(link);
            } else {
                link->isBusy = false;
            }
        }
        m_pushedMembers = members;
        m_pushedConfigs = configs;
        return pending;
    }

    static std::pair<uint64_t, uint64_t> suspectKey(const v1::SuspectEntry &suspect)
    {
        return { stableHash(suspect.service(), suspect.fingerprint()), mixBits(suspect.revision()) ^ mixBits(suspect.state() * 65536U + suspect.crashes()) };
    }

    static bool hasNewSuspects(const Link &link, const std::vector<v1::SuspectEntry> &suspects)
    {
        return std::any_of(suspects.begin(), suspects.end(), [&](const v1::SuspectEntry &suspect) {
            const auto [key, value] = suspectKey(suspect);
            const auto sent = link.suspectsSent.find(key);
            return sent == link.suspectsSent.end() || sent->second != value;
        });
    }

    /** What a message of one link contains, kept until the message is answered. */
    struct Outgoing {
        v1::ExchangeRequest request;
        uint64_t memberCursor = 0;
        uint64_t configCursor = 0;
        std::unordered_map<uint64_t, uint64_t> suspects;
    };

    Outgoing newsFor(const Link &link)
    {
        Outgoing outgoing;
        MemberChanges members = m_view.changedSince(link.memberCursor, m_options.maxEntries, link.daemon);
        outgoing.memberCursor = members.next;
        for (const MemberPointer &member : members.members) {
            addMember(outgoing.request, *member);
        }
        const ConfigTable::Changes configs = m_configs.changedSince(link.configCursor);
        outgoing.configCursor = configs.next;
        for (const auto &entry : configs.entries) {
            *outgoing.request.add_configs() = versionOnly(*entry);
        }
        if (m_hooks.collectSuspects) {
            for (const v1::SuspectEntry &suspect : m_hooks.collectSuspects()) {
                const auto [key, value] = suspectKey(suspect);
                const auto sent = link.suspectsSent.find(key);
                if (sent == link.suspectsSent.end() || sent->second != value) {
                    *outgoing.request.add_suspects() = suspect;
                }
                outgoing.suspects[key] = value;
            }
        }
        return outgoing;
    }

    static bool isEmpty(const v1::ExchangeRequest &request)
    {
        return request.members().empty() && request.configs().empty() && request.suspects().empty();
    }

    /** Sends one message over a link that the caller has marked as busy. */
    std::optional<Answer> send(Link &link, Outgoing outgoing)
    {
        std::optional<Answer> answer = call(link.address, link.daemon, std::move(outgoing.request), m_options.exchangeTimeout);
        if (!answer) {
            constexpr uint32_t MaxDoublings = 3;
            const uint32_t failures = ++link.failures;
            const std::lock_guard lock(m_mutex);
            link.retryAt = m_clock.now() + m_options.interval / 2 * (1U << std::min(failures, MaxDoublings));
            return std::nullopt;
        }
        link.failures = 0;
        link.memberCursor = outgoing.memberCursor;
        link.configCursor = outgoing.configCursor;
        link.suspectsSent = std::move(outgoing.suspects);
        if (!answer->response.wanted_configs().empty()) {
            sendWantedConfigs(link, answer->response);
        }
        return answer;
    }

    void sendWantedConfigs(const Link &link, const v1::ExchangeResponse &response)
    {
        google::protobuf::RepeatedPtrField<std::string> rest = response.wanted_configs();
        while (!rest.empty()) {
            v1::ExchangeRequest request;
            addConfigs(rest, request);
            if (request.configs().empty() || !call(link.address, link.daemon, request, m_options.exchangeTimeout)) {
                return;
            }
            std::set<std::string_view> sent;
            for (const v1::ConfigEntry &entry : request.configs()) {
                sent.insert(entry.service());
            }
            google::protobuf::RepeatedPtrField<std::string> remaining;
            for (const std::string &service : rest) {
                if (sent.count(service) == 0) {
                    *remaining.Add() = service;
                }
            }
            rest = std::move(remaining);
        }
    }

    void push(Link &link)
    {
        // The limit keeps a large change, for instance a healed partition, from becoming one burst.
        constexpr unsigned MaxMessages = 2;
        for (unsigned message = 0; message < MaxMessages; ++message) {
            Outgoing outgoing = newsFor(link);
            if (isEmpty(outgoing.request)) {
                link.memberCursor = outgoing.memberCursor;
                link.configCursor = outgoing.configCursor;
                link.suspectsSent = std::move(outgoing.suspects);
                return;
            }
            const std::optional<Answer> answer = send(link, std::move(outgoing));
            if (!answer) {
                noteUnreachable(link.daemon);
                return;
            }
            sendCorrections(link.address, *answer);
        }
    }

    void sendCorrections(const std::string &address, const Answer &answer)
    {
        if (!answer.corrections.empty()) {
            v1::ExchangeRequest request;
            for (const MemberPointer &member : answer.corrections) {
                addMember(request, *member);
            }
            call(address, answer.response.daemon(), std::move(request), m_options.exchangeTimeout);
        }
    }

    LinkPointer nextLink(bool isRemote)
    {
        refreshLinks();
        const std::lock_guard lock(m_mutex);
        std::vector<LinkPointer> links;
        for (const auto &[daemon, link] : m_links) {
            if (link->isRemote == isRemote) {
                links.push_back(link);
            }
        }
        return links.empty() ? nullptr : links[m_turns[isRemote ? 1 : 0]++ % links.size()];
    }

    void heartbeat(const LinkPointer &link)
    {
        if (!link || link->isBusy.exchange(true)) {
            return;
        }
        Outgoing outgoing = newsFor(*link);
        outgoing.request.set_view_hash(m_view.hash());
        if (m_ticks >= link->compareConfigsAt) {
            outgoing.request.set_config_hash(m_configs.hash());
        }
        const std::optional<Answer> answer = send(*link, std::move(outgoing));
        if (answer) {
            m_joined = true;
            reconcileMembers(link->address, *answer, MaxRounds);
            const uint64_t before = m_configs.sequence();
            const bool isComplete = reconcileConfigs(link->address, answer->response);
            noteConfigs(isComplete, answer->response);
            if (answer->response.config_differs() && m_configs.sequence() == before) {
                // Versions that one of both rejects would otherwise be compared at each heartbeat.
                constexpr uint64_t QuietTicks = 20;
                link->compareConfigsAt = m_ticks + QuietTicks;
            }
        }
        link->isBusy = false;
        if (!answer) {
            heartbeatFailed(*link);
        }
    }

    void heartbeatFailed(const Link &link)
    {
        if (!link.isRemote) {
            check(link.daemon);
            return;
        }
        // The representatives known here may have been replaced while the regions were apart.
        constexpr uint32_t FailuresBeforeOthers = 3;
        const MemberPointer lost = m_view.find(link.daemon);
        if (!lost || link.failures < FailuresBeforeOthers) {
            return;
        }
        std::vector<MemberPointer> others;
        for (const MemberList members = m_view.members(); const MemberPointer &member : *members) {
            if (member->region == lost->region && member->isLive() && member != lost) {
                others.push_back(member);
            }
        }
        if (!others.empty()) {
            meet(others[randomBelow(others.size())]->peerAddress, MaxRounds);
        }
    }

    // Failure detection

    std::vector<std::string> takeChecks()
    {
        const std::lock_guard lock(m_mutex);
        // A lost data centre must not stop everything else for the time of many timeouts.
        constexpr std::size_t MaxChecks = 2;
        std::vector<std::string> checks;
        while (!m_checks.empty() && checks.size() < MaxChecks) {
            checks.push_back(*m_checks.begin());
            m_checks.erase(m_checks.begin());
        }
        if (m_checkedAt.size() > m_options.maxEntries) {
            const TimePoint now = m_clock.now();
            std::erase_if(m_checkedAt, [&](const auto &item) { return now - item.second >= 2 * m_options.interval; });
        }
        return checks;
    }

    /** Asks other daemons whether they reach a member, and marks it as suspected if none of them does. */
    void check(const std::string &daemon)
    {
        const MemberPointer member = m_view.find(daemon);
        // Each region judges its own daemons, so that a broken link between regions makes nobody fail.
        if (!member || daemon == m_view.ownId() || member->state >= MemberState::Suspected || member->region != m_view.own().region) {
            return;
        }
        const std::vector<MemberPointer> helpers = helpersFor(*member);
        v1::IndirectProbeRequest request;
        request.set_daemon(daemon);
        request.set_peer_address(member->peerAddress);
        request.set_timeout_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(m_options.probeTimeout).count()));
        std::size_t agreeing = 0;
        constexpr std::size_t MaxAsked = 4;
        for (std::size_t index = 0; index < std::min(MaxAsked, helpers.size()) && agreeing < Helpers; ++index) {
            const std::optional<bool> isReachable
                = m_transport.indirectProbe(helpers[index]->peerAddress, request, m_options.probeTimeout + m_options.exchangeTimeout);
            if (!isReachable) {
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_lastAnswer = m_clock.now();
            }
            if (*isReachable) {
                return;
            }
            ++agreeing;
        }
        // In a group of three daemons there is only one other to ask. Without any answer, this daemon itself may be cut off.
        if (agreeing > 0 && agreeing >= std::min(Helpers, helpers.size()) && m_view.suspect(daemon, member->rank())) {
            wake();
        }
    }

    /** @return live members to ask, in random order, those of the own region first */
    std::vector<MemberPointer> helpersFor(const Member &member)
    {
        std::vector<MemberPointer> helpers;
        for (const MemberList members = m_view.members(); const MemberPointer &candidate : *members) {
            if (candidate->state <= MemberState::Leaving && candidate->daemon != member.daemon && candidate->daemon != m_view.ownId()) {
                helpers.push_back(candidate);
            }
        }
        shuffle(helpers);
        std::stable_partition(helpers.begin(), helpers.end(), [&](const MemberPointer &candidate) { return candidate->region == member.region; });
        return helpers;
    }

    T &m_transport;
    const C &m_clock;
    MembershipView<C> &m_view;
    ConfigTable &m_configs;
    const GossipOptions m_options;
    const GossipHooks m_hooks;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_joined = false;
    std::atomic<uint64_t> m_ticks = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::size_t m_tasks = 0;
    std::mt19937_64 m_random;
    TimePoint m_lastAnswer;
    TimePoint m_joinAt;
    uint32_t m_joinFailures = 0;
    std::map<std::string, LinkPointer> m_links;
    uint64_t m_linksAt = 0;
    uint64_t m_pushedMembers = 0;
    uint64_t m_pushedConfigs = 0;
    bool m_isRepresentative = false;
    std::array<uint64_t, 2> m_turns {};
    std::set<std::string> m_checks;
    std::unordered_map<std::string, TimePoint> m_checkedAt;
    std::map<std::pair<std::string, uint64_t>, TimePoint> m_fetches;
};

} // namespace carobjunction
