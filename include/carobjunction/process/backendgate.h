#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/vmrecord.h>

#include <map>
#include <string>

namespace carobjunction
{

/** What a backend server says of itself in one heartbeat. */
struct Heartbeat {
    std::string id;
    uint64_t bornMs = 0; /**< Start of the process, Unix time in milliseconds; 0 if it does not say. */
    std::string service;
    std::string address;
    uint32_t slots = 0;
    bool draining = false;
    uint64_t sequence = 0; /**< Grows with each heartbeat of one process. */
    Duration coldRemaining = Duration::zero(); /**< How much longer it is slow after its start. */
};

/** What a heartbeat changed. */
enum class HeartbeatEffect {
    Stale, /**< It is older than what is known, or of a process that has left; nothing changed. */
    Refreshed, /**< The backend server lives; its record is as before. */
    Changed, /**< The record changed. */
};

/**
 * Decides whether the backend server beside this daemon may be given work. The only way to it leads through its own daemon,
 * so a closed gate is enough to keep work from a server that is leaving. Not thread-safe.
 *
 * Closed at the start, until a heartbeat is heard. Closed for good for a process (id and birth) that announced its end; a later
 * heartbeat of the same process, a delayed one of an earlier process, or one with an earlier sequence number never opens it.
 */
class BackendGate
{
public:
    /**
     * @param silenceLimit  silence after which the backend server counts as gone until its next heartbeat
     */
    explicit BackendGate(Duration silenceLimit) : m_silenceLimit(silenceLimit)
    {
    }

    HeartbeatEffect onHeartbeat(const Heartbeat &beat, TimePoint now);

    /** Time for which a leave counts against a process whose start is not known to be later. */
    static constexpr Duration DepartureMemory = std::chrono::seconds(30);

    /**
     * The backend server says that it ends. This binds also if nothing was heard of it before, since its daemon may have been
     * restarted, and a heartbeat from before the leave may still arrive.
     * @param unixMs  time of day, by which a later process with the same id is told apart
     * @return whether the record changed
     */
    bool onLeave(const std::string &id, TimePoint now, uint64_t unixMs);

    /**
     * Takes what the daemon knew of its backend server before it was restarted.
     * @return whether the record changed
     */
    bool recall(const BackendRecord &former, TimePoint now);

    /** Another process answered at the address, or none did. Closes the gate until the next heartbeat. @return whether the record changed */
    bool onLost();

    /** Closes the gate after too long a silence. @return whether the record changed */
    bool checkSilence(TimePoint now);

    bool isOpen() const
    {
        return m_record.state == BackendState::Ready;
    }

    /** @return whether the server is slow because it started a short time ago */
    bool isCold(TimePoint now) const
    {
        return now < m_coldUntil;
    }

    const BackendRecord &record() const
    {
        return m_record;
    }

private:
    /** A process that said that it ends. */
    struct Departure {
        TimePoint notedAt;
        uint64_t unixMs = 0; /**< Processes that were born later are others. */
    };

    bool isFormerProcess(const Heartbeat &beat) const;
    bool hasDeparted(const Heartbeat &beat, TimePoint now) const;
    void noteDeparture(const std::string &id, TimePoint now, uint64_t unixMs);

    Duration m_silenceLimit;
    BackendRecord m_record;
    uint64_t m_sequence = 0;
    bool m_leaving = false;
    std::map<std::string, Departure> m_departures; /**< By id. */
    TimePoint m_heardAt;
    TimePoint m_coldUntil;
};

} // namespace carobjunction
