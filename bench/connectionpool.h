#pragma once

#include <httplib.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Kept-alive HTTP connections to one address. Thread-safe; the connection used last is used first. */
class ConnectionPool
{
public:
    /** A connection that goes back to its pool. */
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

        /** Closes the connection instead of giving it back. */
        void discard()
        {
            m_client.reset();
        }

    private:
        ConnectionPool &m_pool;
        std::unique_ptr<httplib::Client> m_client;
    };

    /**
     * @param address  `ip:port`
     * @param timeout  longest wait for an answer
     */
    ConnectionPool(std::string address, std::chrono::milliseconds timeout);

    Connection lease();

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
