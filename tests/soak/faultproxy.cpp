#include "faultproxy.h"

#include <boost/asio/write.hpp>

#include <array>

namespace carobjunction::soak
{

namespace
{

constexpr auto StallCheckInterval = std::chrono::milliseconds(10);
constexpr size_t ChunkBytes = 16U << 10U;

void resetSocket(Tcp::socket &socket)
{
    ErrorCode ignored; // the connection is discarded in any case
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct FaultProxy::ProxiedConnection {
    explicit ProxiedConnection(asio::io_context &loop) : client(loop), target(loop)
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
        loop, [proxy]() -> Task<void> { co_await proxy->relayDatagrams(); }, asio::detached);
    return proxy;
}

void FaultProxy::resetConnections()
{
    for (const std::shared_ptr<ProxiedConnection> &connection : std::exchange(m_connections, {})) {
        resetSocket(connection->client);
        resetSocket(connection->target);
    }
}

Task<void> FaultProxy::accept()
{
    while (true) {
        const auto connection = std::make_shared<ProxiedConnection>(m_loop);
        ErrorCode error;
        co_await m_acceptor.async_accept(connection->client, redirectError(error));
        if (error) {
            co_return;
        }
        m_connections.insert(connection);
        asio::co_spawn(
            m_loop, [self = shared_from_this(), connection]() -> Task<void> { co_await self->connect(connection); }, asio::detached);
    }
}

Task<void> FaultProxy::connect(std::shared_ptr<ProxiedConnection> connection)
{
    ErrorCode error;
    co_await connection->target.async_connect(m_target, redirectError(error));
    if (error) {
        m_connections.erase(connection);
        resetSocket(connection->client);
        co_return;
    }
    connection->client.set_option(Tcp::no_delay(true), error);
    connection->target.set_option(Tcp::no_delay(true), error);
    asio::co_spawn(
        m_loop,
        [self = shared_from_this(), connection]() -> Task<void> { co_await self->relay(connection, connection->target, connection->client, self->toClient); },
        asio::detached);
    co_await relay(connection, connection->client, connection->target, toTarget);
}

Task<void> FaultProxy::applyFault(const LinkFault &fault)
{
    asio::steady_timer timer(m_loop);
    ErrorCode ignored; // the timer is not cancelled
    if (fault.delay > Duration::zero()) {
        timer.expires_after(fault.delay);
        co_await timer.async_wait(redirectError(ignored));
    }
    while (fault.isStalled) {
        timer.expires_after(StallCheckInterval);
        co_await timer.async_wait(redirectError(ignored));
    }
}

Task<void> FaultProxy::relay(std::shared_ptr<ProxiedConnection> connection, Tcp::socket &from, Tcp::socket &to, const LinkFault &fault)
{
    const auto self = shared_from_this();
    std::array<char, ChunkBytes> chunk {};
    ErrorCode error;
    while (!error) {
        const size_t size = co_await from.async_read_some(asio::buffer(chunk), redirectError(error));
        co_await applyFault(fault);
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
    m_connections.erase(connection);
    resetSocket(connection->client);
    resetSocket(connection->target);
}

Task<void> FaultProxy::relayDatagrams()
{
    const Udp::endpoint target(m_target.address(), m_target.port());
    std::array<char, ChunkBytes> datagram {};
    while (true) {
        ErrorCode error;
        Udp::endpoint sender;
        const size_t size = co_await m_datagrams.async_receive_from(asio::buffer(datagram), sender, redirectError(error));
        if (!error && !toTarget.isStalled) {
            ErrorCode ignored; // a send failure is equivalent to a lost datagram
            m_datagrams.send_to(asio::buffer(datagram.data(), size), target, 0, ignored);
        }
    }
}

} // namespace carobjunction::soak
