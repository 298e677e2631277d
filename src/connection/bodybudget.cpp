#include "connection/bodybudget.h"

namespace carobjunction
{

BodyBudget::Reservation::~Reservation()
{
    if (m_budget) {
        m_budget->m_reservedBytes -= m_bytes;
    }
}

bool BodyBudget::Reservation::resize(uint64_t bytes)
{
    const uint64_t otherBytes = m_budget->m_reservedBytes - m_bytes;
    if (bytes > m_bytes) {
        const bool fits = bytes <= m_budget->m_limitBytes - otherBytes && bytes <= MaxBodyToFreeRatio * (m_budget->m_limitBytes - otherBytes - bytes);
        if (!fits) {
            if (m_budget->m_onExhausted) {
                m_budget->m_onExhausted();
            }
            return false;
        }
    }
    m_budget->m_reservedBytes = otherBytes + bytes;
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
