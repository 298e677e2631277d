#include "process/backendprobe.h"

#include "process/scopeguard.h"

namespace carobjunction
{

BackendProbe::BackendProbe(asio::io_context &loop, const Tcp::endpoint &backend, Duration interval, Filter belongs, Reader reader)
    : m_loop(loop)
    , m_connections(std::make_shared<HttpClientPool>(loop, backend, PoolLimits { 1 }))
    , m_interval(interval)
    , m_belongs(std::move(belongs))
    , m_reader(std::move(reader))
{
}

Task<void> BackendProbe::refresh(std::string path)
{
    if (const auto pending = m_pending) {
        ErrorCode ignored; // the timer is cancelled when the answer is there
        co_await pending->async_wait(into(ignored));
        co_return;
    }
    const TimePoint now = SteadyClock().now();
    if (path.empty() || now < m_notBefore) {
        co_return;
    }
    m_notBefore = now + m_interval;
    m_pending = std::make_shared<asio::steady_timer>(m_loop, TimePoint::max());
    const ScopeGuard question([this] {
        m_pending->cancel();
        m_pending.reset();
    });
    ExchangeOptions options;
    options.deadline = now + AnswerTimeout;
    options.connectTimeout = AnswerTimeout;
    options.belongs = m_belongs;
    options.bodyLimit = AnswerBytes;
    HttpRequest message(http::verb::get, path, 11);
    message.set(http::field::host, "health");
    const ExchangeResult exchange = co_await m_connections->exchange(std::move(message), std::move(options), std::make_shared<Cancellation>());
    if (exchange.end != ExchangeEnd::Answered || !m_reader(exchange.response)) {
        m_notBefore = now + FailurePause;
    }
}

} // namespace carobjunction
