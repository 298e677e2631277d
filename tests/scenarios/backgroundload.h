#pragma once

#include "callsender.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction::scenarios
{

/** Calls that are sent while the steps of a scenario go on. */
struct LoadSpec {
    CallSpec call; /**< Pattern of each call. */
    std::size_t count = 100;
    double rate = 0; /**< Calls per second; 0: as fast as the senders get answers. */
    std::size_t senders = 8;
    std::vector<std::size_t> vias; /**< Daemons that get the calls in turn. */
    bool keyed = false; /**< Each call carries its own idempotency key. */
    std::size_t resends = 0; /**< How often a caller sends a call again, at the next daemon, until it is told that the call ran. */
};

/** Sends the calls of a load in the background. Ends with this object. */
class BackgroundLoad
{
public:
    BackgroundLoad(CallSender &sender, LoadSpec spec);
    ~BackgroundLoad();
    BackgroundLoad(const BackgroundLoad &) = delete;
    BackgroundLoad &operator=(const BackgroundLoad &) = delete;

    /** @return number of calls that have ended, with their resends */
    std::size_t finished() const
    {
        return m_finished;
    }

    /** Starts no further calls. */
    void stop()
    {
        m_stopping = true;
    }

    /** Waits until every call that was started has ended. */
    void join();

private:
    void sendCalls();
    void sendCall(std::size_t index);

    CallSender &m_sender;
    const LoadSpec m_spec;
    const std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::atomic<std::size_t> m_next { 0 };
    std::atomic<std::size_t> m_finished { 0 };
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace carobjunction::scenarios
