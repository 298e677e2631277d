#include "targetview.h"

#include <limits>
#include <utility>

namespace carobjunction::bench
{

TargetView::TargetView(std::vector<TargetPlace> places) : m_places(std::move(places)), m_states(m_places.size())
{
}

void TargetView::setFactor(std::size_t target, double factor, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].factor = factor;
    m_states[target].factorUntil = until;
}

void TargetView::setUsable(std::size_t target, bool usable)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].usable = usable;
}

void TargetView::setUnusableUntil(std::size_t target, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_states[target].unusableUntil = until;
}

std::size_t TargetView::choose(const std::string &service, const std::string &region, double regionCostMs)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = std::chrono::steady_clock::now();
    std::size_t best = 0;
    double bestCost = std::numeric_limits<double>::infinity();
    ++m_next;
    for (std::size_t i = 0; i < m_places.size(); ++i) {
        const std::size_t target = (m_next + i) % m_places.size();
        if (m_places[target].service != service) {
            continue;
        }
        const double total = cost(target, now) + (m_places[target].region == region ? 0 : regionCostMs);
        if (total < bestCost) {
            best = target;
            bestCost = total;
        }
    }
    ++m_states[best].inProgress;
    return best;
}

void TargetView::finish(std::size_t target)
{
    const std::lock_guard lock(m_mutex);
    --m_states[target].inProgress;
}

/** Expected time to answer one more call: its own service time, and the time until a slot is free. */
double TargetView::cost(std::size_t target, TimePoint now) const
{
    const State &state = m_states[target];
    const TargetPlace &place = m_places[target];
    // An unusable target stays a last resort, so that a choice exists even when all are lost.
    const double penalty = state.usable && now >= state.unusableUntil ? 0 : 1e9;
    const double speed = place.serviceTimeMs * (now < state.factorUntil ? state.factor : 1);
    const double ahead = state.inProgress < place.slots ? 0 : static_cast<double>(state.inProgress - place.slots + 1) / place.slots;
    // The last term spreads calls over targets that all have free slots.
    return penalty + speed * (1 + ahead) + speed * 1e-3 * state.inProgress;
}

} // namespace carobjunction::bench
