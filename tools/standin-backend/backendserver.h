#pragma once

#include "runlog.h"
#include "slotpool.h"

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>

namespace carobjunction::standin
{

/** Probability distribution of the service times. */
enum class Distribution {
    Constant,
    Exponential,
    LogNormal,
};

/** Options of the backend server. */
struct BackendOptions {
    uint32_t slots = 9; /**< Maximum number of requests that run concurrently. */
    Duration serviceTime = std::chrono::milliseconds(5); /**< Mean service time. */
    Distribution distribution = Distribution::Constant;
    uint64_t seed = 1; /**< Seed of the random service times. */
    // Each persistent connection occupies a worker of the HTTP library: 260 connections per target, and a reserve for control.
    uint32_t workers = 320; /**< Maximum number of connections served concurrently. */
};

/** HTTP server of the stand-in backend server. Handles requests, load and health queries, cancellations and control. */
class BackendServer
{
public:
    explicit BackendServer(const BackendOptions &options);

    /**
     * Binds the listening socket and starts to listen.
     * @param host  IP address
     * @param port  port; 0 selects a free one
     * @return the bound port, or a negative number on failure
     */
    int bind(const std::string &host, int port);

    /** Serves requests until the process exits. @return false if the server could not run */
    bool serve();

    /** Returns the log of the requests that were run. */
    RequestRunLog &log()
    {
        return m_log;
    }

    /** Returns the slots that requests run in. */
    SlotPool &pool()
    {
        return m_pool;
    }

    /**
     * Sets the handler of the control field `leave`.
     * @param handler  notifies the daemon and returns whether the daemon accepted the notification
     */
    void setLeaveHandler(std::function<bool()> handler);

private:
    void registerControlRoutes();
    void handleControl(const httplib::Request &request, httplib::Response &response);
    void handleLoad(httplib::Response &response) const;
    void handleHealth(httplib::Response &response);
    /** Runs a request in a slot and sends the response. */
    void handleRequest(const httplib::Request &request, httplib::Response &response);
    /** Sends an error response if a fault that applies before the run is active. @return whether a response was sent */
    bool rejectByFault(const Behaviour &behaviour, httplib::Response &response) const;
    /** Sends the response to a request whose run has ended, subject to the active faults. */
    void sendResponse(const httplib::Request &request, const std::string &requestId, RunOutcome outcome, httplib::Response &response);
    /** Draws a service time from the configured distribution. */
    Duration sampleServiceTime(const Behaviour &behaviour);

    const BackendOptions m_options;
    httplib::Server m_server;
    int m_listenSocket = -1;
    SlotPool m_pool;
    RequestRunLog m_log;
    std::function<bool()> m_leaveHandler;
    std::mutex m_rngMutex;
    std::mt19937_64 m_rng;
    std::atomic<uint64_t> m_nextDirectId { 1 };
    const TimePoint m_startedAt = std::chrono::steady_clock::now();
};

} // namespace carobjunction::standin
