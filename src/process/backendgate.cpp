#include <carobjunction/process/backendgate.h>

#include <utility>

namespace carobjunction
{

bool BackendGate::isStale(const Heartbeat &heartbeat) const
{
    if (heartbeat.startedAtMs != m_record.startedAtMs) {
        return heartbeat.startedAtMs < m_record.startedAtMs;
    }
    return heartbeat.id == m_record.id && heartbeat.sequence <= m_lastSequence;
}

bool BackendGate::hasLeft(const std::string &id, uint64_t startedAtMs, TimePoint now) const
{
    const auto found = m_leaveNotices.find(id);
    return found != m_leaveNotices.end() && startedAtMs <= found->second.unixTimeMs && now - found->second.receivedAt < LeaveNoticeRetention;
}

void BackendGate::recordLeave(const std::string &id, TimePoint now, uint64_t unixTimeMs)
{
    std::erase_if(m_leaveNotices, [now](const auto &entry) { return now - entry.second.receivedAt >= LeaveNoticeRetention; });
    m_leaveNotices[id] = { now, unixTimeMs };
}

/** @return whether the process may be that of a leave that is not verified */
bool BackendGate::isHeldBack(const std::string &id, uint64_t startedAtMs, TimePoint now) const
{
    return m_unverifiedRecord && m_unverifiedRecord->id == id && startedAtMs <= m_unverifiedRecord->startedAtMs && now < m_holdBackUntil;
}

HeartbeatResult BackendGate::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.service != m_service) {
        return HeartbeatResult::Foreign;
    }
    const bool isKnown = !m_record.id.empty();
    if (isKnown && isStale(heartbeat)) {
        return HeartbeatResult::Stale;
    }
    const bool isSameProcess = isKnown && heartbeat.id == m_record.id && heartbeat.startedAtMs == m_record.startedAtMs;
    if (!isSameProcess) {
        m_isLeaving = false;
    }
    m_isLeaving = m_isLeaving || heartbeat.draining || hasLeft(heartbeat.id, heartbeat.startedAtMs, now);
    m_lastSequence = heartbeat.sequence;
    m_lastHeartbeatAt = now;
    m_coldUntil = now + heartbeat.coldRemaining;
    const bool remainsGone = m_isLeaving && isSameProcess && m_record.state == BackendState::Gone;
    const bool isGone = remainsGone || isHeldBack(heartbeat.id, heartbeat.startedAtMs, now);
    const BackendState state = isGone ? BackendState::Gone : m_isLeaving ? BackendState::Draining : BackendState::Ready;
    const BackendRecord record { heartbeat.id, heartbeat.startedAtMs, heartbeat.service, heartbeat.slots, state, m_isLeaving };
    if (record == m_record) {
        return HeartbeatResult::Refreshed;
    }
    m_record = record;
    return HeartbeatResult::Changed;
}

bool BackendGate::onLeave(const std::string &id, TimePoint now, uint64_t unixTimeMs)
{
    if (m_record.id.empty() && m_formerRecord.id == id) {
        m_record = m_formerRecord;
    }
    if (m_record.id != id) {
        recordLeave(id, now, unixTimeMs);
        return false;
    }
    m_isLeaving = true;
    BackendRecord record = m_record;
    record.state = BackendState::Gone;
    record.isLeaving = true;
    record.isVerified = true;
    return std::exchange(m_record, record) != record;
}

bool BackendGate::restoreRecord(const BackendRecord &persisted, TimePoint now)
{
    if (persisted.service != m_service) {
        return false;
    }
    if (persisted.isLeaving && !persisted.isVerified) {
        m_unverifiedRecord = persisted;
        m_formerRecord = persisted;
        return isHeldBack(m_record.id, m_record.startedAtMs, now) && markGone();
    }
    const bool isLeaving = persisted.isLeaving || hasLeft(persisted.id, persisted.startedAtMs, now);
    if (!isLeaving) {
        m_formerRecord = persisted;
        return false;
    }
    const bool isSame = m_record.id == persisted.id && m_record.startedAtMs == persisted.startedAtMs;
    if (!m_record.id.empty() && !isSame) {
        recordLeave(persisted.id, now, persisted.startedAtMs);
        return false;
    }
    m_record = persisted;
    m_record.state = BackendState::Gone;
    m_record.isLeaving = true;
    return !std::exchange(m_isLeaving, true);
}

bool BackendGate::markGone()
{
    if (m_record.state != BackendState::Ready) {
        return false;
    }
    m_record.state = BackendState::Gone;
    return true;
}

bool BackendGate::checkHeartbeatTimeout(TimePoint now)
{
    return m_record.state == BackendState::Ready && now - m_lastHeartbeatAt > m_heartbeatTimeout && markGone();
}

} // namespace carobjunction
