#pragma once

#include "connection/asio.h"

#include <carobjunction/process/clock.h>

#include <memory>
#include <set>
#include <string>

namespace carobjunction::soak
{

/** What happens to the bytes of one direction. */
struct LinkFault {
    bool isSilent = false; /**< Bytes are held back. */
    Duration delay = Duration::zero();
};

/** Passes the connections and datagrams of one port on to another, and harms them. Used on one event loop; not thread-safe. */
class FaultProxy : public std::enable_shared_from_this<FaultProxy>
{
public:
    /** @param port  port on 127.0.0.1 for TCP and UDP. @return the proxy, or null if the port can't be opened */
    static std::shared_ptr<FaultProxy> open(asio::io_context &loop, uint16_t port, const Tcp::endpoint &target);

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /** Resets all connections. */
    void reset();

    LinkFault toTarget;
    LinkFault toClient;

private:
    struct Link;

    FaultProxy(asio::io_context &loop, const Tcp::endpoint &target) : m_loop(loop), m_target(target), m_acceptor(loop), m_datagrams(loop)
    {
    }

    Task<void> accept();
    Task<void> connect(std::shared_ptr<Link> link);
    Task<void> pump(std::shared_ptr<Link> link, Tcp::socket &from, Tcp::socket &to, const LinkFault &fault);
    Task<void> passDatagrams();
    Task<void> hold(const LinkFault &fault);

    asio::io_context &m_loop;
    Tcp::endpoint m_target;
    Tcp::acceptor m_acceptor;
    Udp::socket m_datagrams;
    std::set<std::shared_ptr<Link>> m_links;
};

} // namespace carobjunction::soak
