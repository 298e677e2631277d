#pragma once

#include <httplib.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Pool of persistent HTTP connections to one address. Idle connections are reused in last-in, first-out order. Thread-safe. */
class ConnectionPool
{
public:
    /** An HTTP connection that is returned to its pool when this object is destroyed. */
    class Connection
    {
    public:
        Connection(ConnectionPool &pool, std::unique_ptr<httplib::Client> client);
        ~Connection();
        Connection(const Connection &) = delete;
        Connection &operator=(const Connection &) = delete;

        httplib::Client *operator->() const
        {
            return m_client.get();
        }

        /** Closes the connection instead of returning it to the pool, as needed after an error. */
        void discard()
        {
            m_client.reset();
        }

    private:
        ConnectionPool &m_pool;
        std::unique_ptr<httplib::Client> m_client;
    };

    /**
     * @param address  `ip:port` of the server
     * @param timeout  timeout of each read and write
     */
    ConnectionPool(std::string address, std::chrono::milliseconds timeout);

    /** @return an idle connection, or a new one if none is idle */
    Connection acquire();

    const std::string &address() const
    {
        return m_address;
    }

private:
    const std::string m_address;
    const std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

} // namespace carobjunction::bench
