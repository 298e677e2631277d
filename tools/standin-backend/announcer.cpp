#include "announcer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace carobjunction::standin
{

Announcer::Announcer(std::string operatorAddress, Announcement announcement, std::function<bool()> isEnabled)
    : m_operatorAddress(std::move(operatorAddress)), m_announcement(std::move(announcement)), m_isEnabled(std::move(isEnabled)), m_thread([this] { loop(); })
{
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

bool Announcer::leave()
{
    m_left = true;
    return post("/v1/target/leave");
}

void Announcer::loop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const bool announced = m_left || !m_isEnabled() || post("/v1/target/announce");
        lock.lock();
        // A daemon that has just been started is tried again soon, so that tests don't wait for a whole interval.
        m_wake.wait_for(lock, announced ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(100), [this] { return m_stopping; });
    }
}

bool Announcer::post(const std::string &path) const
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
