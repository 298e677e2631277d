#pragma once

#include <carobjunction/process/clock.h>

#include <deque>

namespace carobjunction
{

/**
 * How slow work is at this moment on the VM of a backend server, which shares its host with others. Work that starts in a slow spell
 * takes several times as long, and spells come and go within fractions of a second. Slowness that lasts, such as that of a backend
 * server that has just started, is not worth waiting for: it counts as usual. Not thread-safe.
 */
class HostSlowness
{
public:
    /** Age up to which a reading tells how slow work is now. */
    static constexpr Duration Freshness = std::chrono::milliseconds(20);
    /** Age from which on a reading tells nothing. */
    static constexpr Duration Expiry = std::chrono::milliseconds(150);
    /** Work that takes this many times longer than usual is slow. */
    static constexpr double SpellFactor = 1.5;
    /** Time over which the least factor counts as usual. Longer than nearly all spells. */
    static constexpr Duration UsualWindow = std::chrono::seconds(1);
    /** Usual factor of a backend server that has just started, before readings show it. */
    static constexpr double ColdFactor = 2;

    /**
     * @param factor  time that work takes, relative to a calm VM
     * @param isCold  whether the backend server has just started
     */
    void observe(double factor, bool isCold, TimePoint now);

    bool isFresh(TimePoint now) const
    {
        return !m_readings.empty() && now - m_readings.back().at <= Freshness;
    }

    /** @return time that work takes, relative to a calm VM; 1 if the last reading is too old to tell */
    double factor(TimePoint now) const
    {
        return m_readings.empty() || now - m_readings.back().at > Expiry ? 1 : m_readings.back().factor;
    }

    /** @return the factor that work has when the present spell is over */
    double usualFactor() const
    {
        return m_usual;
    }

    /** @return whether work is slow now and likely to be faster soon */
    bool isSlow(TimePoint now) const
    {
        return factor(now) > SpellFactor * m_usual;
    }

private:
    struct Reading {
        TimePoint at;
        double factor = 1;
    };

    std::deque<Reading> m_readings; /**< Of the last UsualWindow. */
    double m_usual = 1;
};

} // namespace carobjunction
