#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace carobjunction
{

/** Mean of a number of samples. */
struct SampleMean {
    double value = 1;
    uint32_t sampleCount = 0; /**< Number of samples. */
};

/** Statistics of the requests that ran under one concurrency limit. */
struct LimitStatistics {
    SampleMean serviceTimeRatio; /**< Service time relative to the baseline of the request's kind. */
    SampleMean running; /**< Number of concurrent requests, including the request itself. */

    /** @return throughput relative to that of a single request at a time */
    double relativeThroughput() const
    {
        return running.value / serviceTimeRatio.value;
    }
};

/** Statistics of the two limits that a SlotTuner compares. */
struct SlotLimitStatistics {
    LimitStatistics upper; /**< Statistics of requests under the upper limit, which is the number of slots. */
    LimitStatistics lower; /**< Statistics of requests under the lower limit, see SlotTuner::LowerLimitShare. */

    /** Adds the statistics of another backend server of the same service. */
    void add(const SlotLimitStatistics &other);
};

/**
 * Selects the concurrency limit of a backend server. Some backend servers slow down when nearly all slots are in use, so that a lower
 * limit gives a higher throughput; others do not, so that all slots should be used.
 *
 * Under load, the limit with the lower throughput is tried periodically for a short time, and the service times of the same kinds of
 * requests under both limits are compared. Alternating between the limits in short trials cancels most external changes, such as
 * the load of downstream services. Not thread-safe.
 */
class SlotTuner
{
public:
    /** Lower of the two limits that are compared, as a share of the number of slots. */
    static constexpr double LowerLimitShare = 0.8;
    /** Duration of a trial of the limit with the lower throughput. */
    static constexpr Duration TrialDuration = std::chrono::milliseconds(1500);
    /** Time from the start of one trial to the start of the next. */
    static constexpr Duration TrialInterval = std::chrono::seconds(10);
    /** Trial interval until there are enough samples to compare the limits. */
    static constexpr Duration InitialTrialInterval = std::chrono::seconds(4);
    /** Minimum number of samples under each limit for a comparison. */
    static constexpr uint32_t MinSampleCount = 40;
    /** Minimum ratio of the throughput under the upper limit to that under the lower limit for which the upper limit is used. */
    static constexpr double MinThroughputGain = 1.03;
    /** Limit under which a request started. */
    enum class LimitAtStart {
        Unloaded, /**< The limit was not reached when the request started, so it had no effect. */
        Upper, /**< The upper limit was reached. */
        Lower, /**< The lower limit was reached, but not the upper one. */
    };

    /**
     * Sets the number of slots and starts with the lower limit, because too many concurrent requests cost more throughput than too few.
     * @param slots  maximum number of concurrent requests that the backend server supports; there is no effect if it is unchanged
     */
    void setSlots(uint32_t slots);

    /** @return current concurrency limit */
    uint32_t limit() const
    {
        return m_isUpperBetter != m_isTrial ? m_upper : m_lower;
    }

    /**
     * Records the start of a request and starts or ends a trial if one is due.
     * @param running  number of running requests, including this one
     * @return limit to pass to onAnswer()
     */
    LimitAtStart onStart(uint32_t running, TimePoint now);

    /**
     * Records the completion of a request.
     * @param limitAtStart  limit under which the request started, as returned by onStart()
     * @param running  number of running requests at its completion, including this one
     * @param kind  name of a group of requests with similar service times
     * @param seconds  service time at the backend server
     */
    void onAnswer(LimitAtStart limitAtStart, uint32_t running, const std::string &kind, double seconds);

    /** @return statistics of this backend server */
    const SlotLimitStatistics &statistics() const
    {
        return m_statistics;
    }

    /**
     * Compares the throughput under both limits and selects the better one. To be called about twice a second.
     * @param others  statistics of the other backend servers of the service, which are assumed to perform alike
     */
    void compareLimits(const SlotLimitStatistics &others);

private:
    uint32_t m_upper = 1;
    uint32_t m_lower = 1;
    bool m_isUpperBetter = false;
    bool m_isTrial = false;
    bool m_hasEnoughSamples = false;
    TimePoint m_trialEndsAt;
    TimePoint m_nextTrialAt;
    SlotLimitStatistics m_statistics;
    /** Mean service time in seconds by kind, excluding requests that started under the upper limit. */
    std::unordered_map<std::string, SampleMean> m_baselineSeconds;
};

} // namespace carobjunction
