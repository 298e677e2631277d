#pragma once

#include <carobjunction/process/clock.h>

#include <optional>

namespace carobjunction
{

/**
 * How slow work is at this moment on the VM of a backend server, which shares its host with others. Work that starts in a slow spell
 * takes several times as long, and spells come and go within fractions of a second. Not thread-safe.
 */
class HostSlowness
{
public:
    /** Age up to which a reading tells how slow work is now. */
    static constexpr Duration Freshness = std::chrono::milliseconds(20);
    /** Age from which on a reading tells nothing. */
    static constexpr Duration Expiry = std::chrono::milliseconds(150);
    /** Factor up to which work counts as usual. */
    static constexpr double CalmLimit = 1.5;
    /** A spell that has lasted this long is not expected to end soon. */
    static constexpr Duration LongSpell = std::chrono::seconds(1);

    /** @param factor  time that work takes, relative to what is usual */
    void observe(double factor, TimePoint now);

    bool isFresh(TimePoint now) const
    {
        return m_readAt && now - *m_readAt <= Freshness;
    }

    /** @return time that work takes, relative to what is usual; 1 if the last reading is too old to tell */
    double factor(TimePoint now) const
    {
        return m_readAt && now - *m_readAt <= Expiry ? m_factor : 1;
    }

    bool isSlow(TimePoint now) const
    {
        return factor(now) > CalmLimit;
    }

    /** @return whether work is slow and likely to be as usual again soon */
    bool isPassing(TimePoint now) const
    {
        return isSlow(now) && now - m_slowSince < LongSpell;
    }

private:
    double m_factor = 1;
    std::optional<TimePoint> m_readAt; /**< Empty before the first reading. */
    TimePoint m_slowSince;
};

} // namespace carobjunction
