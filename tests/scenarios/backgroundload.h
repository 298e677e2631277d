#pragma once

#include "callsender.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction::scenarios
{

/** Load that runs in the background while a scenario executes further steps. */
struct LoadSpec {
    CallSpec call; /**< Template of every call. */
    std::size_t count = 100;
    double callsPerSecond = 0; /**< Call rate of all senders together; 0: each sender starts the next call as soon as the previous one ends. */
    std::size_t senderCount = 8;
    std::vector<std::size_t> entryDaemons; /**< Daemons that receive the calls in round-robin order. */
    bool hasIdempotencyKeys = false; /**< Whether each call carries an idempotency key of its own. */
    std::size_t maxResends = 0; /**< Maximum number of resends of a call, each through the next daemon, until the reported outcome is `ran`. */
};

/** Sends the calls of a load from background threads. The destructor stops the load and waits for the calls in progress. */
class BackgroundLoad
{
public:
    BackgroundLoad(CallSender &sender, LoadSpec spec);
    ~BackgroundLoad();
    BackgroundLoad(const BackgroundLoad &) = delete;
    BackgroundLoad &operator=(const BackgroundLoad &) = delete;

    /** @return number of calls that have completed, including their resends */
    std::size_t finishedCallCount() const
    {
        return m_finishedCallCount;
    }

    /** Stops starting new calls; calls in progress continue. */
    void stop()
    {
        m_isStopping = true;
    }

    /** Waits until all calls of the load, or all started ones after stop(), have completed. */
    void join();

private:
    void runSender();
    void sendWithResends(std::size_t index);

    CallSender &m_callSender;
    const LoadSpec m_spec;
    const std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::atomic<std::size_t> m_nextIndex { 0 };
    std::atomic<std::size_t> m_finishedCallCount { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace carobjunction::scenarios
