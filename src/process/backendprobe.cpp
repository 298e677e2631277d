#include "process/backendprobe.h"

#include "process/scopeguard.h"

namespace carobjunction
{

BackendProbe::BackendProbe(asio::io_context &loop, const Tcp::endpoint &backend, Duration minInterval, ResponseFilter filter, ResponseHandler handler)
    : m_loop(loop)
    , m_connections(std::make_shared<HttpClientPool>(loop, backend, PoolLimits { 1 }))
    , m_minInterval(minInterval)
    , m_responseFilter(std::move(filter))
    , m_handler(std::move(handler))
{
}

Task<void> BackendProbe::refreshLoad(std::string path)
{
    if (const auto probeEnd = m_probeEnd) {
        ErrorCode ignored; // The timer is cancelled when the probe in progress ends.
        co_await probeEnd->async_wait(redirectError(ignored));
        co_return;
    }
    const TimePoint now = SteadyClock().now();
    if (path.empty() || now < m_earliestNextProbe) {
        co_return;
    }
    m_earliestNextProbe = now + m_minInterval;
    m_probeEnd = std::make_shared<asio::steady_timer>(m_loop, TimePoint::max());
    const ScopeGuard notifyWaiters([this] {
        m_probeEnd->cancel();
        m_probeEnd.reset();
    });
    ExchangeOptions options;
    options.deadline = now + ProbeTimeout;
    options.connectTimeout = ProbeTimeout;
    options.matchesRequest = m_responseFilter;
    options.maxBodyBytes = MaxResponseBytes;
    HttpRequest request(http::verb::get, path, 11);
    request.set(http::field::host, "health");
    const ExchangeResult exchange = co_await m_connections->exchange(std::move(request), std::move(options), std::make_shared<Cancellation>());
    if (exchange.end != ExchangeEnd::Answered || !m_handler(exchange.response)) {
        m_earliestNextProbe = now + FailureBackoff;
    }
}

} // namespace carobjunction
