#pragma once

#include <carobjunction/process/clock.h>
#include <carobjunction/process/vmrecord.h>

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace carobjunction
{

/** Contents of a heartbeat from a backend server. */
struct Heartbeat {
    std::string id;
    uint64_t startedAtMs = 0; /**< Start time of the process, Unix time in milliseconds; 0 if the heartbeat does not contain it. */
    std::string service;
    std::string address;
    uint32_t slots = 0; /**< Maximum number of concurrent requests. */
    bool draining = false; /**< The backend server accepts no new requests. */
    uint64_t sequence = 0; /**< Sequence number; increases with each heartbeat from the same process. */
    Duration coldRemaining = Duration::zero(); /**< Remaining time of the cold start, during which requests take longer. */
};

/** Effect of a heartbeat on the state of a BackendGate. */
enum class HeartbeatResult {
    Foreign, /**< The heartbeat is not from the backend server of this VM and was ignored. */
    Stale, /**< The heartbeat is older than the current state and was ignored. */
    Refreshed, /**< The heartbeat timeout was restarted; the record is unchanged. */
    Changed, /**< The record changed. */
};

/**
 * Tracks whether the backend server on this daemon's VM may receive requests. All requests to the backend server pass through this
 * daemon, so closing the gate is sufficient to stop traffic to a backend server that is leaving. Not thread-safe.
 *
 * The gate is closed until the first heartbeat is received. It stays closed for a process (identified by id and start time) that has
 * announced that it is leaving. It is not opened by later heartbeats from that process, by delayed heartbeats from an earlier process,
 * or by heartbeats with a sequence number that is not greater than the last one received.
 *
 * Only the backend server that the settings name is believed. Heartbeats and stored records that name another service stem from another writer
 * and change nothing, however late the start time or sequence number is that they contain.
 */
class BackendGate
{
public:
    /**
     * @param service  service of this VM's backend server, from the settings
     * @param heartbeatTimeout  time without a heartbeat after which the backend server is considered down until the next heartbeat
     * @param daemonStartedAt  time at which this daemon has started
     */
    BackendGate(std::string service, Duration heartbeatTimeout, TimePoint daemonStartedAt)
        : m_service(std::move(service)), m_heartbeatTimeout(heartbeatTimeout), m_holdBackUntil(daemonStartedAt + UnverifiedLeaveRetention)
    {
    }

    /** Processes a heartbeat. */
    HeartbeatResult onHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /** Time for which a leave notice applies to processes with the same id, unless they started after the notice. */
    static constexpr Duration LeaveNoticeRetention = std::chrono::seconds(30);

    /**
     * Time after the start of the daemon up to which a restored leave applies that is not verified: it may stem from another writer, but also from the
     * backend server, which serves on for some seconds after its leave. Shorter than the time in which a restarted system must serve again.
     */
    static constexpr Duration UnverifiedLeaveRetention = std::chrono::seconds(10);

    /**
     * Processes a leave notice of a backend server. The notice also applies if no heartbeat from the backend server was received before:
     * the daemon may have been restarted, and a heartbeat sent before the notice may still arrive.
     * @param id  id of the backend server
     * @param unixTimeMs  current Unix time in milliseconds; a process with the same id that started later is not affected
     * @return whether the record changed
     */
    bool onLeave(const std::string &id, TimePoint now, uint64_t unixTimeMs);

    /**
     * Restores the leaving state of the backend server after a restart of the daemon. A record that is not leaving does not open the gate, but a
     * leave notice of its process, which may have been received before or may follow, applies to it. A leave that is not verified closes the gate
     * only to the process that it names, until UnverifiedLeaveRetention after the start of the daemon.
     * @param persisted  record of the backend server from before the restart
     * @return whether the record changed
     */
    bool restoreRecord(const BackendRecord &persisted, TimePoint now);

    /**
     * Closes the gate until the next heartbeat. Call this if the backend server's address refuses connections or another process answers there.
     * @return whether the record changed
     */
    bool markGone();

    /** Closes the gate if no heartbeat was received within the heartbeat timeout. @return whether the record changed */
    bool checkHeartbeatTimeout(TimePoint now);

    /** @return whether the backend server may receive requests */
    bool isOpen() const
    {
        return m_record.state == BackendState::Ready;
    }

    /** @return whether the backend server is in its cold start, during which requests take longer */
    bool isCold(TimePoint now) const
    {
        return now < m_coldUntil;
    }

    const BackendRecord &record() const
    {
        return m_record;
    }

private:
    /** A leave notice from a backend server. */
    struct LeaveNotice {
        TimePoint receivedAt;
        uint64_t unixTimeMs = 0; /**< Processes that started after this time are not affected by the notice. */
    };

    bool isStale(const Heartbeat &heartbeat) const;
    bool isHeldBack(const std::string &id, uint64_t startedAtMs, TimePoint now) const;
    bool hasLeft(const std::string &id, uint64_t startedAtMs, TimePoint now) const;
    void recordLeave(const std::string &id, TimePoint now, uint64_t unixTimeMs);

    std::string m_service;
    Duration m_heartbeatTimeout;
    TimePoint m_holdBackUntil; /**< Time up to which m_unverifiedRecord applies. */
    BackendRecord m_record;
    BackendRecord m_formerRecord; /**< Record from before a restart of the daemon, until a heartbeat is received. */
    uint64_t m_lastSequence = 0;
    bool m_isLeaving = false;
    std::map<std::string, LeaveNotice> m_leaveNotices; /**< By id of the backend server. */
    std::optional<BackendRecord> m_unverifiedRecord; /**< Leaving record from before a restart that may stem from another writer. */
    TimePoint m_lastHeartbeatAt;
    TimePoint m_coldUntil;
};

} // namespace carobjunction
