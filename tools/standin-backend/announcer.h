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

/** What a backend server tells its daemon about itself. */
struct Announcement {
    std::string service;
    std::string address;
    uint32_t slots = 0;
    uint64_t incarnation = 0;
};

/** Announces the backend server at its daemon's operator port once a second. */
class Announcer
{
public:
    /**
     * @param operatorAddress  `ip:port` of the daemon's operator port
     * @param announcement  content of each announcement
     * @param isEnabled  asked before each announcement
     */
    Announcer(std::string operatorAddress, Announcement announcement, std::function<bool()> isEnabled);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /**
     * Tells the daemon that the backend server is leaving, and stops the announcements.
     * @return whether the daemon accepted it
     */
    bool leave();

private:
    void loop();
    bool post(const std::string &path) const;

    const std::string m_operatorAddress;
    const Announcement m_announcement;
    const std::function<bool()> m_isEnabled;
    std::atomic<bool> m_left { false };
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace carobjunction::standin
