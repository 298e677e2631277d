#pragma once

#include <carobjunction/process/clock.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace carobjunction::standin
{

/** A disturbance that is active until a point in time. */
struct TimedFault {
    TimePoint until {};

    bool isActive(TimePoint now) const
    {
        return now < until;
    }
};

/** What the backend server does apart from running requests. Set by `POST /control`. */
struct Behaviour {
    double slowFactor = 1; /**< Service time is multiplied by this while `slow` is active. */
    TimedFault slow;
    double coldFactor = 1;
    TimedFault cold;
    int failStatus = 503; /**< Status of every request while `fail` is active. */
    TimedFault fail;
    TimedFault shed; /**< Requests are refused with `Carob-Outcome: not-run`. */
    TimedFault drop; /**< Connections are closed after the run, without an answer. */
    TimedFault shortAnswer; /**< Content-Length is larger than what is sent. */
    Duration loadLag = Duration::zero(); /**< The load endpoint reports the past. */
    nlohmann::json loadLie; /**< If not null, sent instead of the load. */
    Duration healthLag = Duration::zero();
    std::optional<bool> healthLie;
    std::string crashText; /**< A request with this text in its path or body ends the process. */
    bool announce = true;
    std::optional<Duration> serviceTime; /**< Replaces the mean service time. */

    /**
     * @param now  the current time
     * @return factor on the service time at @p now
     */
    double factor(TimePoint now) const;

    /**
     * @param now  the current time
     * @return the next point in time at which factor() changes by itself, TimePoint::max() if none
     */
    TimePoint nextChange(TimePoint now) const;

    /**
     * Applies control fields. Times in `..._ms` count from now; negative ones never end.
     * @param fields  JSON object
     * @param now  the current time
     * @return the name of the first unknown or malformed field; empty on success
     */
    std::string apply(const nlohmann::json &fields, TimePoint now);
};

} // namespace carobjunction::standin
