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

/** Times and limits of a MembershipView. */
struct MembershipOptions {
    Duration suspicionTimeout = std::chrono::seconds(4); /**< Time in which a suspected member may refute. */
    Duration forgetTime = std::chrono::minutes(10); /**< Failed and left members are removed after this time. */
    /** Rank of removed members is kept for this time. Longer than a partition of regions (an hour) lasts. */
    Duration tombstoneTime = std::chrono::hours(24);
    Duration incarnationRaiseInterval = std::chrono::seconds(1); /**< Least time between two raises of the own incarnation. */
    std::size_t maxMembers = 8192; /**< Further members are ignored. */
};

/** What a merge did. */
struct MergeResult {
    std::size_t changed = 0; /**< Entries that were newer than the known ones. */
    std::vector<MemberPointer> corrections; /**< Known entries that are newer than those offered. */
    bool refuted = false; /**< An offered entry was wrong about this daemon, and a higher revision was published. */
};

/** Entries that changed after a cursor. */
struct MemberChanges {
    std::vector<MemberPointer> members;
    uint64_t next = 0; /**< Cursor for the following call. */
};

/**
 * This daemon's view of all daemons. Views that have seen the same entries are equal, whatever the order of merging.
 *
 * Thread-safe. The change handler is called without a lock held; calls from different threads may arrive in another
 * order than the changes were made, so handlers that keep state read the view again.
 */
template<MonotonicClock Clock = SteadyClock>
class MembershipView
{
public:
    static constexpr std::size_t BucketCount = 64;
    /** Greater incarnations and revisions are not valid, which leaves room for refuting any valid entry. */
    static constexpr uint64_t MaxCounter = uint64_t { 1 } << 62U;
    using Digest = std::array<uint64_t, BucketCount>;
    using ChangeHandler = std::function<void(const MemberChange &)>;

    /**
     * @param clock  source of time; must outlive the view
     * @param own  entry of this daemon
     */
    MembershipView(const Clock &clock, Member own, MembershipOptions options = {}) : m_clock(clock), m_options(options), m_own(own.daemon)
    {
        std::vector<MemberChange> changes;
        store(std::move(own), {}, changes);
    }

    /** Sets the function called after each change. Not thread-safe; call it before the view is shared. */
    void setChangeHandler(ChangeHandler handler)
    {
        m_handler = std::move(handler);
    }

    /** @return id of this daemon */
    const std::string &ownId() const
    {
        return m_own;
    }

    /** @return entry of this daemon */
    Member own() const
    {
        const std::lock_guard lock(m_mutex);
        return *m_records.at(m_own).member;
    }

    /**
     * Changes the own entry and raises its revision, unless @p change leaves it as it is.
     * @param change  sets fields other than daemon, incarnation and revision
     */
    void updateOwn(const std::function<void(Member &)> &change)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const Member &former = *m_records.at(m_own).member;
            Member updated = former;
            change(updated);
            if (updated == former) {
                return;
            }
            updated.daemon = m_own;
            updated.incarnation = former.incarnation;
            updated.revision = former.revision + 1;
            store(std::move(updated), {}, changes);
        }
        report(changes);
    }

    /**
     * Takes over entries that are newer than the known ones.
     * @param entries  valid entries, see isValid()
     * @param source  daemon that sent them; changedSince() does not send them back to it
     */
    MergeResult merge(const std::vector<Member> &entries, std::string_view source)
    {
        MergeResult result;
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            for (const Member &entry : entries) {
                if (entry.daemon == m_own) {
                    mergeOwn(entry, result, changes);
                } else {
                    mergeOther(entry, source, result, changes);
                }
            }
        }
        report(changes);
        return result;
    }

    /**
     * Marks a member as suspected.
     * @param rank  rank that was found unreachable; a member that has a newer one since is left alone
     * @return whether the member is suspected now and was not before
     */
    bool suspect(const std::string &daemon, const MemberRank &rank)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_records.find(daemon);
            if (daemon == m_own || found == m_records.end() || found->second.member->rank() != rank || rank.state >= MemberState::Suspected) {
                return false;
            }
            Member suspected = *found->second.member;
            suspected.wasLeaving = rank.state == MemberState::Leaving;
            suspected.state = MemberState::Suspected;
            store(std::move(suspected), {}, changes);
        }
        report(changes);
        return true;
    }

    /**
     * Applies the suspicion timeout and removes former members. Call it about once a second.
     * @param mayFail  whether suspected members may become failed; false while this daemon reaches nobody
     */
    void expire(bool mayFail)
    {
        std::vector<MemberChange> changes;
        {
            const std::lock_guard lock(m_mutex);
            const TimePoint now = m_clock.now();
            const std::string region = m_records.at(m_own).member->region;
            std::vector<Member> failed;
            std::vector<std::string> forgotten;
            for (const auto &[daemon, record] : m_records) {
                const Member &member = *record.member;
                const Duration age = now - record.since;
                // Each region judges its own daemons: a refutation may not get through from a region that is cut off.
                if (mayFail && member.state == MemberState::Suspected && member.region == region && age >= m_options.suspicionTimeout) {
                    failed.push_back(member);
                    failed.back().state = MemberState::Failed;
                } else if (!member.isLive() && daemon != m_own && age >= m_options.forgetTime) {
                    forgotten.push_back(daemon);
                }
            }
            for (Member &member : failed) {
                store(std::move(member), {}, changes);
            }
            for (const std::string &daemon : forgotten) {
                forget(daemon, now, changes);
            }
            std::erase_if(m_tombstones, [&](const auto &item) { return now - item.second.since >= m_options.tombstoneTime; });
        }
        report(changes);
    }

    /** @return entry of a daemon, or null if none is known */
    MemberPointer find(const std::string &daemon) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_records.find(daemon);
        return found == m_records.end() ? nullptr : found->second.member;
    }

    /** @return all entries, in the order of their ids; the caller must hold the list while it uses an entry, as a change replaces it */
    MemberList members() const
    {
        const std::lock_guard lock(m_mutex);
        if (!m_members) {
            m_members = collect([](const Member &) { return true; });
        }
        return m_members;
    }

    /** @return the members whose target routing may choose, in the order of their ids; never null */
    MemberList targets(const std::string &service) const
    {
        const std::lock_guard lock(m_mutex);
        MemberList &list = m_targets[service];
        if (!list) {
            // A caller may ask for any name, so lists of unknown services are not kept.
            list = collect([&](const Member &member) { return member.service == service && member.acceptsWork(); });
            if (list->empty()) {
                MemberList empty = std::move(list);
                m_targets.erase(service);
                return empty;
            }
        }
        return list;
    }

    /** @return number of the last change; grows with each change */
    uint64_t sequence() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sequence;
    }

    /**
     * @param cursor  0, or a value of MemberChanges::next
     * @param limit  greatest number of entries
     * @param destination  daemon that will get them; entries that came from it are left out
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
                // The daemon itself needs to know, so that it can refute.
                changes.members.push_back(record.member);
            }
            changes.next = next->first;
        }
        return changes;
    }

    /** @return one order-independent hash of the live entries of each bucket */
    Digest digest() const
    {
        const std::lock_guard lock(m_mutex);
        return m_digest;
    }

    /** @return hash of all live entries, never 0 */
    uint64_t hash() const
    {
        const std::lock_guard lock(m_mutex);
        uint64_t result = 0;
        for (const uint64_t bucket : m_digest) {
            result = mixBits(result ^ bucket);
        }
        return std::max<uint64_t>(result, 1);
    }

    /** @return entries of the given buckets, dead ones included */
    std::vector<MemberPointer> entriesOf(const std::vector<uint32_t> &buckets) const
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

    /** @return newest known entry, also of a removed member; null if the daemon was never known */
    MemberPointer findWithRemoved(const std::string &daemon) const
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_records.find(daemon); found != m_records.end()) {
            return found->second.member;
        }
        const auto removed = m_tombstones.find(daemon);
        return removed == m_tombstones.end() ? nullptr : removed->second.member;
    }

    static std::size_t bucketOf(std::string_view daemon)
    {
        return stableHash(daemon) % BucketCount;
    }

    /** @return whether the counters and the state of an entry are in their ranges and it names a daemon, a region and an address */
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
        TimePoint since;
    };
    struct Tombstone {
        MemberPointer member;
        TimePoint since;
    };

    static uint64_t digestOf(const Member &member)
    {
        if (!member.isLive()) {
            // Daemons forget dead members at different times, so these don't count in the digest.
            return 0;
        }
        const uint64_t counters = mixBits(member.incarnation) ^ mixBits(member.revision * 8 + static_cast<uint64_t>(member.state) + 1);
        return stableHash(member.daemon, counters);
    }

    void store(Member entry, std::string_view source, std::vector<MemberChange> &changes)
    {
        Record &record = m_records[entry.daemon];
        const MemberPointer former = record.member;
        record.member = std::make_shared<const Member>(std::move(entry));
        record.source = source;
        record.since = m_clock.now();
        uint64_t &bucket = m_digest.at(bucketOf(record.member->daemon));
        bucket ^= digestOf(*record.member);
        if (former) {
            bucket ^= digestOf(*former);
            m_bySequence.erase(record.sequence);
            m_targets.erase(former->service);
        }
        record.sequence = ++m_sequence;
        m_bySequence.emplace(record.sequence, record.member->daemon);
        m_targets.erase(record.member->service);
        m_members.reset();
        changes.push_back({ former, record.member });
    }

    void forget(const std::string &daemon, TimePoint now, std::vector<MemberChange> &changes)
    {
        const auto found = m_records.find(daemon);
        const MemberPointer member = found->second.member;
        m_bySequence.erase(found->second.sequence);
        m_records.erase(found);
        m_members.reset();
        m_tombstones[daemon] = { member, now };
        changes.push_back({ member, nullptr });
    }

    void mergeOther(const Member &entry, std::string_view source, MergeResult &result, std::vector<MemberChange> &changes)
    {
        if (const auto removed = m_tombstones.find(entry.daemon); removed != m_tombstones.end()) {
            if (entry.rank() <= removed->second.member->rank()) {
                if (entry.isLive()) {
                    result.corrections.push_back(removed->second.member);
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
        } else if (entry.rank() <= found->second.member->rank()) {
            if (entry.rank() < found->second.member->rank()) {
                result.corrections.push_back(found->second.member);
            }
            return;
        }
        store(entry, source, changes);
        ++result.changed;
    }

    void mergeOwn(const Member &entry, MergeResult &result, std::vector<MemberChange> &changes)
    {
        Member own = *m_records.at(m_own).member;
        if (entry.rank() <= own.rank()) {
            if (entry.rank() < own.rank()) {
                result.corrections.push_back(m_records.at(m_own).member);
            }
            return;
        }
        if (entry.incarnation > own.incarnation) {
            // The clock went back at a restart, or two processes have the same id. The interval keeps the latter from
            // raising each other's incarnation at the speed of the network.
            const TimePoint now = m_clock.now();
            if (m_raisedAt && now - *m_raisedAt < m_options.incarnationRaiseInterval) {
                return;
            }
            m_raisedAt = now;
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
    MemberList collect(Filter isWanted) const
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

    void report(const std::vector<MemberChange> &changes) const
    {
        if (m_handler) {
            for (const MemberChange &change : changes) {
                m_handler(change);
            }
        }
    }

    const Clock &m_clock;
    const MembershipOptions m_options;
    const std::string m_own;
    ChangeHandler m_handler;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Record> m_records;
    std::unordered_map<std::string, Tombstone> m_tombstones;
    std::map<uint64_t, std::string> m_bySequence;
    uint64_t m_sequence = 0;
    Digest m_digest {};
    std::optional<TimePoint> m_raisedAt;
    mutable MemberList m_members;
    mutable std::unordered_map<std::string, MemberList> m_targets;
};

} // namespace carobjunction
