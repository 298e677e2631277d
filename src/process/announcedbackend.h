#pragma once

#include <carobjunction/process/enumnames.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace carobjunction
{

/** What a backend server says of itself on the operator port, when it announces itself or leaves. */
struct TargetAnnouncement {
    std::string service;
    std::string address; /**< `ip:port`. */
    uint32_t slots = 0; /**< Maximum number of concurrent requests. */
    uint64_t incarnation = 0; /**< Increases with each start of the backend server; not 0. */
};

/** Whether an announcement is believed. Only an accepted one has an effect. */
enum class AnnouncementVerdict {
    Accepted,
    OtherService,
    EarlierProcess,
    OtherAddress,
};

/** The names are the reasons in the responses of the operator port. */
template<>
struct EnumNames<AnnouncementVerdict> {
    static constexpr std::pair<AnnouncementVerdict, std::string_view> Table[] = {
        { AnnouncementVerdict::Accepted, "accepted" },
        { AnnouncementVerdict::OtherService, "the settings of this daemon name another service" },
        { AnnouncementVerdict::EarlierProcess, "a later process of the backend server has announced itself" },
        { AnnouncementVerdict::OtherAddress, "this process has announced another address" },
    };
};

/** Process of the backend server that has announced itself last. Decides which messages are from this process or a later one. Thread-safe. */
class AnnouncedBackend
{
public:
    /** @param service  service of this daemon's backend server, from the settings */
    explicit AnnouncedBackend(std::string service) : m_service(std::move(service))
    {
    }

    /** Checks an announcement, and remembers its process if it is accepted. */
    AnnouncementVerdict onAnnouncement(const TargetAnnouncement &announcement);

    /** Checks whether a leave is from the announced process. Before the first announcement, a leave of any process of the service is accepted. */
    AnnouncementVerdict checkLeave(const TargetAnnouncement &announcement) const;

private:
    AnnouncementVerdict check(const TargetAnnouncement &announcement) const;

    std::string m_service;
    mutable std::mutex m_mutex;
    std::string m_address;
    uint64_t m_incarnation = 0; /**< 0 before the first announcement. */
};

} // namespace carobjunction
