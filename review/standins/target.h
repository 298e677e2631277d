#pragma once

#include "http.h"

#include <atomic>
#include <map>

namespace carobjunction::review
{

/** Request that a target began to work on. */
struct Run {
    int64_t atMs = 0;
    std::string requestId;
    std::string path;
};

/** Stand-in for the application target of one machine. It reports its load and sends its heartbeats to the daemon beside it. */
class Target
{
public:
    Target(Record &record, std::string id, std::string service, uint16_t port, uint16_t daemonPort);
    ~Target();

    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    /** Starts a process of the target under a new id, with a heartbeat each HeartbeatInterval. @return whether the port could be opened */
    bool start(const std::string &id);

    /** Ends the process: closes the port and the connections, and stops the heartbeats. */
    void stop();

    /** Stops the heartbeats; requests are still served. */
    void stopHeartbeats();

    /** @return the next heartbeat with the state "ready", which may be delivered later */
    Request nextHeartbeat();

    /** Sends a heartbeat. @return status of the answer, 0 if there was none within a second */
    unsigned deliver(const Request &heartbeat);

    /** Sends `DELETE /v1/instances/ID`. @return status of the answer, 0 if there was none within a second */
    unsigned leave();

    /** Calls of requests with this path end the process, which starts again after @p restartDelay. */
    void crashOn(const std::string &path, Milliseconds restartDelay);

    std::vector<Run> runs();

    /** @return a heartbeat of another writer for this target's address: another id, and a service that no configuration names */
    Request foreignHeartbeat() const;

    const std::string &id() const
    {
        return m_id;
    }

    static constexpr Milliseconds HeartbeatInterval { 1500 };
    Milliseconds workTime { 30 };

private:
    std::optional<Response> handle(const Request &request);
    void sendHeartbeats();
    void restartAfterCrash();

    Record &m_record;
    std::string m_id;
    const std::string m_service;
    const uint16_t m_port;
    const uint16_t m_daemonPort;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    int64_t m_startedAtUnixMs = 0;
    std::atomic<uint64_t> m_sequence { 0 };
    std::atomic<int> m_running { 0 };
    std::atomic<bool> m_sendsHeartbeats { false };
    std::atomic<bool> m_isClosing { false };
    std::string m_crashPath;
    Milliseconds m_restartDelay { 0 };
    std::atomic<bool> m_hasCrashed { false };
    int m_processCount = 0;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_heartbeatThread;
    std::thread m_crashThread;
};

} // namespace carobjunction::review
