#include <carobjunction/process/crashhistory.h>

#include <algorithm>

namespace carobjunction
{

namespace
{

/** Sorts @p items by time. @return the newest @p limit of them, without their times, oldest first */
template<typename T>
std::vector<T> newest(std::vector<std::pair<TimePoint, T>> items, size_t limit)
{
    std::sort(items.begin(), items.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<T> result;
    for (size_t i = items.size() - std::min(items.size(), limit); i < items.size(); ++i) {
        result.push_back(std::move(items[i].second));
    }
    return result;
}

} // namespace

bool CrashHistory::add(const CrashReport &report, TimePoint now)
{
    prune(now);
    if (m_answered.contains(report.fingerprint, now)) {
        m_cleared.try_emplace(report.fingerprint, now); // the other daemons may not know of the answer
        return false;
    }
    Entry &entry = m_entries[report.fingerprint];
    const bool isNew = entry.crashes.emplace(report.backend, now).second;
    if (isNew) {
        entry.updatedAt = now;
    }
    return isNew;
}

bool CrashHistory::onAnswered(uint64_t fingerprint, TimePoint now)
{
    m_answered.add(fingerprint, now);
    if (m_entries.erase(fingerprint) == 0) {
        return false;
    }
    m_cleared[fingerprint] = now;
    return true;
}

Duration CrashHistory::condemnedFor(uint64_t fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.crashes.size() < CrashesToCondemn) {
        return Duration::zero();
    }
    const Entry &entry = found->second;
    const Duration period = entry.crashes.size() == CrashesToCondemn ? FirstCondemnation : Retention;
    return std::max(entry.updatedAt + period - now, Duration::zero());
}

bool CrashHistory::isCondemned(uint64_t fingerprint, TimePoint now) const
{
    return condemnedFor(fingerprint, now) > Duration::zero();
}

std::vector<CrashReport> CrashHistory::reportsSince(TimePoint since, size_t limit) const
{
    std::vector<std::pair<TimePoint, CrashReport>> found;
    for (const auto &[fingerprint, entry] : m_entries) {
        for (const auto &[backend, recordedAt] : entry.crashes) {
            if (recordedAt >= since) {
                found.emplace_back(recordedAt, CrashReport { fingerprint, backend });
            }
        }
    }
    return newest(std::move(found), limit);
}

std::vector<uint64_t> CrashHistory::clearedSince(TimePoint since, size_t limit) const
{
    std::vector<std::pair<TimePoint, uint64_t>> found;
    for (const auto &[fingerprint, clearedAt] : m_cleared) {
        if (clearedAt >= since) {
            found.emplace_back(clearedAt, fingerprint);
        }
    }
    return newest(std::move(found), limit);
}

void CrashHistory::prune(TimePoint now)
{
    std::erase_if(m_cleared, [now](const auto &item) { return now - item.second > AnswerRetention; });
    std::erase_if(m_entries, [now](const auto &item) { return now - item.second.updatedAt > Retention; });
    while (m_entries.size() >= MaxFingerprints) {
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) { return a.second.updatedAt < b.second.updatedAt; }));
    }
}

} // namespace carobjunction
