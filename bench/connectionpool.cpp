#include "connectionpool.h"

#include <utility>

namespace carobjunction::bench
{

ConnectionPool::Connection::Connection(ConnectionPool &pool, std::unique_ptr<httplib::Client> client) : m_pool(pool), m_client(std::move(client))
{
}

ConnectionPool::Connection::~Connection()
{
    if (m_client != nullptr) {
        const std::lock_guard lock(m_pool.m_mutex);
        m_pool.m_idle.push_back(std::move(m_client));
    }
}

ConnectionPool::ConnectionPool(std::string address, std::chrono::milliseconds timeout) : m_address(std::move(address)), m_timeout(timeout)
{
}

ConnectionPool::Connection ConnectionPool::acquire()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            auto client = std::move(m_idle.back());
            m_idle.pop_back();
            return { *this, std::move(client) };
        }
    }
    auto client = std::make_unique<httplib::Client>("http://" + m_address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(std::chrono::seconds(1));
    client->set_read_timeout(m_timeout);
    client->set_write_timeout(m_timeout);
    return { *this, std::move(client) };
}

} // namespace carobjunction::bench
