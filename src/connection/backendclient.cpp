#include "connection/backendclient.h"

#include "connection/endpoints.h"
#include "connection/httpheaders.h"
#include "connection/messagefields.h"
#include "connection/socketaddress.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout(200);
constexpr std::chrono::milliseconds CancelTimeout(200);
constexpr std::chrono::milliseconds HealthTimeout(200);
constexpr size_t MaxIdleConnections = 64;
// A process that exits closes its connections a few milliseconds before its listening socket, so a refused connection may follow a closed one.
constexpr int MaxConnectAttempts = 3;
constexpr std::chrono::milliseconds ConnectRetryDelay(10);

HttpRequest makeHttpRequest(const CallRequest &request, const std::string &host, Duration remaining)
{
    HttpRequest message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    for (const auto &[name, value] : request.headers) {
        if (!isHopByHopHeader(name)) {
            message.insert(name, value);
        }
    }
    if (!hasField(message, "Host")) {
        message.set(http::field::host, host);
    }
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    message.set(headernames::DeadlineMs, std::to_string(std::max<int64_t>(remainingMs, 1)));
    message.set(headernames::RequestId, request.requestId);
    message.set(headernames::Hops, std::to_string(request.hops + 1));
    message.set(headernames::RetriesLeft, std::to_string(request.retriesLeft));
    message.set(headernames::Caller, request.caller);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

bool isRefusal(const http::fields &head)
{
    return fieldValue(head, headernames::OutcomeField) == nameOf(Outcome::NotRun);
}

ExchangeOptions makeOptions(const CallRequest &request, uint64_t maxBodyBytes)
{
    ExchangeOptions options;
    options.deadline = request.deadline.timePoint();
    options.connectTimeout = ConnectTimeout;
    options.maxBodyBytes = maxBodyBytes;
    options.requestId = request.requestId;
    options.matchesRequest = [id = request.requestId](const HttpResponse &response) {
        return !hasField(response, headernames::RequestId) || fieldValue(response, headernames::RequestId) == id;
    };
    options.identifiesRequest = [](const HttpResponse &response) {
        return hasField(response, headernames::RequestId);
    };
    options.keepsUnidentified = false;
    options.isRefusal = &isRefusal;
    return options;
}

CallResult resultWithoutResponse(Outcome outcome, Reason reason)
{
    CallResult result;
    result.outcome = outcome;
    result.reason = reason;
    return result;
}

CallResult toCallResult(HttpResponse &response)
{
    CallResult result;
    result.outcome = Outcome::Ran;
    result.status = static_cast<int>(response.result_int());
    if (isRefusal(response)) {
        result.outcome = Outcome::NotRun;
        result.reason = Reason::Shed;
    }
    for (const auto &field : response) {
        const std::string name(field.name_string().data(), field.name_string().size());
        if (!isHopByHopHeader(name)) {
            result.headers.emplace_back(name, std::string(field.value().data(), field.value().size()));
        }
    }
    result.body = std::move(response.body());
    return result;
}

CallResult toCallResult(ExchangeResult exchange)
{
    switch (exchange.end) {
    case ExchangeEnd::Answered:
        return toCallResult(exchange.response);
    case ExchangeEnd::NotSent:
        // A backend server that does not accept the connection in time is busy, and no evidence of a crash.
        return resultWithoutResponse(Outcome::NotRun, exchange.isConnectionRefused ? Reason::TargetDown : Reason::Full);
    case ExchangeEnd::TooLarge:
        // Without a whole header, or if it is that of a refusal, the response does not show that the request ran.
        return resultWithoutResponse(exchange.oversizedHead && !isRefusal(*exchange.oversizedHead) ? Outcome::Ran : Outcome::Unknown, Reason::AnswerTooLarge);
    case ExchangeEnd::TimedOut:
    case ExchangeEnd::ResponseLost:
    case ExchangeEnd::Unverified:
    case ExchangeEnd::Malformed:
    case ExchangeEnd::Cancelled:
        break;
    }
    return resultWithoutResponse(Outcome::Unknown, reasonForEnd(exchange.end));
}

} // namespace

BackendClient::BackendClient(uint64_t maxBodyBytes) : m_maxBodyBytes(maxBodyBytes)
{
}

BackendClient::~BackendClient()
{
    m_thread.stop();
}

void BackendClient::setAddress(const SocketAddress &address)
{
    const auto server = parseEndpoint(address.toString());
    const std::scoped_lock lock(m_mutex);
    if (!server || (m_pool && m_pool->server() == *server)) {
        return;
    }
    if (m_pool) {
        asio::post(m_thread.loop(), [pool = m_pool] { pool->closeIdle(); });
    }
    PoolLimits limits;
    limits.maxIdleConnections = MaxIdleConnections;
    m_pool = std::make_shared<HttpClientPool>(m_thread.loop(), *server, limits);
}

BackendClient::PoolPtr BackendClient::currentPool()
{
    const std::scoped_lock lock(m_mutex);
    return m_pool;
}

/** Runs an exchange on the event loop and blocks until it has ended. */
ExchangeResult BackendClient::exchange(const PoolPtr &pool, HttpRequest request, ExchangeOptions options)
{
    return m_thread.run(pool->exchange(std::move(request), std::move(options), std::make_shared<Cancellation>()));
}

CallResult BackendClient::call(const CallRequest &request)
{
    const PoolPtr pool = currentPool();
    if (!pool) {
        return resultWithoutResponse(Outcome::NotRun, Reason::TargetDown);
    }
    const Duration remaining = request.deadline.remaining(SteadyClock().now());
    if (remaining == Duration::zero()) {
        return resultWithoutResponse(Outcome::NotRun, Reason::DeadlineExceeded);
    }
    return toCallResult(exchange(pool, makeHttpRequest(request, toText(pool->server()), remaining), makeOptions(request, m_maxBodyBytes)));
}

/** Sends a request that callers don't see, on a connection of its own. */
ExchangeResult BackendClient::sendControlRequest(const PoolPtr &pool, http::verb method, const std::string &path, Duration timeout)
{
    HttpRequest message(method, path, 11);
    message.set(http::field::host, toText(pool->server()));
    message.keep_alive(false);
    ExchangeOptions options;
    options.deadline = SteadyClock().now() + timeout;
    options.connectTimeout = ConnectTimeout;
    options.maxBodyBytes = m_maxBodyBytes;
    options.requiresNewConnection = true;
    options.keepsUnidentified = false;
    return exchange(pool, std::move(message), std::move(options));
}

void BackendClient::cancel(const std::string &requestId)
{
    if (const PoolPtr pool = currentPool()) {
        sendControlRequest(pool, http::verb::delete_, "/_carob/requests/" + requestId, CancelTimeout);
    }
}

bool BackendClient::acceptsConnections()
{
    const PoolPtr pool = currentPool();
    if (!pool) {
        return false;
    }
    for (int attempt = 0; attempt < MaxConnectAttempts; ++attempt) {
        // Opens a new connection, because an idle one does not show whether the process still accepts connections.
        const ExchangeResult result = sendControlRequest(pool, http::verb::get, "/_carob/health", HealthTimeout);
        if (result.isConnectionRefused) {
            return false;
        }
        // A time-out means that the process is busy. A connection closed without a response may mean that the process is exiting, so check again.
        if (result.end == ExchangeEnd::Answered || result.end == ExchangeEnd::TimedOut || result.end == ExchangeEnd::NotSent
            || result.end == ExchangeEnd::Malformed) {
            return true;
        }
        std::this_thread::sleep_for(ConnectRetryDelay);
    }
    return true;
}

} // namespace carobjunction
