#pragma once

#include "connection/asio.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Sends and receives UDP datagrams on one port. Used on one event loop; not thread-safe. */
class DatagramPort : public std::enable_shared_from_this<DatagramPort>
{
public:
    using Receiver = std::function<void(std::string_view)>;

    /**
     * Opens the port and starts to receive.
     * @param receiver  called with each datagram
     * @return the port, or null if it cannot be opened; @p error is then set
     */
    static std::shared_ptr<DatagramPort> open(asio::io_context &loop, const Udp::endpoint &address, Receiver receiver, ErrorCode &error);

    /** Sends a datagram without blocking. Drops it if the send buffer of the socket is full. */
    void send(const Udp::endpoint &destination, std::string_view datagram);

private:
    static constexpr size_t MaxDatagramBytes = 8192;

    DatagramPort(asio::io_context &loop, Receiver receiver);
    void receiveNext();

    Udp::socket m_socket;
    Receiver m_receiver;
    Udp::endpoint m_sender;
    std::array<char, MaxDatagramBytes> m_buffer {};
};

} // namespace carobjunction
