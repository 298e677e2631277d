#include <carobjunction/process/routeconfirmation.h>

#include <carobjunction/process/durations.h>

#include <algorithm>

namespace carobjunction
{

void RouteConfirmation::confirm(TimePoint at)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

void RouteConfirmation::confirmByPeer(uint64_t peerVersion, uint64_t ownVersion, Duration age, TimePoint now)
{
    if (peerVersion <= ownVersion) {
        confirm(now - age);
    }
}

void RouteConfirmation::onCheckStarted(TimePoint now)
{
    m_checkStartedAt = now;
}

Duration RouteConfirmation::untilCheck(double fraction, TimePoint now) const
{
    const Duration checkAge = MinCheckAge + scaled(MaxAge - MinCheckAge, fraction);
    const Duration untilStale = m_confirmedAt ? *m_confirmedAt + checkAge - now : Duration::zero();
    const Duration untilAllowed = m_checkStartedAt ? *m_checkStartedAt + MinCheckInterval - now : Duration::zero();
    return std::max({ untilStale, untilAllowed, Duration::zero() });
}

std::optional<Duration> RouteConfirmation::age(TimePoint now) const
{
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return std::max(now - *m_confirmedAt, Duration::zero());
}

} // namespace carobjunction
