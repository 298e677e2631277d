#include "connection/bodybudget.h"

namespace carobjunction
{

BodyBudget::Reservation::~Reservation()
{
    if (m_budget) {
        m_budget->m_held -= m_bytes;
    }
}

bool BodyBudget::Reservation::resize(uint64_t bytes)
{
    const uint64_t others = m_budget->m_held - m_bytes;
    if (bytes > m_bytes) {
        const bool fits = bytes <= m_budget->m_bytes - others && bytes <= FreeMultiple * (m_budget->m_bytes - others - bytes);
        if (!fits) {
            if (m_budget->m_onRefused) {
                m_budget->m_onRefused();
            }
            return false;
        }
    }
    m_budget->m_held = others + bytes;
    m_bytes = bytes;
    return true;
}

std::optional<BodyBudget::Reservation> BodyBudget::reserve(uint64_t bytes)
{
    Reservation reservation(shared_from_this());
    if (!reservation.resize(bytes)) {
        return std::nullopt;
    }
    return reservation;
}

} // namespace carobjunction
