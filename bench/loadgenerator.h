#pragma once

#include "connectionpool.h"
#include "experiment.h"
#include "sample.h"
#include "targetoracle.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction::bench
{

/** Addresses that calls are sent to. All vectors are indexed by target. */
struct Endpoints {
    std::vector<std::string> daemons; /**< Caller addresses of the daemons. */
    std::vector<std::string> backends; /**< Addresses of the backend servers. */
    std::vector<std::string> bareAddresses; /**< Addresses of the first process of each BarePath; empty if none are started. */
    std::vector<std::string> regions; /**< Regions of the daemons. */
    std::map<std::string, int> targetByDaemonId; /**< Target index by daemon ID, to resolve the response header Carob-Target. */
};

/**
 * Open-loop load generator: sends calls at planned times, independently of the responses to earlier calls. If all sender threads are busy, calls are
 * sent late. The delay is included in the latency and also reported as lag.
 */
class LoadGenerator
{
public:
    /**
     * @param experiment  defines the call kinds, variants, deadline and number of senders; must outlive this object
     * @param endpoints  addresses that calls are sent to; must outlive this object
     * @param oracle  chooses the targets of calls with the policy `oracle`
     * @param regionDelay  one-way delay between regions. Daemons add it to the calls that they forward between regions; for calls of the oracle, which are
     * not forwarded, the load generator adds it.
     * @param runId  unique ID of the run, used in idempotency keys and request IDs
     */
    LoadGenerator(const Experiment &experiment, const Endpoints &endpoints, TargetOracle &oracle, Duration regionDelay, std::string runId);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /**
     * Starts the sender threads and returns immediately.
     * @param plan  calls to send, in ascending order of their times
     */
    void start(const std::vector<PlannedCall> &plan);

    /** @return whether all calls have finished or, after stop(), have been skipped */
    bool hasFinished() const
    {
        return m_finishedCalls == m_samples.size();
    }

    /** Stops sending. Calls in progress are completed; the remaining calls are skipped. */
    void stop()
    {
        m_isStopping = true;
    }

    /** Waits for the sender threads to end. @return one sample per call, in planned order */
    std::vector<Sample> waitForSamples();

    /** @return start of the run, to which the planned times are relative */
    TimePoint startedAt() const
    {
        return m_startedAt;
    }

    /** @return request path of a call, with the index of the call as a query parameter that identifies it in the backend log */
    static std::string makeRequestPath(const CallKind &kind, std::size_t call);

private:
    void runSender();
    void send(std::size_t index, Sample &sample);
    void sendToOracleTarget(std::size_t index, Sample &sample);
    bool sendOnce(std::size_t index, Sample &sample, ConnectionPool &pool);
    httplib::Headers makeHeaders(std::size_t index, const Sample &sample) const;
    void recordResponse(const httplib::Response &response, Sample &sample) const;
    ConnectionPool &selectPool(const Sample &sample, std::size_t attempt);

    const Experiment &m_experiment;
    const Endpoints &m_endpoints;
    TargetOracle &m_oracle;
    const Duration m_regionDelay;
    const std::string m_runId;
    std::vector<std::unique_ptr<ConnectionPool>> m_daemonPools;
    std::vector<std::unique_ptr<ConnectionPool>> m_backendPools;
    std::vector<std::unique_ptr<ConnectionPool>> m_barePools;
    std::vector<Sample> m_samples;
    std::atomic<std::size_t> m_nextCall { 0 };
    std::atomic<std::size_t> m_finishedCalls { 0 };
    std::atomic<bool> m_isStopping { false };
    TimePoint m_startedAt {};
    std::vector<std::thread> m_threads;
};

} // namespace carobjunction::bench
