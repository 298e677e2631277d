#include "process/announcedbackend.h"

namespace carobjunction
{

AnnouncementVerdict AnnouncedBackend::onAnnouncement(const TargetAnnouncement &announcement)
{
    const std::scoped_lock lock(m_mutex);
    const AnnouncementVerdict verdict = check(announcement);
    if (verdict == AnnouncementVerdict::Accepted) {
        m_address = announcement.address;
        m_incarnation = announcement.incarnation;
    }
    return verdict;
}

AnnouncementVerdict AnnouncedBackend::checkLeave(const TargetAnnouncement &announcement) const
{
    const std::scoped_lock lock(m_mutex);
    return check(announcement);
}

AnnouncementVerdict AnnouncedBackend::check(const TargetAnnouncement &announcement) const
{
    if (announcement.service != m_service) {
        return AnnouncementVerdict::OtherService;
    }
    if (announcement.incarnation < m_incarnation) {
        return AnnouncementVerdict::EarlierProcess;
    }
    if (announcement.incarnation == m_incarnation && announcement.address != m_address) {
        return AnnouncementVerdict::OtherAddress;
    }
    return AnnouncementVerdict::Accepted;
}

} // namespace carobjunction
