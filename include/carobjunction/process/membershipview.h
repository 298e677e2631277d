#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/member.h>
#include <carobjunction/process/stablehash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace carobjunction
{

/** Timeouts and limits of a MembershipView. */
struct MembershipOptions {
    Duration suspicionTimeout = std::chrono::seconds(4); /**< Time within which a suspected member can refute the suspicion before it is marked as failed. */
    Duration removalDelay = std::chrono::minutes(10); /**< Time after which failed and left members are removed. */
    /**
     * Time for which the last entry of a removed member is retained as a tombstone, so that older entries of the member are not added again.
     * Longer than a network partition between regions lasts (up to an hour).
     */
    Duration tombstoneRetention = std::chrono::hours(24);
    Duration minIncarnationRaiseInterval = std::chrono::seconds(1); /**< Minimum time between two increases of this daemon's incarnation. */
    std::size_t maxMembers = 8192; /**< Maximum number of members; entries of further members are ignored. */
};

/** Result of MembershipView::merge(). */
struct MergeResult {
    std::size_t changed = 0; /**< Number of merged entries that were newer than the local ones. */
    std::vector<MemberPointer> newerEntries; /**< Local entries that are newer than those received. */
    bool refuted = false; /**< A received entry of this daemon was wrong, and this daemon has published a newer one. */
};

/** Entries that have changed since a cursor. */
struct MemberChanges {
    std::vector<MemberPointer> members;
    uint64_t next = 0; /**< Cursor to pass to the next call. */
};

/**
 * Membership of the cluster as known to this daemon. Views that have merged the same entries are equal, regardless of the order of merging.
 *
 * Thread-safe. The change handler is called without holding a lock. Calls from different threads may be made in a different order
 * than the changes, so a handler that keeps state must read the current entry from the view.
 */
template<MonotonicClock Clock = SteadyClock>
class MembershipView
{
public:
    /** Number of buckets into which the entries are divided for the comparison of digests. */
    static constexpr std::size_t BucketCount = 64;
    /** Exclusive upper bound of valid incarnations and revisions. It leaves room for a greater value, so that any valid entry can be refuted. */
    static constexpr uint64_t MaxCounter = uint64_t { 1 } << 62U;
    using Digest = std::array<uint64_t, BucketCount>;
    using ChangeHandler = std::function<void(const MemberChange &)>;

    /**
     * @param clock  time source; must outlive the view
     * @param own  entry of this daemon
     */
    MembershipView(const Clock &clock, Member own, MembershipOptions options = {}) : m_clock(clock), m_options(options), m_ownId(own.daemon)
    {
        std::vector<MemberChange> changes;
        store(std::move(own), {}, changes);
    }

    /** Sets the handler that is called after each change. Not thread-safe; must be called before the view is shared between threads. */
    void setChangeHandler(ChangeHandler handler)
    {
        m_changeHandler = std::move(handler);
    }

    /** @return id of this daemon */
    const std::string &ownId() const
    {
        return m_ownId;
    }

    /** @return entry of this daemon */
    Member own() const
    {
        const std::lock_guard lock(m_mutex);
        return *m_records.at(m_ownId).member;
    }

    /**
     * Changes the entry of this daemon. Increments its revision if @p change modifies the entry.
     * @param change  function that modifies the entry; changes of daemon, incarnation and revision are discarded
     */
    void updateOwn(const std::function<void(Member &)> &change)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const Member &previous = *m_records.at(m_ownId).member;
            Member updated = previous;
            change(updated);
            if (updated == previous) {
                return;
            }
            updated.daemon = m_ownId;
            updated.incarnation = previous.incarnation;
            updated.revision = previous.revision + 1;
            store(std::move(updated), {}, changes);
        }
        notifyChanges(changes);
    }

    /**
     * Replaces local entries by those of @p entries that are newer.
     * @param entries  entries to merge; must be valid, see isValid()
     * @param source  id of the daemon that sent the entries; changedSince() omits them for this daemon
     */
    MergeResult merge(const std::vector<Member> &entries, std::string_view source)
    {
        MergeResult result;
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            for (const Member &entry : entries) {
                if (entry.daemon == m_ownId) {
                    mergeOwnEntry(entry, result, changes);
                } else {
                    mergeRemoteEntry(entry, source, result, changes);
                }
            }
        }
        notifyChanges(changes);
        return result;
    }

    /**
     * Marks a member as suspected.
     * @param daemon  id of the unreachable member
     * @param entryVersion  version of the entry whose daemon was unreachable; there is no effect if the entry has changed since
     * @return whether the member has become suspected
     */
    bool suspect(const std::string &daemon, const MemberEntryVersion &entryVersion)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_records.find(daemon);
            if (daemon == m_ownId || found == m_records.end() || found->second.member->entryVersion() != entryVersion
                || entryVersion.state >= MemberState::Suspected) {
                return false;
            }
            Member suspected = *found->second.member;
            suspected.wasLeaving = entryVersion.state == MemberState::Leaving;
            suspected.state = MemberState::Suspected;
            store(std::move(suspected), {}, changes);
        }
        notifyChanges(changes);
        return true;
    }

    /**
     * Marks members whose suspicion timeout has passed as failed, and removes failed and left members. To be called about once a second.
     * @param mayMarkFailed  whether suspected members may be marked as failed; false while this daemon cannot reach any other
     */
    void expire(bool mayMarkFailed)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = m_clock.now();
            const std::string region = m_records.at(m_ownId).member->region;
            std::vector<Member> failed;
            std::vector<std::string> expiredDaemons;
            for (const auto &[daemon, record] : m_records) {
                const Member &member = *record.member;
                const Duration age = now - record.changedAt;
                // Only daemons of the same region mark a member as failed, because a refutation from a partitioned region may not arrive.
                if (mayMarkFailed && member.state == MemberState::Suspected && member.region == region && age >= m_options.suspicionTimeout) {
                    failed.push_back(member);
                    failed.back().state = MemberState::Failed;
                } else if (!member.isLive() && daemon != m_ownId && age >= m_options.removalDelay) {
                    expiredDaemons.push_back(daemon);
                }
            }
            for (Member &member : failed) {
                store(std::move(member), {}, changes);
            }
            for (const std::string &daemon : expiredDaemons) {
                removeMember(daemon, now, changes);
            }
            std::erase_if(m_tombstones, [&](const auto &item) { return now - item.second.removedAt >= m_options.tombstoneRetention; });
        }
        notifyChanges(changes);
    }

    /** @return entry of @p daemon, or null if there is none */
    MemberPointer find(const std::string &daemon) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_records.find(daemon);
        return found == m_records.end() ? nullptr : found->second.member;
    }

    /** @return all entries, sorted by id; the caller must hold the list while it uses an entry, because a change replaces the list */
    MemberList members() const
    {
        const std::lock_guard lock(m_mutex);
        if (!m_cachedMembers) {
            m_cachedMembers = collectMembers([](const Member &) { return true; });
        }
        return m_cachedMembers;
    }

    /** @return members whose targets run @p service and may be selected by routing, sorted by id; never null */
    MemberList targets(const std::string &service) const
    {
        const std::lock_guard lock(m_mutex);
        MemberList &list = m_cachedTargets[service];
        if (!list) {
            // Callers can request arbitrary service names, so lists of unknown services are not cached.
            list = collectMembers([&](const Member &member) { return member.service == service && member.acceptsWork(); });
            if (list->empty()) {
                MemberList empty = std::move(list);
                m_cachedTargets.erase(service);
                return empty;
            }
        }
        return list;
    }

    /** @return sequence number of the last change */
    uint64_t sequence() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sequence;
    }

    /**
     * Returns the entries that have changed since a cursor.
     * @param cursor  MemberChanges::next of the previous call, or 0 for all entries
     * @param limit  maximum number of entries
     * @param destination  id of the daemon to which the entries will be sent; entries received from it are omitted
     */
    MemberChanges changedSince(uint64_t cursor, std::size_t limit, std::string_view destination) const
    {
        const std::lock_guard lock(m_mutex);
        MemberChanges changes;
        changes.next = cursor;
        for (auto next = m_bySequence.upper_bound(cursor); next != m_bySequence.end() && changes.members.size() < limit; ++next) {
            const Record &record = m_records.at(next->second);
            if (record.source != destination && record.member->daemon != destination) {
                changes.members.push_back(record.member);
            } else if (record.member->daemon == destination && record.member->state >= MemberState::Suspected) {
                // The entry is sent to the suspected or failed daemon itself, so that it can refute it.
                changes.members.push_back(record.member);
            }
            changes.next = next->first;
        }
        return changes;
    }

    /** @return order-independent hashes of the live entries, one per bucket */
    Digest digest() const
    {
        const std::lock_guard lock(m_mutex);
        return m_digest;
    }

    /** @return hash of all live entries; never 0 */
    uint64_t hash() const
    {
        const std::lock_guard lock(m_mutex);
        uint64_t result = 0;
        for (const uint64_t bucket : m_digest) {
            result = mixBits(result ^ bucket);
        }
        return std::max<uint64_t>(result, 1);
    }

    /** @return entries in the given buckets, including those of failed and left members */
    std::vector<MemberPointer> entriesInBuckets(const std::vector<uint32_t> &buckets) const
    {
        std::array<bool, BucketCount> isWanted {};
        for (const uint32_t bucket : buckets) {
            isWanted.at(bucket % BucketCount) = true;
        }
        std::vector<MemberPointer> entries;
        for (const MemberList list = members(); const MemberPointer &member : *list) {
            if (isWanted.at(bucketOf(member->daemon))) {
                entries.push_back(member);
            }
        }
        return entries;
    }

    /** @return newest entry of @p daemon, even if it was removed; null if there is no entry and no tombstone */
    MemberPointer findIncludingRemoved(const std::string &daemon) const
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_records.find(daemon); found != m_records.end()) {
            return found->second.member;
        }
        const auto removed = m_tombstones.find(daemon);
        return removed == m_tombstones.end() ? nullptr : removed->second.member;
    }

    /** @return index of the bucket that contains the entry of @p daemon */
    static std::size_t bucketOf(std::string_view daemon)
    {
        return stableHash(daemon) % BucketCount;
    }

    /** @return whether the counters and the state of an entry are in range and it contains a daemon id, a region and a peer address */
    static bool isValid(const Member &member)
    {
        return !member.daemon.empty() && !member.region.empty() && !member.peerAddress.empty() && member.incarnation > 0 && member.incarnation < MaxCounter
            && member.revision < MaxCounter && !nameOf(member.state).empty();
    }

private:
    struct Record {
        MemberPointer member;
        uint64_t sequence = 0;
        std::string source;
        TimePoint changedAt;
    };
    struct Tombstone {
        MemberPointer member;
        TimePoint removedAt;
    };

    static uint64_t digestOf(const Member &member)
    {
        if (!member.isLive()) {
            // Daemons remove failed and left members at different times, so the digest does not cover them.
            return 0;
        }
        const uint64_t counters = mixBits(member.incarnation) ^ mixBits(member.revision * 8 + static_cast<uint64_t>(member.state) + 1);
        return stableHash(member.daemon, counters);
    }

    void store(Member entry, std::string_view source, std::vector<MemberChange> &changes)
    {
        Record &record = m_records[entry.daemon];
        const MemberPointer previous = record.member;
        record.member = std::make_shared<const Member>(std::move(entry));
        record.source = source;
        record.changedAt = m_clock.now();
        uint64_t &bucket = m_digest.at(bucketOf(record.member->daemon));
        bucket ^= digestOf(*record.member);
        if (previous) {
            bucket ^= digestOf(*previous);
            m_bySequence.erase(record.sequence);
            m_cachedTargets.erase(previous->service);
        }
        record.sequence = ++m_sequence;
        m_bySequence.emplace(record.sequence, record.member->daemon);
        m_cachedTargets.erase(record.member->service);
        m_cachedMembers.reset();
        changes.push_back({ previous, record.member });
    }

    void removeMember(const std::string &daemon, TimePoint now, std::vector<MemberChange> &changes)
    {
        const auto found = m_records.find(daemon);
        const MemberPointer member = found->second.member;
        m_bySequence.erase(found->second.sequence);
        m_records.erase(found);
        m_cachedMembers.reset();
        m_tombstones[daemon] = { member, now };
        changes.push_back({ member, nullptr });
    }

    void mergeRemoteEntry(const Member &entry, std::string_view source, MergeResult &result, std::vector<MemberChange> &changes)
    {
        if (const auto removed = m_tombstones.find(entry.daemon); removed != m_tombstones.end()) {
            if (entry.entryVersion() <= removed->second.member->entryVersion()) {
                if (entry.isLive()) {
                    result.newerEntries.push_back(removed->second.member);
                }
                return;
            }
            if (!entry.isLive()) {
                removed->second.member = std::make_shared<const Member>(entry);
                return;
            }
            m_tombstones.erase(removed);
        }
        const auto found = m_records.find(entry.daemon);
        if (found == m_records.end()) {
            if (m_records.size() >= m_options.maxMembers) {
                return;
            }
        } else if (entry.entryVersion() <= found->second.member->entryVersion()) {
            if (entry.entryVersion() < found->second.member->entryVersion()) {
                result.newerEntries.push_back(found->second.member);
            }
            return;
        }
        store(entry, source, changes);
        ++result.changed;
    }

    void mergeOwnEntry(const Member &entry, MergeResult &result, std::vector<MemberChange> &changes)
    {
        Member own = *m_records.at(m_ownId).member;
        if (entry.entryVersion() <= own.entryVersion()) {
            if (entry.entryVersion() < own.entryVersion()) {
                result.newerEntries.push_back(m_records.at(m_ownId).member);
            }
            return;
        }
        if (entry.incarnation > own.incarnation) {
            // Either the clock was set back before a restart, or two processes use the same id. The minimum interval prevents
            // two such processes from continuously raising each other's incarnation.
            const TimePoint now = m_clock.now();
            if (m_incarnationRaisedAt && now - *m_incarnationRaisedAt < m_options.minIncarnationRaiseInterval) {
                return;
            }
            m_incarnationRaisedAt = now;
            own.incarnation = entry.incarnation + 1;
            own.revision = 0;
        } else {
            own.revision = entry.revision + 1;
        }
        store(std::move(own), {}, changes);
        result.refuted = true;
        ++result.changed;
    }

    template<typename Filter>
    MemberList collectMembers(Filter isWanted) const
    {
        std::vector<MemberPointer> list;
        for (const auto &[daemon, record] : m_records) {
            if (isWanted(*record.member)) {
                list.push_back(record.member);
            }
        }
        std::sort(list.begin(), list.end(), [](const MemberPointer &left, const MemberPointer &right) { return left->daemon < right->daemon; });
        return std::make_shared<const std::vector<MemberPointer>>(std::move(list));
    }

    void notifyChanges(const std::vector<MemberChange> &changes) const
    {
        if (m_changeHandler) {
            for (const MemberChange &change : changes) {
                m_changeHandler(change);
            }
        }
    }

    const Clock &m_clock;
    const MembershipOptions m_options;
    const std::string m_ownId;
    ChangeHandler m_changeHandler;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Record> m_records;
    std::unordered_map<std::string, Tombstone> m_tombstones;
    std::map<uint64_t, std::string> m_bySequence;
    uint64_t m_sequence = 0;
    Digest m_digest {};
    std::optional<TimePoint> m_incarnationRaisedAt;
    mutable MemberList m_cachedMembers;
    mutable std::unordered_map<std::string, MemberList> m_cachedTargets;
};

} // namespace carobjunction
