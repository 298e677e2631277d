#include "announcer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace carobjunction::standin
{

Announcer::Announcer(std::string operatorAddress, Announcement announcement, std::function<bool()> isEnabled)
    : m_operatorAddress(std::move(operatorAddress))
    , m_announcement(std::move(announcement))
    , m_isEnabled(std::move(isEnabled))
    , m_thread([this] { runAnnouncements(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopCondition.notify_all();
    m_thread.join();
}

bool Announcer::announceLeave()
{
    m_hasLeft = true;
    return postAnnouncement("/v1/target/leave");
}

void Announcer::runAnnouncements()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        const bool hasAnnounced = m_hasLeft || !m_isEnabled() || postAnnouncement("/v1/target/announce");
        lock.lock();
        // Retries after 100 ms instead of the usual interval, so that tests don't wait a second for a daemon that is still starting.
        m_stopCondition.wait_for(lock, hasAnnounced ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(100), [this] { return m_isStopping; });
    }
}

bool Announcer::postAnnouncement(const std::string &path) const
{
    httplib::Client client("http://" + m_operatorAddress);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const nlohmann::json body { { "service", m_announcement.service },
                                { "address", m_announcement.address },
                                { "slots", m_announcement.slots },
                                { "incarnation", m_announcement.incarnation } };
    const auto result = client.Post(path, body.dump(), "application/json");
    return result && result->status >= 200 && result->status < 300;
}

} // namespace carobjunction::standin
