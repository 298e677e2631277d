#include "process/storeclient.h"

#include "process/eventlog.h"
#include "process/storeprotocol.h"

#include <httplib.h>

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr const char *JsonContentType = "application/json";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusFirstServerError = 500;

/**
 * Returns whether the error is a regular response of an available store, which must not open the circuit breaker. An exceeded rate limit is
 * one of them: callers that exceed it reduce their own rate, and other callers need not stop.
 */
bool isFromAvailableStore(const StoreError &error)
{
    return error.code == StoreErrorCode::NotFound || error.code == StoreErrorCode::Protocol || error.code == StoreErrorCode::Overloaded;
}

StoreError errorFromConnection(httplib::Error error, bool isWrite)
{
    const std::string detail = httplib::to_string(error);
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        return { StoreErrorCode::Unavailable, false, detail };
    }
    return { StoreErrorCode::Timeout, isWrite, detail };
}

StoreError errorFromStatus(int status, bool isWrite)
{
    const std::string detail = "status " + std::to_string(status);
    if (status == StatusTooManyRequests) {
        return { StoreErrorCode::Overloaded, false, detail };
    }
    if (status == StatusNotFound) {
        return { StoreErrorCode::NotFound, false, detail };
    }
    if (status >= StatusFirstServerError) {
        // The protocol does not guarantee that a write answered with status 503 had no effect.
        return { StoreErrorCode::Unavailable, isWrite, detail };
    }
    return { StoreErrorCode::Protocol, false, detail };
}

} // namespace

std::unique_ptr<StoreClient> StoreClient::create(const StoreClientOptions &options)
{
    const size_t colon = options.address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return nullptr;
    }
    int port = 0;
    const char *end = options.address.data() + options.address.size();
    const auto [parsed, error] = std::from_chars(options.address.data() + colon + 1, end, port);
    if (error != std::errc {} || parsed != end || port <= 0 || port > UINT16_MAX) {
        return nullptr;
    }
    return std::unique_ptr<StoreClient>(new StoreClient(options, options.address.substr(0, colon), port));
}

StoreClient::StoreClient(const StoreClientOptions &options, std::string host, int port)
    : m_options(options), m_host(std::move(host)), m_port(port), m_breaker(m_clock, options.breaker)
{
}

StoreClient::~StoreClient() = default;

std::optional<TransactResult> StoreClient::transact(const std::vector<StoreOp> &ops, bool atomic)
{
    const std::optional<std::string> request = storeprotocol::serialiseTransactRequest(ops, atomic);
    if (!request) {
        return LastError<StoreError>::fail({ StoreErrorCode::Protocol, false, "transaction request not sent: a key or value is not valid UTF-8" });
    }
    const auto response = sendRequest([&](httplib::Client &client) { return client.Post("/v1/table/transact", *request, JsonContentType); }, true);
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
    const auto response = sendRequest([&](httplib::Client &client) { return client.Post("/v1/table/read", *request, JsonContentType); }, false);
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
    return sendRequest([&](httplib::Client &client) { return client.Put("/v1/objects/" + name, bytes, "application/octet-stream"); }, true).has_value();
}

std::optional<std::string> StoreClient::getObject(const std::string &name)
{
    return sendRequest([&](httplib::Client &client) { return client.Get("/v1/objects/" + name); }, false);
}

std::optional<std::string> StoreClient::sendRequest(const SendFunction &send, bool isWrite)
{
    const auto permit = m_breaker.acquirePermit();
    if (permit == CircuitBreaker<SteadyClock>::Permit::Denied) {
        return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "request not sent: circuit breaker is open after failures of the store" });
    }
    std::unique_ptr<httplib::Client> connection = acquireConnection();
    if (!connection) {
        m_breaker.recordResult(permit, false);
        return LastError<StoreError>::fail({ StoreErrorCode::Unavailable, false, "no connection to the store became free within the time limit" });
    }
    const httplib::Result result = send(*connection);
    releaseConnection(std::move(connection));
    std::optional<std::string> body = bodyOrError(result, isWrite);
    const bool succeeded = body || isFromAvailableStore(LastError<StoreError>::get());
    updateBreaker(permit, succeeded, body ? std::string() : LastError<StoreError>::get().detail);
    return body;
}

std::optional<std::string> StoreClient::bodyOrError(const httplib::Result &result, bool isWrite) const
{
    if (!result) {
        return LastError<StoreError>::fail(errorFromConnection(result.error(), isWrite));
    }
    if (result->status != StatusOk) {
        return LastError<StoreError>::fail(errorFromStatus(result->status, isWrite));
    }
    return result->body;
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

std::unique_ptr<httplib::Client> StoreClient::acquireConnection()
{
    std::unique_lock lock(m_mutex);
    if (!m_connectionReleased.wait_for(lock, m_options.timeout, [this] { return m_connectionsInUse < m_options.maxConnections; })) {
        return nullptr;
    }
    ++m_connectionsInUse;
    if (m_idleConnections.empty()) {
        return createConnection();
    }
    std::unique_ptr<httplib::Client> connection = std::move(m_idleConnections.back());
    m_idleConnections.pop_back();
    return connection;
}

void StoreClient::releaseConnection(std::unique_ptr<httplib::Client> connection)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_idleConnections.push_back(std::move(connection));
        --m_connectionsInUse;
    }
    m_connectionReleased.notify_one();
}

std::unique_ptr<httplib::Client> StoreClient::createConnection() const
{
    auto client = std::make_unique<httplib::Client>(m_host, m_port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(m_options.timeout);
    client->set_read_timeout(m_options.timeout);
    client->set_write_timeout(m_options.timeout);
    return client;
}

} // namespace carobjunction
