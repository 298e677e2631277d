#include "connection/blockinghttpclient.h"

#include "connection/endpoints.h"

namespace carobjunction
{

std::unique_ptr<BlockingHttpClient> BlockingHttpClient::create(const std::string &address, const PoolLimits &limits)
{
    const auto server = parseEndpoint(address);
    if (!server) {
        return nullptr;
    }
    return std::unique_ptr<BlockingHttpClient>(new BlockingHttpClient(*server, limits));
}

BlockingHttpClient::BlockingHttpClient(const Tcp::endpoint &server, const PoolLimits &limits)
    : m_pool(std::make_shared<HttpClientPool>(m_thread.loop(), server, limits))
{
}

BlockingHttpClient::~BlockingHttpClient()
{
    m_thread.stop();
}

HttpRequest BlockingHttpClient::makeRequest(http::verb method, const std::string &target) const
{
    HttpRequest request(method, target, 11);
    request.set(http::field::host, toText(m_pool->server()));
    return request;
}

ExchangeResult BlockingHttpClient::exchange(HttpRequest request, ExchangeOptions options)
{
    request.prepare_payload();
    return m_thread.run(m_pool->exchange(std::move(request), std::move(options), std::make_shared<Cancellation>()));
}

} // namespace carobjunction
