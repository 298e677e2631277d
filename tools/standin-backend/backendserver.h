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

/** Shape of the service times. */
enum class Distribution {
    Constant,
    Exponential,
    LogNormal,
};

/** Options of the backend server. */
struct BackendOptions {
    uint32_t slots = 9;
    Duration serviceTime = std::chrono::milliseconds(5); /**< Mean. */
    Distribution distribution = Distribution::Constant;
    uint64_t seed = 1;
    // A kept-alive connection holds a worker of the HTTP library: 260 connections a target, and spare ones for control.
    uint32_t workers = 320; /**< Connections served at once. */
};

/** HTTP side of the stand-in backend server. */
class BackendServer
{
public:
    explicit BackendServer(const BackendOptions &options);

    /**
     * Binds and prepares the listening socket.
     * @param host  IP address
     * @param port  port, 0 for any
     * @return the bound port, or a negative value on failure
     */
    int bind(const std::string &host, int port);

    /** Serves until the process ends. */
    bool serve();

    RunLog &log()
    {
        return m_log;
    }

    SlotPool &pool()
    {
        return m_pool;
    }

    /** @param handler  called for the control field `leave`; returns whether the daemon accepted */
    void setLeaveHandler(std::function<bool()> handler);

private:
    void registerControl();
    void handleControl(const httplib::Request &request, httplib::Response &response);
    void handleLoad(httplib::Response &response) const;
    void handleHealth(httplib::Response &response);
    void handleCall(const httplib::Request &request, httplib::Response &response);
    bool refuse(const Behaviour &behaviour, httplib::Response &response) const;
    void answer(const httplib::Request &request, const std::string &requestId, RunEnd end, httplib::Response &response);
    Duration sampleWork(const Behaviour &behaviour);

    const BackendOptions m_options;
    httplib::Server m_server;
    int m_socket = -1;
    SlotPool m_pool;
    RunLog m_log;
    std::function<bool()> m_leave;
    std::mutex m_rngMutex;
    std::mt19937_64 m_rng;
    std::atomic<uint64_t> m_nextId { 1 };
    const TimePoint m_startedAt = std::chrono::steady_clock::now();
};

} // namespace carobjunction::standin
