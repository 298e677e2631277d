#pragma once

#include "connection/asio.h"

#include <carobjunction/process/clock.h>

#include <memory>
#include <set>
#include <string>

namespace carobjunction::soak
{

/** Faults injected into one direction of the proxied traffic. */
struct LinkFault {
    bool isStalled = false; /**< Holds back bytes of connections; datagrams to the target are dropped. */
    Duration delay = Duration::zero(); /**< Delay of each chunk of a connection. */
};

/**
 * Forwards TCP connections and UDP datagrams of a port to a target and injects faults into them.
 * Runs on one event loop; not thread-safe.
 */
class FaultProxy : public std::enable_shared_from_this<FaultProxy>
{
public:
    /**
     * Starts a proxy.
     * @param port  port on 127.0.0.1 for TCP and UDP
     * @return the proxy, or null if the port cannot be opened
     */
    static std::shared_ptr<FaultProxy> open(asio::io_context &loop, uint16_t port, const Tcp::endpoint &target);

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /** Closes all connections with a TCP reset. */
    void resetConnections();

    LinkFault toTarget;
    LinkFault toClient;

private:
    struct ProxiedConnection;

    FaultProxy(asio::io_context &loop, const Tcp::endpoint &target) : m_loop(loop), m_target(target), m_acceptor(loop), m_datagrams(loop)
    {
    }

    Task<void> accept();
    Task<void> connect(std::shared_ptr<ProxiedConnection> connection);
    Task<void> relay(std::shared_ptr<ProxiedConnection> connection, Tcp::socket &from, Tcp::socket &to, const LinkFault &fault);
    Task<void> relayDatagrams();
    Task<void> applyFault(const LinkFault &fault);

    asio::io_context &m_loop;
    Tcp::endpoint m_target;
    Tcp::acceptor m_acceptor;
    Udp::socket m_datagrams;
    std::set<std::shared_ptr<ProxiedConnection>> m_connections;
};

} // namespace carobjunction::soak
