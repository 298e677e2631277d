#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/suspectentry.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carobjunction
{

namespace detail
{

/** @return whether @p a takes precedence over @p b, an entry of the same fingerprint. A total order over all fields except the expiry. */
bool supersedes(const SuspectEntry &a, const SuspectEntry &b);

/** @return the revision that follows @p revision after a change other than an operator's clear */
uint64_t revisionAfterChange(uint64_t revision);

/** @return the revision after an operator's clear; higher than all revisions since the previous clear, including those not yet received */
uint64_t revisionAfterClear(uint64_t revision);

} // namespace detail

/**
 * Replicated table of the fingerprints of requests that were in flight when a backend server crashed. Thread-safe.
 *
 * The first crash makes every request in flight a suspect. A suspect is condemned only if the backend server crashes while no request
 * with another fingerprint is in flight. Entries of other daemons are merged: of two entries of a fingerprint, the one that supersedes the other
 * is kept, so that merging is commutative and idempotent.
 */
template<MonotonicClock Clock>
class SuspectTable
{
public:
    /** Time after its last change at which an entry expires. */
    static constexpr Duration Expiry = std::chrono::minutes(10);
    /** Time for which an expired entry is retained, so that copies of peers that expire later don't restore it. */
    static constexpr Duration Retention = std::chrono::minutes(10);
    /** Maximum number of entries; beyond it, the entry with the earliest expiry is evicted. */
    static constexpr size_t MaxEntries = 10'000;

    /** @param clock  must outlive the table */
    explicit SuspectTable(const Clock &clock) : m_clock(clock)
    {
    }

    /**
     * Records a crash of a backend server.
     * @param service  service of the backend server
     * @param inFlight  fingerprints of all requests that were in flight on it
     * @return the changed entries, for gossip and the event log
     */
    std::vector<SuspectEntry> onCrash(const std::string &service, std::span<const uint64_t> inFlight);

    /**
     * Records that a request was answered completely. Clears the fingerprint if it was a suspect and ran alone.
     * @param ranAlone  whether no other request was in flight on the backend server
     * @return the changed entry, empty if nothing changed
     */
    std::optional<SuspectEntry> onRequestCompleted(uint64_t fingerprint, bool ranAlone);

    /** @return the current state of a fingerprint; clear if there is no entry or it has expired */
    SuspectState state(uint64_t fingerprint) const;

    /**
     * Clears a fingerprint on behalf of an operator. Supersedes every earlier change, including those of other daemons that this daemon
     * has not received yet.
     * @return the changed entry
     */
    SuspectEntry clear(uint64_t fingerprint);

    /** @return the entries that have not expired, ordered by fingerprint */
    std::vector<SuspectEntry> entries() const;

    /**
     * Merges an entry received from another daemon.
     * @return whether it changed this table and so must be forwarded to other daemons
     */
    bool merge(const SuspectEntry &entry);

private:
    struct StoredEntry {
        SuspectEntry entry;
        TimePoint expiresAt;
    };

    SuspectEntry toEntry(const StoredEntry &stored, TimePoint now) const
    {
        SuspectEntry entry = stored.entry;
        entry.expiresIn = stored.expiresAt - now;
        return entry;
    }

    StoredEntry &findOrCreate(uint64_t fingerprint, TimePoint now);
    void prune(TimePoint now);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<uint64_t, StoredEntry> m_entries;
};

template<MonotonicClock Clock>
std::vector<SuspectEntry> SuspectTable<Clock>::onCrash(const std::string &service, std::span<const uint64_t> inFlight)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<uint64_t> fingerprints(inFlight.begin(), inFlight.end());
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    std::vector<SuspectEntry> changed;
    for (const uint64_t fingerprint : fingerprints) {
        StoredEntry &stored = findOrCreate(fingerprint, now);
        const bool isAlone = fingerprints.size() == 1;
        const bool isCondemned = stored.entry.state == SuspectState::Condemned || (isAlone && stored.entry.state == SuspectState::Suspect);
        stored.entry.service = service;
        stored.entry.state = isCondemned ? SuspectState::Condemned : SuspectState::Suspect;
        ++stored.entry.crashes;
        stored.entry.revision = detail::revisionAfterChange(stored.entry.revision);
        stored.expiresAt = now + Expiry;
        changed.push_back(toEntry(stored, now));
    }
    prune(now);
    return changed;
}

template<MonotonicClock Clock>
std::optional<SuspectEntry> SuspectTable<Clock>::onRequestCompleted(uint64_t fingerprint, bool ranAlone)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto found = m_entries.find(fingerprint);
    if (!ranAlone || found == m_entries.end() || found->second.expiresAt <= now || found->second.entry.state != SuspectState::Suspect) {
        return std::nullopt;
    }
    StoredEntry &stored = found->second;
    stored.entry.state = SuspectState::Clear;
    stored.entry.crashes = 0;
    stored.entry.revision = detail::revisionAfterChange(stored.entry.revision);
    stored.expiresAt = now + Expiry;
    return toEntry(stored, now);
}

template<MonotonicClock Clock>
SuspectState SuspectTable<Clock>::state(uint64_t fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || found->second.expiresAt <= m_clock.now() ? SuspectState::Clear : found->second.entry.state;
}

template<MonotonicClock Clock>
SuspectEntry SuspectTable<Clock>::clear(uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    StoredEntry &stored = findOrCreate(fingerprint, now);
    stored.entry.state = SuspectState::Clear;
    stored.entry.crashes = 0;
    stored.entry.revision = detail::revisionAfterClear(stored.entry.revision);
    stored.expiresAt = now + Expiry;
    return toEntry(stored, now);
}

template<MonotonicClock Clock>
std::vector<SuspectEntry> SuspectTable<Clock>::entries() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<SuspectEntry> result;
    for (const auto &[fingerprint, stored] : m_entries) {
        if (stored.expiresAt > now) {
            result.push_back(toEntry(stored, now));
        }
    }
    return result;
}

template<MonotonicClock Clock>
bool SuspectTable<Clock>::merge(const SuspectEntry &entry)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    const Duration remaining = std::min(entry.expiresIn, Expiry);
    if (entry.fingerprint == 0 || remaining <= Duration::zero()) {
        return false;
    }
    const auto found = m_entries.find(entry.fingerprint);
    if (found != m_entries.end()) {
        StoredEntry &stored = found->second;
        // A restarted daemon begins with low revisions again, so an entry that was created after the stored one expired replaces it regardless
        // of its revision.
        const bool isCreatedAfterExpiry = now + remaining - Expiry > stored.expiresAt;
        if (!detail::supersedes(entry, stored.entry) && !isCreatedAfterExpiry) {
            if (!detail::supersedes(stored.entry, entry)) {
                // For equal entries, the earlier expiry is kept: the later expiry would increase by the transit time with each exchange.
                stored.expiresAt = std::min(stored.expiresAt, now + remaining);
            }
            return false;
        }
    }
    m_entries.insert_or_assign(entry.fingerprint, StoredEntry { entry, now + remaining });
    prune(now);
    return true;
}

/** @return the stored entry to change, created if necessary. An expired entry is reset to clear but continues its revision. */
template<MonotonicClock Clock>
typename SuspectTable<Clock>::StoredEntry &SuspectTable<Clock>::findOrCreate(uint64_t fingerprint, TimePoint now)
{
    StoredEntry &stored = m_entries.try_emplace(fingerprint, StoredEntry { { fingerprint }, now }).first->second;
    if (stored.expiresAt <= now) {
        const bool wasCondemned = stored.entry.state == SuspectState::Condemned;
        stored.entry.state = SuspectState::Clear;
        stored.entry.crashes = 0;
        // Between two clears, a condemned entry supersedes all others, and it may not have expired on other daemons yet. The new entry
        // therefore counts as a clear.
        stored.entry.revision = wasCondemned ? detail::revisionAfterClear(stored.entry.revision) : stored.entry.revision;
    }
    return stored;
}

template<MonotonicClock Clock>
void SuspectTable<Clock>::prune(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) { return item.second.expiresAt + Retention <= now; });
    while (m_entries.size() > MaxEntries) {
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) { return a.second.expiresAt < b.second.expiresAt; }));
    }
}

} // namespace carobjunction
