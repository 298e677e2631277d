#include "process/storeclient.h"

#include "connection/endpoints.h"
#include "process/eventlog.h"
#include "process/storeprotocol.h"

namespace carobjunction
{

namespace
{

constexpr const char *JsonContentType = "application/json";
constexpr const char *ObjectContentType = "application/octet-stream";
constexpr std::chrono::seconds IdleTimeout(3); // shorter than that of the store, which could otherwise close a connection that is being reused

/**
 * Returns whether the error is a regular response of an available store, which must not open the circuit breaker. An exceeded rate limit is
 * one of them: callers that exceed it reduce their own rate, and other callers need not stop.
 */
bool isFromAvailableStore(const StoreError &error)
{
    return error.code == StoreErrorCode::NotFound || error.code == StoreErrorCode::Protocol || error.code == StoreErrorCode::Overloaded;
}

/** Converts an exchange that ended without a usable response. Bytes that are not a response say nothing about the effect of a write. */
StoreError errorFromExchange(const ExchangeResult &exchange, bool isWrite)
{
    if (exchange.end == ExchangeEnd::NotSent) {
        return { StoreErrorCode::Unavailable, false, exchange.detail };
    }
    return { StoreErrorCode::Timeout, isWrite, exchange.detail };
}

StoreError errorFromStatus(const HttpResponse &response, bool isWrite)
{
    const std::string detail = "status " + std::to_string(response.result_int());
    if (response.result() == http::status::too_many_requests) {
        return { StoreErrorCode::Overloaded, false, detail };
    }
    if (response.result() == http::status::not_found) {
        return { StoreErrorCode::NotFound, false, detail };
    }
    if (http::to_status_class(response.result()) == http::status_class::server_error) {
        // The protocol does not guarantee that a write answered with status 503 had no effect.
        return { StoreErrorCode::Unavailable, isWrite, detail };
    }
    return { StoreErrorCode::Protocol, false, detail };
}

std::optional<std::string> bodyOrError(ExchangeResult exchange, bool isWrite)
{
    if (exchange.end != ExchangeEnd::Answered) {
        return LastError<StoreError>::fail(errorFromExchange(exchange, isWrite));
    }
    if (exchange.response.result() != http::status::ok) {
        return LastError<StoreError>::fail(errorFromStatus(exchange.response, isWrite));
    }
    return std::move(exchange.response.body());
}

} // namespace

std::unique_ptr<StoreClient> StoreClient::create(const StoreClientOptions &options)
{
    if (!isConnectableAddress(options.address)) {
        return nullptr;
    }
    PoolLimits limits;
    limits.maxIdleConnections = options.maxConnections;
    limits.idleTimeout = IdleTimeout;
    return std::unique_ptr<StoreClient>(new StoreClient(options, BlockingHttpClient::create(options.address, limits)));
}

StoreClient::StoreClient(const StoreClientOptions &options, std::unique_ptr<BlockingHttpClient> client)
    : m_options(options), m_client(std::move(client)), m_breaker(m_clock, options.breaker)
{
}

std::optional<TransactResult> StoreClient::transact(const std::vector<StoreOp> &ops, bool atomic)
{
    const std::optional<std::string> request = storeprotocol::serialiseTransactRequest(ops, atomic);
    if (!request) {
        return LastError<StoreError>::fail({ StoreErrorCode::Protocol, false, "transaction request not sent: a key or value is not valid UTF-8" });
    }
    const auto response = postJson("/v1/table/transact", *request, true);
    if (!response) {
        return std::nullopt;
    }
    std::optional<TransactResult> result = storeprotocol::parseTransactResponse(*response, ops.size());
    if (!result) {
        return LastError<StoreError>::fail({ StoreErrorCode::Protocol, true, "malformed response to /v1/table/transact" });
    }
    return result;
}

std::optional<std::vector<StoreRow>> StoreClient::read(const std::vector<std::string> &keys)
{
    return readRows(storeprotocol::serialiseReadRequest(keys));
}

std::optional<std::vector<StoreRow>> StoreClient::readPrefix(const std::string &prefix)
{
    return readRows(storeprotocol::serialisePrefixReadRequest(prefix));
}

std::optional<std::vector<StoreRow>> StoreClient::readRows(const std::optional<std::string> &request)
{
    if (!request) {
        return LastError<StoreError>::fail({ StoreErrorCode::Protocol, false, "read request not sent: a key or prefix is not valid UTF-8" });
    }
    const auto response = postJson("/v1/table/read", *request, false);
    if (!response) {
        return std::nullopt;
    }
    std::optional<std::vector<StoreRow>> rows = storeprotocol::parseReadResponse(*response);
    if (!rows) {
        return LastError<StoreError>::fail({ StoreErrorCode::Protocol, false, "malformed response to /v1/table/read" });
    }
    return rows;
}

bool StoreClient::putObject(const std::string &name, const std::string &bytes)
{
    HttpRequest request = m_client->makeRequest(http::verb::put, "/v1/objects/" + name);
    request.set(http::field::content_type, ObjectContentType);
    request.body() = bytes;
    return sendRequest(std::move(request), true).has_value();
}

std::optional<std::string> StoreClient::getObject(const std::string &name)
{
    return sendRequest(m_client->makeRequest(http::verb::get, "/v1/objects/" + name), false);
}

std::optional<std::string> StoreClient::postJson(const char *path, const std::string &body, bool isWrite)
{
    HttpRequest request = m_client->makeRequest(http::verb::post, path);
    request.set(http::field::content_type, JsonContentType);
    request.body() = body;
    return sendRequest(std::move(request), isWrite);
}

std::optional<std::string> StoreClient::sendRequest(HttpRequest request, bool isWrite)
{
    const auto permit = m_breaker.acquirePermit();
    if (permit == CircuitBreaker<SteadyClock>::Permit::Denied) {
        return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "request not sent: circuit breaker is open after failures of the store" });
    }
    if (!acquireConnection()) {
        m_breaker.recordResult(permit, false);
        return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "no connection to the store became free within the time limit" });
    }
    ExchangeOptions options;
    options.connectTimeout = m_options.timeout;
    options.deadline = m_clock.now() + 2 * m_options.timeout; // for the connection and for the response
    ExchangeResult exchange = m_client->exchange(std::move(request), std::move(options));
    releaseConnection();
    std::optional<std::string> body = bodyOrError(std::move(exchange), isWrite);
    const bool succeeded = body || isFromAvailableStore(LastError<StoreError>::get());
    updateBreaker(permit, succeeded, body ? std::string() : LastError<StoreError>::get().detail);
    return body;
}

void StoreClient::updateBreaker(CircuitBreaker<SteadyClock>::Permit permit, bool succeeded, const std::string &detail)
{
    using Change = CircuitBreaker<SteadyClock>::Change;
    const Change change = m_breaker.recordResult(permit, succeeded);
    if (change == Change::Opened) {
        EventLog::write(LogLevel::Warning, Event::StoreUnavailable, { { "address", m_options.address }, { "cause", detail } });
    } else if (change == Change::Closed) {
        EventLog::write(LogLevel::Info, Event::StoreRecovered, { { "address", m_options.address } });
    }
}

bool StoreClient::acquireConnection()
{
    std::unique_lock lock(m_mutex);
    if (!m_connectionReleased.wait_for(lock, m_options.timeout, [this] { return m_connectionsInUse < m_options.maxConnections; })) {
        return false;
    }
    ++m_connectionsInUse;
    return true;
}

void StoreClient::releaseConnection()
{
    {
        const std::scoped_lock lock(m_mutex);
        --m_connectionsInUse;
    }
    m_connectionReleased.notify_one();
}

} // namespace carobjunction
