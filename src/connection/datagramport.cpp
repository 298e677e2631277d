#include "connection/datagramport.h"

#include "connection/detachedtask.h"

namespace carobjunction
{

DatagramPort::DatagramPort(asio::io_context &loop, Receiver receiver) : m_socket(loop), m_receiver(std::move(receiver))
{
}

std::shared_ptr<DatagramPort> DatagramPort::open(asio::io_context &loop, const Udp::endpoint &address, Receiver receiver, ErrorCode &error)
{
    std::shared_ptr<DatagramPort> port(new DatagramPort(loop, std::move(receiver)));
    port->m_socket.open(address.protocol(), error);
    if (!error) {
        port->m_socket.bind(address, error);
    }
    if (!error) {
        port->m_socket.non_blocking(true, error);
    }
    if (error) {
        return nullptr;
    }
    port->receiveNext();
    return port;
}

void DatagramPort::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [self = shared_from_this()](ErrorCode error, size_t size) {
        if (!self->m_socket.is_open()) {
            return;
        }
        // Ignores errors such as an ICMP "unreachable" for an earlier datagram, which concern that datagram only.
        if (!error) {
            callAndLogExceptions("receive-datagram", [&self, size] { self->m_receiver({ self->m_buffer.data(), size }); });
        }
        self->receiveNext();
    });
}

void DatagramPort::send(const Udp::endpoint &destination, std::string_view datagram)
{
    ErrorCode ignored; // datagrams may be lost anywhere on the path; the next one carries the same state
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), destination, 0, ignored);
}

} // namespace carobjunction
