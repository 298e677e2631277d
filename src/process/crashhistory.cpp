#include <carobjunction/process/crashhistory.h>

#include <algorithm>

namespace carobjunction
{

bool CrashHistory::add(const CrashReport &report, TimePoint now)
{
    prune(now);
    Entry &entry = m_entries[report.fingerprint];
    entry.updatedAt = now;
    return entry.crashes.emplace(report.backend, now).second;
}

bool CrashHistory::isCondemned(uint64_t fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.crashes.size() >= CrashesToCondemn;
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
    std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    const size_t skipped = found.size() > limit ? found.size() - limit : 0;
    std::vector<CrashReport> reports;
    for (size_t i = skipped; i < found.size(); ++i) {
        reports.push_back(found[i].second);
    }
    return reports;
}

void CrashHistory::prune(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) { return now - item.second.updatedAt > Retention; });
    while (m_entries.size() >= MaxFingerprints) {
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) { return a.second.updatedAt < b.second.updatedAt; }));
    }
}

} // namespace carobjunction
