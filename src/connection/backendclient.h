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

/** HTTP client for the backend server on this VM, with a pool of keep-alive connections. Thread-safe. */
class BackendClient
{
public:
    /** @param maxBodyBytes  maximum size of a response body */
    explicit BackendClient(uint64_t maxBodyBytes);
    ~BackendClient();

    /** Sets the address for subsequent requests and closes the idle connections to the previous address. */
    void setAddress(const SocketAddress &address);

    /**
     * Sends a request once, without retries, and waits for the complete response until the deadline of the request.
     * @return Ran with a complete response or one over the size limit; NotRun if nothing was sent or the backend server reports that the request
     *         did not run; otherwise Unknown
     */
    CallResult call(const CallRequest &request);

    /** Requests the backend server to cancel a request. Best effort: a failure is ignored. */
    void cancel(const std::string &requestId);

    /** @return whether the backend server accepts new connections */
    bool acceptsConnections();

private:
    std::unique_ptr<httplib::Client> acquireConnection(uint64_t &generation);
    void releaseConnection(std::unique_ptr<httplib::Client> client, uint64_t generation);

    const uint64_t m_maxBodyBytes;
    std::mutex m_mutex;
    std::string m_host;
    int m_port = 0;
    uint64_t m_addressGeneration = 0; /**< Incremented when the address changes, so that connections to the previous address are not reused. */
    std::vector<std::unique_ptr<httplib::Client>> m_idleConnections;
};

} // namespace carobjunction
