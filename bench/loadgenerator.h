#pragma once

#include "connectionpool.h"
#include "experiment.h"
#include "sample.h"
#include "targetview.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction::bench
{

/** Where calls go. */
struct Endpoints {
    std::vector<std::string> daemons; /**< Caller addresses. */
    std::vector<std::string> backends; /**< Addresses of the backend servers; same order. */
    std::vector<std::string> bareAddresses; /**< Entries of the bare paths; same order. */
    std::vector<std::string> regions; /**< Region of each daemon. */
    std::map<std::string, int> targetByDaemonId; /**< Index by daemon id, for the header Carob-Target. */
};

/**
 * Sends calls at planned times, whatever becomes of earlier ones (open loop). When all senders are busy, calls start late; the delay counts as
 * latency and is reported as lag.
 */
class LoadGenerator
{
public:
    /**
     * @param experiment  call kinds, variants, deadline and senders
     * @param endpoints  where calls go
     * @param view  source of the oracle's choices
     * @param regionDelay  one-way delay between regions, which the oracle's calls get from the bench as other calls get it from the daemons
     * @param runId  makes idempotency keys unique
     */
    LoadGenerator(const Experiment &experiment, const Endpoints &endpoints, TargetView &oracle, Duration regionDelay, std::string runId);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** Starts the calls; returns at once. */
    void start(const std::vector<PlannedCall> &plan);

    /** @return whether every call has ended */
    bool hasFinished() const
    {
        return m_finishedCalls == m_samples.size();
    }

    /** Ends as soon as the calls in progress end. */
    void stop()
    {
        m_isStopping = true;
    }

    /** Waits for the end. @return what came of the calls, in planned order */
    std::vector<Sample> finish();

    /** @return the time from which planned times count */
    TimePoint startedAt() const
    {
        return m_startedAt;
    }

    /** @return path of a call as its backend server sees it, which identifies the call */
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
    TargetView &m_oracle;
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
