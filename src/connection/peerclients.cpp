#include "connection/peerclients.h"

#include "connection/endpoints.h"
#include "connection/peercodec.h"

namespace carobjunction
{

namespace
{

constexpr auto SameRegionConnectTimeout = std::chrono::milliseconds(150);
constexpr auto CrossRegionConnectTimeout = std::chrono::milliseconds(400);
constexpr auto FetchStateTimeout = std::chrono::milliseconds(1500);
constexpr auto ResponseMargin = std::chrono::milliseconds(80); // the peer responds at the deadline at the latest; its response then needs time to arrive

} // namespace

std::shared_ptr<HttpClientPool> PeerClients::pool(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found != m_pools.end()) {
        return found->second;
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    PoolLimits limits;
    limits.sharedBodyBudget = m_bodyBudget;
    auto created = std::make_shared<HttpClientPool>(m_loop, *endpoint, limits);
    m_pools.emplace(address, created);
    return created;
}

Task<ForwardResult> PeerClients::forward(std::string address, bool isSameRegion, ForwardRequest request, CancellationPtr cancellation)
{
    const auto connections = pool(address);
    if (!connections) {
        co_return ForwardResult::notRun(Reason::PeerUnreachable);
    }
    request.call = ++m_lastCallNumber;
    ExchangeOptions options;
    // Matches by call number. The request id is not unique, because a refused request may be sent to the same daemon again.
    options.matchesRequest = [call = request.call](const HttpResponse &response) {
        return PeerCodec::callNumber(response).value_or(call) == call;
    };
    options.deadline = request.deadlineAt + ResponseMargin;
    options.connectTimeout = isSameRegion ? SameRegionConnectTimeout : CrossRegionConnectTimeout;
    ExchangeResult exchange
        = co_await connections->exchange(PeerCodec::encode(std::move(request), SteadyClock().now()), std::move(options), std::move(cancellation));
    if (exchange.end != ExchangeEnd::Answered) {
        co_return ForwardResult::fromUnansweredExchange(exchange.end, Reason::PeerUnreachable, std::move(exchange.detail));
    }
    if (auto result = PeerCodec::decode(std::move(exchange.response))) {
        co_return std::move(*result);
    }
    co_return ForwardResult::unknown(Reason::AnswerLost, "malformed response from the peer");
}

Task<std::optional<std::string>> PeerClients::fetchState(std::string address, StatePart part, std::string daemon)
{
    const auto connections = pool(address);
    if (!connections) {
        co_return std::nullopt;
    }
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + FetchStateTimeout;
    options.matchesRequest = [](const HttpResponse &response) {
        return !PeerCodec::isForwardResult(response);
    };
    HttpRequest request(http::verb::get, std::string(nameOf(part)), 11);
    request.set(http::field::host, "peer");
    if (!daemon.empty()) {
        request.set(PeerCodec::DaemonField, daemon);
    }
    ExchangeResult exchange = co_await connections->exchange(std::move(request), std::move(options), std::make_shared<Cancellation>());
    if (exchange.end != ExchangeEnd::Answered || exchange.response.result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return std::move(exchange.response.body());
}

void PeerClients::closeConnections(const std::string &address)
{
    const auto found = m_pools.find(address);
    if (found != m_pools.end()) {
        found->second->closeIdle();
        m_pools.erase(found);
    }
}

} // namespace carobjunction
