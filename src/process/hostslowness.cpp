#include <carobjunction/process/hostslowness.h>

namespace carobjunction
{

void HostSlowness::observe(double factor, TimePoint now)
{
    const bool wasSlow = isSlow(now);
    m_factor = factor;
    m_readAt = now;
    if (!wasSlow && isSlow(now)) {
        m_slowSince = now;
    }
}

} // namespace carobjunction
