#pragma once

#include <carobjunction/request/callresult.h>

#include "connection/eventloopthread.h"
#include "connection/httpclientpool.h"

#include <memory>
#include <mutex>
#include <string>

namespace carobjunction
{

struct SocketAddress;

/**
 * HTTP client for the backend server on this VM, with a pool of keep-alive connections. Its functions block; the connections are served by an
 * event loop on a thread of its own. Thread-safe.
 *
 * A faulty backend server may send a second copy of a response, or break off in the middle of one. A response counts only if it is complete
 * and carries the id of its request; one without an id counts only as the first on its connection, which is then closed.
 */
class BackendClient
{
public:
    /** @param maxBodyBytes  maximum size of a response body */
    explicit BackendClient(uint64_t maxBodyBytes);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /** Sets the address for subsequent requests and closes the idle connections to the previous address. */
    void setAddress(const SocketAddress &address);

    /**
     * Sends a request once, without retries, and waits for the complete response until the deadline of the request.
     * @return Ran with a complete response, or with the header of one whose body is over the size limit; NotRun if nothing was sent or the backend server
     * reports that the request did not run; otherwise Unknown
     */
    CallResult call(const CallRequest &request);

    /** Requests the backend server to cancel a request. Best effort: a failure is ignored. */
    void cancel(const std::string &requestId);

    /** @return whether the backend server accepts new connections */
    bool acceptsConnections();

private:
    using PoolPtr = std::shared_ptr<HttpClientPool>;

    PoolPtr currentPool();
    ExchangeResult exchange(const PoolPtr &pool, HttpRequest request, ExchangeOptions options);
    ExchangeResult sendControlRequest(const PoolPtr &pool, http::verb method, const std::string &path, Duration timeout);

    const uint64_t m_maxBodyBytes;
    EventLoopThread m_thread;
    std::mutex m_mutex; /**< Guards m_pool. */
    PoolPtr m_pool; /**< Connections to the current address; null until one is set. Used on the thread of the event loop only. */
};

} // namespace carobjunction
