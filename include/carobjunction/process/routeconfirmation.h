#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <optional>

namespace carobjunction
{

/**
 * Tracks up to which time the routes in force are known to be the newest, and decides when to ask the store again. A watch of the store can
 * end without a sign: a response that is lost leaves its connection open. Therefore a daemon whose routes have not been confirmed for a while
 * asks the store. A confirmation also counts for the daemons that hear of it, so that a fleet of any size asks about as often as one daemon.
 *
 * Times must come from a clock that includes the time for which the VM was suspended. Not thread-safe.
 */
class RouteConfirmation
{
public:
    /** Age of a confirmation at which the store is asked at the latest. With one response time of the store, it bounds the time to a new version. */
    static constexpr Duration MaxAge = std::chrono::milliseconds(1500);
    /** Lower end of the range from which each daemon draws that age, so that usually one daemon asks and the others hear of it. */
    static constexpr Duration MinCheckAge = std::chrono::milliseconds(1000);
    /** Minimum time between two checks, also if they fail. */
    static constexpr Duration MinCheckInterval = std::chrono::milliseconds(500);

    /** Records that the routes in force were the newest at the time @p at. */
    void confirm(TimePoint at);

    /**
     * Records the confirmation that a peer has reported.
     * @param peerVersion  version of the peer's routes; the report is ignored if it is newer than @p ownVersion
     * @param age  age of the peer's confirmation when it was sent
     */
    void confirmByPeer(uint64_t peerVersion, uint64_t ownVersion, Duration age, TimePoint now);

    /** Records the start of a check. */
    void onCheckStarted(TimePoint now);

    /** @return time until the next check is due, not negative. @param fraction  random number from 0 to 1 that spreads the checks of the daemons */
    Duration untilCheck(double fraction, TimePoint now) const;

    /** @return age of the last confirmation, or empty if there is none */
    std::optional<Duration> age(TimePoint now) const;

private:
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_checkStartedAt;
};

} // namespace carobjunction
