#include <carobjunction/process/backendgate.h>

#include <utility>

namespace carobjunction
{

bool BackendGate::isFormerProcess(const Heartbeat &beat) const
{
    if (beat.bornMs != m_record.bornMs) {
        return beat.bornMs < m_record.bornMs;
    }
    return beat.id == m_record.id && beat.sequence <= m_sequence;
}

bool BackendGate::hasDeparted(const Heartbeat &beat, TimePoint now) const
{
    const auto found = m_departures.find(beat.id);
    return found != m_departures.end() && beat.bornMs <= found->second.unixMs && now - found->second.notedAt < DepartureMemory;
}

void BackendGate::noteDeparture(const std::string &id, TimePoint now, uint64_t unixMs)
{
    std::erase_if(m_departures, [now](const auto &entry) { return now - entry.second.notedAt >= DepartureMemory; });
    m_departures[id] = { now, unixMs };
}

HeartbeatEffect BackendGate::onHeartbeat(const Heartbeat &beat, TimePoint now)
{
    const bool known = !m_record.id.empty();
    if (known && isFormerProcess(beat)) {
        return HeartbeatEffect::Stale;
    }
    const bool sameProcess = known && beat.id == m_record.id && beat.bornMs == m_record.bornMs;
    if (!sameProcess) {
        m_leaving = false;
    }
    m_leaving = m_leaving || beat.draining || hasDeparted(beat, now);
    m_sequence = beat.sequence;
    m_heardAt = now;
    m_coldUntil = now + beat.coldRemaining;
    const BackendState state
        = !m_leaving ? BackendState::Ready : (m_record.state == BackendState::Gone && sameProcess ? BackendState::Gone : BackendState::Draining);
    const BackendRecord record { beat.id, beat.bornMs, beat.service, beat.slots, state, m_leaving };
    if (record == m_record) {
        return HeartbeatEffect::Refreshed;
    }
    m_record = record;
    return HeartbeatEffect::Changed;
}

bool BackendGate::onLeave(const std::string &id, TimePoint now, uint64_t unixMs)
{
    if (m_record.id != id) {
        noteDeparture(id, now, unixMs);
        return false;
    }
    m_leaving = true;
    const bool changed = m_record.state != BackendState::Gone;
    m_record.state = BackendState::Gone;
    m_record.isLeaving = true;
    return changed;
}

bool BackendGate::recall(const BackendRecord &former, TimePoint now)
{
    if (!former.isLeaving) {
        return false;
    }
    const bool isSame = m_record.id == former.id && m_record.bornMs == former.bornMs;
    if (!m_record.id.empty() && !isSame) {
        noteDeparture(former.id, now, former.bornMs);
        return false;
    }
    m_record = former;
    m_record.state = BackendState::Gone;
    return !std::exchange(m_leaving, true);
}

bool BackendGate::onLost()
{
    if (m_record.state != BackendState::Ready) {
        return false;
    }
    m_record.state = BackendState::Gone;
    return true;
}

bool BackendGate::checkSilence(TimePoint now)
{
    return m_record.state == BackendState::Ready && now - m_heardAt > m_silenceLimit && onLost();
}

} // namespace carobjunction
