#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace carobjunction
{

/** Allowance for repeated arrivals at a service, summed over all daemons. */
struct RetryAllowance {
    double ratio = 0.2; /**< Repeats as a share of the requests. */
    double slack = 50; /**< Repeats allowed beyond the ratio, for all daemons together. */
    Duration window = std::chrono::seconds(10);
};

/**
 * This daemon's part of the shared allowance for repeats of each service. A daemon may spend the ratio of its own requests and an
 * equal part of the slack, so that no daemon has to ask another one. Not thread-safe.
 */
class RetryLedger
{
public:
    /** Calls that a repeated run makes, which count as repeats at the service called. */
    static constexpr double CallsPerRepeat = 1.75;
    /** Part of the allowance that is spent; the rest is for the calls of repeated runs, which no daemon can tell from others. */
    static constexpr double SpentShare = 1 / (1 + CallsPerRepeat);

    explicit RetryLedger(const RetryAllowance &allowance) : m_allowance(allowance)
    {
    }

    void setAllowance(const RetryAllowance &allowance)
    {
        m_allowance = allowance;
    }

    /** @param daemons  daemons that share the slack; at least 1 */
    void setDaemons(size_t daemons)
    {
        m_daemons = daemons == 0 ? 1 : daemons;
    }

    /** Counts the first arrival of a request. */
    void onRequest(const std::string &service, TimePoint now);

    /** @return whether the request may arrive once more; it then counts as repeated */
    bool tryRepeat(const std::string &service, TimePoint now);

private:
    struct Window {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    Window &current(const std::string &service, TimePoint now);

    RetryAllowance m_allowance;
    size_t m_daemons = 1;
    std::map<std::string, Window> m_windows;
};

} // namespace carobjunction
