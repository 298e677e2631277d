#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/enumnames.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carobjunction
{

/** What is known of a request that was in progress when a backend server crashed. The order decides between equal revisions. */
enum class SuspectState {
    Clear = 0,
    Suspect = 1, /**< Runs alone or not at all. */
    Condemned = 2, /**< Crashed a backend server while it ran alone, after an earlier crash; refused everywhere. */
};

template<>
struct EnumNames<SuspectState> {
    static constexpr std::pair<SuspectState, std::string_view> Table[] = {
        {SuspectState::Clear, "clear"},
        {SuspectState::Suspect, "suspect"},
        {SuspectState::Condemned, "condemned"},
    };
};

/** One entry as it travels between daemons. */
struct SuspectEntry {
    uint64_t fingerprint = 0;
    std::string service;
    SuspectState state = SuspectState::Clear;
    uint32_t crashes = 0;
    uint64_t revision = 0; /**< Grows with each change of the entry. */
    Duration expiresIn = Duration::zero();
};

/**
 * Requests that may crash the backend servers that run them, by fingerprint. Thread-safe.
 *
 * A request in progress during a crash becomes a suspect. It is condemned only by a crash while it ran alone, when that is at least
 * its second crash; so a request is never condemned for running beside another one.
 */
template<MonotonicClock Clock>
class SuspectTable
{
public:
    /** Time after which an entry is forgotten. */
    static constexpr Duration Expiry = std::chrono::minutes(10);
    /** Greatest number of entries, as protection against faulty peers. The entries that expire first are dropped. */
    static constexpr size_t MaxEntries = 10'000;
    /** Crashes after which a request that crashed a backend server while alone is refused. */
    static constexpr uint32_t CrashLimit = 2;

    /** @param clock  must outlive the table */
    explicit SuspectTable(const Clock &clock)
        : m_clock(clock)
    {
    }

    /** @param inFlight  fingerprints of the requests in progress when the backend server crashed */
    void onCrash(const std::string &service, std::span<const uint64_t> inFlight)
    {
        const std::scoped_lock lock(m_mutex);
        for (const uint64_t fingerprint : inFlight) {
            Record &record = m_records[fingerprint];
            dropIfExpired(record);
            record.service = service;
            ++record.crashes;
            ++record.revision;
            const bool ranAlone = inFlight.size() == 1;
            const bool isCondemned = record.state == SuspectState::Condemned || (ranAlone && record.crashes >= CrashLimit);
            record.state = isCondemned ? SuspectState::Condemned : SuspectState::Suspect;
            record.expiresAt = m_clock.now() + Expiry;
        }
        dropSurplus();
    }

    /**
     * A suspected request ran to its end without a crash.
     * @param ranAlone  only then the suspicion ends
     * @return whether the suspicion ended
     */
    bool onCleanRun(uint64_t fingerprint, bool ranAlone)
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_records.find(fingerprint);
        if (found == m_records.end() || !ranAlone || found->second.state != SuspectState::Suspect) {
            return false;
        }
        setClear(found->second);
        return true;
    }

    /** Clears an entry for an operator. @return false if it is not suspected or condemned */
    bool clear(uint64_t fingerprint)
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_records.find(fingerprint);
        if (found == m_records.end() || found->second.state == SuspectState::Clear) {
            return false;
        }
        setClear(found->second);
        return true;
    }

    SuspectState state(uint64_t fingerprint) const
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_records.find(fingerprint);
        return found == m_records.end() || isExpired(found->second) ? SuspectState::Clear : found->second.state;
    }

    /** @return all entries that have not expired, cleared ones too, so that a clearance spreads */
    std::vector<SuspectEntry> entries() const
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<SuspectEntry> entries;
        for (const auto &[fingerprint, record] : m_records) {
            if (!isExpired(record)) {
                entries.push_back({fingerprint, record.service, record.state, record.crashes, record.revision, record.expiresAt - m_clock.now()});
            }
        }
        return entries;
    }

    /**
     * Takes an entry of another daemon. The higher revision wins, then the graver state, then the higher number of crashes.
     * @return whether the entry was news
     */
    bool merge(const SuspectEntry &entry)
    {
        const std::scoped_lock lock(m_mutex);
        if (entry.fingerprint == 0 || entry.expiresIn <= Duration::zero()) {
            return false;
        }
        const auto found = m_records.find(entry.fingerprint);
        if (found != m_records.end() && !isExpired(found->second) && !isNewer(entry, found->second)) {
            return false;
        }
        m_records[entry.fingerprint]
            = {entry.service, entry.state, entry.crashes, entry.revision, m_clock.now() + std::min<Duration>(entry.expiresIn, Expiry)};
        dropSurplus();
        return true;
    }

private:
    struct Record {
        std::string service;
        SuspectState state = SuspectState::Clear;
        uint32_t crashes = 0;
        uint64_t revision = 0;
        TimePoint expiresAt{};
    };

    static bool isNewer(const SuspectEntry &entry, const Record &record)
    {
        if (entry.revision != record.revision) {
            return entry.revision > record.revision;
        }
        if (entry.state != record.state) {
            return entry.state > record.state;
        }
        return entry.crashes > record.crashes;
    }

    bool isExpired(const Record &record) const
    {
        return record.expiresAt <= m_clock.now();
    }

    // The revision is kept, so that peers that still hold the former entry accept the new one.
    void dropIfExpired(Record &record)
    {
        if (isExpired(record)) {
            record.state = SuspectState::Clear;
            record.crashes = 0;
        }
    }

    void setClear(Record &record)
    {
        record.state = SuspectState::Clear;
        record.crashes = 0;
        ++record.revision;
        record.expiresAt = m_clock.now() + Expiry;
    }

    void dropSurplus()
    {
        std::erase_if(m_records, [this](const auto &entry) { return isExpired(entry.second); });
        while (m_records.size() > MaxEntries) {
            m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
                return left.second.expiresAt < right.second.expiresAt;
            }));
        }
    }

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::map<uint64_t, Record> m_records;
};

} // namespace carobjunction
