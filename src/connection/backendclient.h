#pragma once

#include <carobjunction/request/callresult.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib
{
class Client;
}

namespace carobjunction
{

struct SocketAddress;

/** HTTP client of the backend server beside this daemon, with pooled kept-alive connections. Thread-safe. */
class BackendClient
{
public:
    /** @param maxBodyBytes  largest answer body accepted */
    explicit BackendClient(uint64_t maxBodyBytes);
    ~BackendClient();

    /** Uses another address from now on and closes idle connections to the former one. */
    void setAddress(const SocketAddress &address);

    /**
     * Sends a request once and waits for the whole answer, at most until the request's deadline.
     * @return Ran with a complete answer; NotRun if nothing was sent or the backend server says that nothing ran; else Unknown
     */
    CallResult call(const CallRequest &request);

    /** Asks the backend server to stop working on a request. Best effort. */
    void cancel(const std::string &requestId);

    /** @return whether the backend server accepts connections */
    bool canConnect();

private:
    std::unique_ptr<httplib::Client> acquireConnection(uint64_t &generation);
    void releaseConnection(std::unique_ptr<httplib::Client> client, uint64_t generation);

    const uint64_t m_maxBodyBytes;
    std::mutex m_mutex;
    std::string m_host;
    int m_port = 0;
    uint64_t m_addressGeneration = 0; /**< Counts changes of the address, so that old connections are not reused. */
    std::vector<std::unique_ptr<httplib::Client>> m_idleConnections;
};

} // namespace carobjunction
