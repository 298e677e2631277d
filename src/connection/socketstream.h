#pragma once

#include <httplib.h>

#include <array>
#include <chrono>

namespace carobjunction
{

/** Stream with a read buffer over a connected TCP socket, for httplib::Server. Does not own the socket. */
class SocketStream : public httplib::Stream
{
public:
    /** @param timeout  maximum wait for one read or write */
    SocketStream(socket_t socket, std::chrono::milliseconds timeout);

    /** @return whether the buffer contains bytes that read() has not returned */
    bool hasBufferedBytes() const
    {
        return m_bufferBegin < m_bufferEnd;
    }

    // Names and types are given by httplib::Stream.
    bool is_readable() const override; // NOLINT(readability-identifier-naming)
    bool is_writable() const override; // NOLINT(readability-identifier-naming)
    ssize_t read(char *data, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override; // NOLINT(readability-identifier-naming)
    void get_local_ip_and_port(std::string &ip, int &port) const override; // NOLINT(readability-identifier-naming)
    socket_t socket() const override;

private:
    bool wait(short events) const;

    const socket_t m_socket;
    const std::chrono::milliseconds m_timeout;
    std::array<char, 4096> m_buffer;
    size_t m_bufferBegin = 0;
    size_t m_bufferEnd = 0;
};

} // namespace carobjunction
