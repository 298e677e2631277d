#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace carobjunction::standin
{

/** Content of the announcement that a backend server sends to its daemon. */
struct Announcement {
    std::string service;
    std::string address; /**< `ip:port` at which the backend server accepts requests. */
    uint32_t slots = 0; /**< Maximum number of requests that run concurrently. */
    uint64_t incarnation = 0; /**< Start time in milliseconds since the Unix epoch. */
};

/** Announces the backend server once a second at the operator port of its daemon, on a separate thread. */
class Announcer
{
public:
    /**
     * Starts the announcements.
     * @param operatorAddress  `ip:port` of the daemon's operator port
     * @param announcement  content of each announcement
     * @param isEnabled  called before each announcement, which is skipped if it returns false
     */
    Announcer(std::string operatorAddress, Announcement announcement, std::function<bool()> isEnabled);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /**
     * Notifies the daemon that the backend server is leaving and stops the announcements.
     * @return whether the daemon accepted the notification
     */
    bool announceLeave();

private:
    /** Sends announcements until the destructor runs. */
    void runAnnouncements();
    /** Posts the announcement to a path of the operator port. @return whether the daemon responded with a 2xx status */
    bool postAnnouncement(const std::string &path) const;

    const std::string m_operatorAddress;
    const Announcement m_announcement;
    const std::function<bool()> m_isEnabled;
    std::atomic<bool> m_hasLeft { false };
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace carobjunction::standin
