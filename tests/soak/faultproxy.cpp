#include "faultproxy.h"

#include <boost/asio/write.hpp>

#include <array>

namespace carobjunction::soak
{

namespace
{

constexpr auto SilenceCheckInterval = std::chrono::milliseconds(10);
constexpr size_t ChunkBytes = 16U << 10U;

void resetSocket(Tcp::socket &socket)
{
    ErrorCode ignored; // the connection is given up in any case
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct FaultProxy::Link {
    explicit Link(asio::io_context &loop) : client(loop), target(loop)
    {
    }

    Tcp::socket client;
    Tcp::socket target;
};

std::shared_ptr<FaultProxy> FaultProxy::open(asio::io_context &loop, uint16_t port, const Tcp::endpoint &target)
{
    std::shared_ptr<FaultProxy> proxy(new FaultProxy(loop, target));
    const Tcp::endpoint local(asio::ip::make_address("127.0.0.1"), port);
    try {
        proxy->m_acceptor.open(local.protocol());
        proxy->m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        proxy->m_acceptor.bind(local);
        proxy->m_acceptor.listen(1024);
        proxy->m_datagrams.open(Udp::v4());
        proxy->m_datagrams.bind(Udp::endpoint(local.address(), port));
    } catch (const boost::system::system_error &) {
        return nullptr;
    }
    asio::co_spawn(
        loop, [proxy]() -> Task<void> { co_await proxy->accept(); }, asio::detached);
    asio::co_spawn(
        loop, [proxy]() -> Task<void> { co_await proxy->passDatagrams(); }, asio::detached);
    return proxy;
}

void FaultProxy::reset()
{
    for (const std::shared_ptr<Link> &link : std::exchange(m_links, {})) {
        resetSocket(link->client);
        resetSocket(link->target);
    }
}

Task<void> FaultProxy::accept()
{
    while (true) {
        const auto link = std::make_shared<Link>(m_loop);
        ErrorCode error;
        co_await m_acceptor.async_accept(link->client, redirectError(error));
        if (error) {
            co_return;
        }
        m_links.insert(link);
        asio::co_spawn(
            m_loop, [self = shared_from_this(), link]() -> Task<void> { co_await self->connect(link); }, asio::detached);
    }
}

Task<void> FaultProxy::connect(std::shared_ptr<Link> link)
{
    ErrorCode error;
    co_await link->target.async_connect(m_target, redirectError(error));
    if (error) {
        m_links.erase(link);
        resetSocket(link->client);
        co_return;
    }
    link->client.set_option(Tcp::no_delay(true), error);
    link->target.set_option(Tcp::no_delay(true), error);
    asio::co_spawn(
        m_loop, [self = shared_from_this(), link]() -> Task<void> { co_await self->pump(link, link->target, link->client, self->toClient); }, asio::detached);
    co_await pump(link, link->client, link->target, toTarget);
}

Task<void> FaultProxy::hold(const LinkFault &fault)
{
    asio::steady_timer timer(m_loop);
    ErrorCode ignored; // the timer is not cancelled
    if (fault.delay > Duration::zero()) {
        timer.expires_after(fault.delay);
        co_await timer.async_wait(redirectError(ignored));
    }
    while (fault.isSilent) {
        timer.expires_after(SilenceCheckInterval);
        co_await timer.async_wait(redirectError(ignored));
    }
}

Task<void> FaultProxy::pump(std::shared_ptr<Link> link, Tcp::socket &from, Tcp::socket &to, const LinkFault &fault)
{
    const auto self = shared_from_this();
    std::array<char, ChunkBytes> chunk {};
    ErrorCode error;
    while (!error) {
        const size_t size = co_await from.async_read_some(asio::buffer(chunk), redirectError(error));
        co_await hold(fault);
        if (size > 0) {
            ErrorCode writeError;
            co_await asio::async_write(to, asio::buffer(chunk.data(), size), redirectError(writeError));
            error = error ? error : writeError;
        }
    }
    if (error == asio::error::eof) {
        to.shutdown(Tcp::socket::shutdown_send, error);
        co_return;
    }
    m_links.erase(link);
    resetSocket(link->client);
    resetSocket(link->target);
}

Task<void> FaultProxy::passDatagrams()
{
    const Udp::endpoint target(m_target.address(), m_target.port());
    std::array<char, ChunkBytes> datagram {};
    while (true) {
        ErrorCode error;
        Udp::endpoint sender;
        const size_t size = co_await m_datagrams.async_receive_from(asio::buffer(datagram), sender, redirectError(error));
        if (!error && !toTarget.isSilent) {
            ErrorCode ignored; // a lost datagram
            m_datagrams.send_to(asio::buffer(datagram.data(), size), target, 0, ignored);
        }
    }
}

} // namespace carobjunction::soak
