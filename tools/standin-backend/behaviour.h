#pragma once

#include <carobjunction/process/clock.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace carobjunction::standin
{

/** Fault that is active until a point in time. */
struct TemporaryFault {
    TimePoint until {};

    bool isActive(TimePoint now) const
    {
        return now < until;
    }
};

/** Injected faults and other adjustable behaviour of the backend server, set by `POST /control`. */
struct Behaviour {
    double slowFactor = 1; /**< Multiplies the service time while `slow` is active. */
    TemporaryFault slow;
    double coldFactor = 1; /**< Multiplies the service time while `cold` is active. */
    TemporaryFault cold;
    int failStatus = 503; /**< HTTP status of every response while `fail` is active. */
    TemporaryFault fail;
    TemporaryFault shed; /**< Rejects requests with `Carob-Outcome: not-run`. */
    TemporaryFault dropResponse; /**< Closes the connection after the run without sending a response. */
    TemporaryFault truncatedResponse; /**< Sends fewer bytes than Content-Length states. */
    Duration loadLag = Duration::zero(); /**< Age of the load that the load endpoint reports. */
    nlohmann::json loadOverride; /**< If not null, the load endpoint returns this instead of the load. */
    Duration healthLag = Duration::zero(); /**< Age of the health that the health endpoint reports. */
    std::optional<bool> healthOverride; /**< If set, the health endpoint returns this instead of the health. */
    std::string crashText; /**< If not empty, a request with this text in its target or body terminates the process. */
    bool announce = true; /**< Whether announcements are sent to the daemon. */
    std::optional<Duration> serviceTime; /**< If set, replaces the configured mean service time. */

    /** Returns the factor by which active faults multiply the service time at @p now. */
    double serviceTimeFactor(TimePoint now) const;

    /** Returns the next point in time at which a fault expires and changes serviceTimeFactor(), or TimePoint::max() if there is none. */
    TimePoint nextFactorChange(TimePoint now) const;

    /**
     * Applies the fields of a control request, or none of them if one is invalid. Durations of faults in `..._ms` start
     * at @p now; a fault with a negative duration never ends.
     * @param fields  JSON object of the request
     * @param now  current time
     * @return the name of the first unknown or malformed field, `body` if @p fields is not an object, or `factor` if a factor is not
     * positive; empty on success
     */
    std::string apply(const nlohmann::json &fields, TimePoint now);
};

} // namespace carobjunction::standin
