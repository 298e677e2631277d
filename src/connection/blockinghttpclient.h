#pragma once

#include "connection/eventloopthread.h"
#include "connection/httpclientpool.h"

#include <memory>
#include <string>

namespace carobjunction
{

/** HTTP client for one server, whose functions block. Responses are checked as HttpClientPool does. Thread-safe. */
class BlockingHttpClient
{
public:
    /** @param address  server as `ip:port`. @return a client, or null if the address has another format */
    static std::unique_ptr<BlockingHttpClient> create(const std::string &address, const PoolLimits &limits);

    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    /** @return a request to the server, with its Host field and no other */
    HttpRequest makeRequest(http::verb method, const std::string &target) const;

    /** Sends a request and waits for its response until the deadline of @p options. */
    ExchangeResult exchange(HttpRequest request, ExchangeOptions options);

private:
    BlockingHttpClient(const Tcp::endpoint &server, const PoolLimits &limits);

    EventLoopThread m_thread;
    std::shared_ptr<HttpClientPool> m_pool;
};

} // namespace carobjunction
