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

/** @return whether @p a says more than @p b about the same fingerprint. A total order but for the expiry. */
bool supersedes(const SuspectEntry &a, const SuspectEntry &b);

/** @return revision after a change that is not an operator's clear */
uint64_t nextRevision(uint64_t revision);

/** @return revision after an operator's clear, above all revisions before it even where some are not known here */
uint64_t clearedRevision(uint64_t revision);

} // namespace detail

/**
 * Fingerprints of requests that were in flight when a backend server crashed. Thread-safe.
 *
 * The first crash makes every request in flight a suspect. A suspect is condemned only by a crash while it runs alone,
 * never by one in company. Entries of several daemons are merged: the entry that supersedes the other wins, so the order and
 * the repetition of merges make no difference.
 */
template<MonotonicClock Clock>
class SuspectTable
{
public:
    /** Time after the last change for which an entry holds. */
    static constexpr Duration Expiry = std::chrono::minutes(10);
    /** Time for which an expired entry is remembered, so that peers whose copy expires later do not bring it back. */
    static constexpr Duration Retention = std::chrono::minutes(10);
    /** Most entries kept; beyond, the one that expires first is dropped. */
    static constexpr size_t MaxEntries = 10'000;

    /** @param clock  must outlive the table */
    explicit SuspectTable(const Clock &clock) : m_clock(clock)
    {
    }

    /**
     * Records the crash of a backend server.
     * @param inFlight  fingerprints of all requests that it was running
     * @return the changed entries, for gossip and the event log
     */
    std::vector<SuspectEntry> onCrash(const std::string &service, std::span<const uint64_t> inFlight);

    /**
     * Records a complete answer. Clears a suspect if it ran alone.
     * @return the changed entry, or empty if nothing changed
     */
    std::optional<SuspectEntry> onCleanRun(uint64_t fingerprint, bool ranAlone);

    /** @return how to treat requests with this fingerprint now */
    SuspectState state(uint64_t fingerprint) const;

    /**
     * Clears a fingerprint on behalf of an operator. Wins over every suspicion raised before, also over those that
     * this daemon has not heard of yet.
     */
    SuspectEntry clear(uint64_t fingerprint);

    /** @return the entries that have not expired, in the order of the fingerprints */
    std::vector<SuspectEntry> entries() const;

    /** Takes an entry of another daemon. @return whether it changed this table, and so is news for other daemons */
    bool merge(const SuspectEntry &entry);

private:
    struct Held {
        SuspectEntry entry;
        TimePoint expiresAt;
    };

    SuspectEntry toEntry(const Held &held, TimePoint now) const
    {
        SuspectEntry entry = held.entry;
        entry.expiresIn = held.expiresAt - now;
        return entry;
    }

    Held &hold(uint64_t fingerprint, TimePoint now);
    void prune(TimePoint now);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<uint64_t, Held> m_held;
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
        Held &held = hold(fingerprint, now);
        const bool alone = inFlight.size() == 1;
        const bool condemned = held.entry.state == SuspectState::Condemned || (alone && held.entry.state == SuspectState::Suspect);
        held.entry.service = service;
        held.entry.state = condemned ? SuspectState::Condemned : SuspectState::Suspect;
        ++held.entry.crashes;
        held.entry.revision = detail::nextRevision(held.entry.revision);
        held.expiresAt = now + Expiry;
        changed.push_back(toEntry(held, now));
    }
    prune(now);
    return changed;
}

template<MonotonicClock Clock>
std::optional<SuspectEntry> SuspectTable<Clock>::onCleanRun(uint64_t fingerprint, bool ranAlone)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto found = m_held.find(fingerprint);
    if (!ranAlone || found == m_held.end() || found->second.expiresAt <= now || found->second.entry.state != SuspectState::Suspect) {
        return std::nullopt;
    }
    Held &held = found->second;
    held.entry.state = SuspectState::Clear;
    held.entry.crashes = 0;
    held.entry.revision = detail::nextRevision(held.entry.revision);
    held.expiresAt = now + Expiry;
    return toEntry(held, now);
}

template<MonotonicClock Clock>
SuspectState SuspectTable<Clock>::state(uint64_t fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_held.find(fingerprint);
    return found == m_held.end() || found->second.expiresAt <= m_clock.now() ? SuspectState::Clear : found->second.entry.state;
}

template<MonotonicClock Clock>
SuspectEntry SuspectTable<Clock>::clear(uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    Held &held = hold(fingerprint, now);
    held.entry.state = SuspectState::Clear;
    held.entry.crashes = 0;
    held.entry.revision = detail::clearedRevision(held.entry.revision);
    held.expiresAt = now + Expiry;
    return toEntry(held, now);
}

template<MonotonicClock Clock>
std::vector<SuspectEntry> SuspectTable<Clock>::entries() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<SuspectEntry> result;
    for (const auto &[fingerprint, held] : m_held) {
        if (held.expiresAt > now) {
            result.push_back(toEntry(held, now));
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
    const auto found = m_held.find(entry.fingerprint);
    if (found != m_held.end()) {
        Held &held = found->second;
        // A daemon that started since may begin with low revisions again. Its entry is news if it was made after this one expired.
        const bool madeAfterExpiry = now + remaining - Expiry > held.expiresAt;
        if (!detail::supersedes(entry, held.entry) && !madeAfterExpiry) {
            if (!detail::supersedes(held.entry, entry)) {
                // Equal entries keep the earlier expiry; the later one would grow by the transit time with each exchange.
                held.expiresAt = std::min(held.expiresAt, now + remaining);
            }
            return false;
        }
    }
    m_held.insert_or_assign(entry.fingerprint, Held { entry, now + remaining });
    prune(now);
    return true;
}

/** @return the entry to change. What expired counts as clear, but its revision is continued. */
template<MonotonicClock Clock>
typename SuspectTable<Clock>::Held &SuspectTable<Clock>::hold(uint64_t fingerprint, TimePoint now)
{
    Held &held = m_held.try_emplace(fingerprint, Held { { fingerprint }, now }).first->second;
    if (held.expiresAt <= now) {
        const bool wasCondemned = held.entry.state == SuspectState::Condemned;
        held.entry.state = SuspectState::Clear;
        held.entry.crashes = 0;
        // Within one count of clears, a condemnation supersedes everything else, also where it has not expired yet.
        held.entry.revision = wasCondemned ? detail::clearedRevision(held.entry.revision) : held.entry.revision;
    }
    return held;
}

template<MonotonicClock Clock>
void SuspectTable<Clock>::prune(TimePoint now)
{
    std::erase_if(m_held, [now](const auto &item) { return item.second.expiresAt + Retention <= now; });
    while (m_held.size() > MaxEntries) {
        m_held.erase(std::min_element(m_held.begin(), m_held.end(), [](const auto &a, const auto &b) { return a.second.expiresAt < b.second.expiresAt; }));
    }
}

} // namespace carobjunction
