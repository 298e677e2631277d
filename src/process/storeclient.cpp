#include "process/storeclient.h"

#include "process/eventlog.h"
#include "process/storeprotocol.h"

#include <httplib.h>

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr const char *Json = "application/json";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;

/** Whether the store answered. A caller that meets the rate limit slows down by itself, and others need not stop. */
bool showsHealthyStore(const StoreError &error)
{
    return error.code == StoreErrorCode::NotFound || error.code == StoreErrorCode::Protocol || error.code == StoreErrorCode::Overloaded;
}

StoreError connectionError(httplib::Error error, bool isWrite)
{
    const std::string detail = httplib::to_string(error);
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
        return { StoreErrorCode::Unavailable, false, detail };
    }
    return { StoreErrorCode::Timeout, isWrite, detail };
}

StoreError statusError(int status, bool isWrite)
{
    const std::string detail = "status " + std::to_string(status);
    if (status == StatusTooManyRequests) {
        return { StoreErrorCode::Overloaded, false, detail };
    }
    if (status == StatusNotFound) {
        return { StoreErrorCode::NotFound, false, detail };
    }
    if (status >= FirstServerError) {
        // The protocol does not promise that a write answered with 503 had no effect.
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
    const std::optional<std::string> request = storeprotocol::writeTransactRequest(ops, atomic);
    if (!request) {
        return LastReason<StoreError>::fail({ StoreErrorCode::Protocol, false, "text is not UTF-8" });
    }
    const auto answer = call([&](httplib::Client &client) { return client.Post("/v1/table/transact", *request, Json); }, true);
    if (!answer) {
        return std::nullopt;
    }
    std::optional<TransactResult> result = storeprotocol::parseTransactAnswer(*answer, ops.size());
    if (!result) {
        return LastReason<StoreError>::fail({ StoreErrorCode::Protocol, true, "malformed answer" });
    }
    return result;
}

std::optional<std::vector<StoreRow>> StoreClient::read(const std::vector<std::string> &keys)
{
    return readRows(storeprotocol::writeReadRequest(keys));
}

std::optional<std::vector<StoreRow>> StoreClient::readPrefix(const std::string &prefix)
{
    return readRows(storeprotocol::writePrefixRequest(prefix));
}

std::optional<std::vector<StoreRow>> StoreClient::readRows(const std::optional<std::string> &request)
{
    if (!request) {
        return LastReason<StoreError>::fail({ StoreErrorCode::Protocol, false, "text is not UTF-8" });
    }
    const auto answer = call([&](httplib::Client &client) { return client.Post("/v1/table/read", *request, Json); }, false);
    if (!answer) {
        return std::nullopt;
    }
    std::optional<std::vector<StoreRow>> rows = storeprotocol::parseReadAnswer(*answer);
    if (!rows) {
        return LastReason<StoreError>::fail({ StoreErrorCode::Protocol, false, "malformed answer" });
    }
    return rows;
}

bool StoreClient::putObject(const std::string &name, const std::string &bytes)
{
    return call([&](httplib::Client &client) { return client.Put("/v1/objects/" + name, bytes, "application/octet-stream"); }, true).has_value();
}

std::optional<std::string> StoreClient::getObject(const std::string &name)
{
    return call([&](httplib::Client &client) { return client.Get("/v1/objects/" + name); }, false);
}

std::optional<std::string> StoreClient::call(const Call &function, bool isWrite)
{
    const auto permit = m_breaker.acquire();
    if (permit == CircuitBreaker<SteadyClock>::Permit::Denied) {
        return LastReason<StoreError>::fail({ StoreErrorCode::Unavailable, false, "waiting for the store to recover" });
    }
    std::unique_ptr<httplib::Client> connection = takeConnection();
    if (!connection) {
        m_breaker.finish(permit, false);
        return LastReason<StoreError>::fail({ StoreErrorCode::Unavailable, false, "all connections are in use" });
    }
    const httplib::Result result = function(*connection);
    returnConnection(std::move(connection));
    std::optional<std::string> body = interpret(result, isWrite);
    const bool succeeded = body || showsHealthyStore(LastReason<StoreError>::get());
    reportResult(permit, succeeded, body ? std::string() : LastReason<StoreError>::get().detail);
    return body;
}

std::optional<std::string> StoreClient::interpret(const httplib::Result &result, bool isWrite) const
{
    if (!result) {
        return LastReason<StoreError>::fail(connectionError(result.error(), isWrite));
    }
    if (result->status != StatusOk) {
        return LastReason<StoreError>::fail(statusError(result->status, isWrite));
    }
    return result->body;
}

void StoreClient::reportResult(CircuitBreaker<SteadyClock>::Permit permit, bool succeeded, const std::string &detail)
{
    using Change = CircuitBreaker<SteadyClock>::Change;
    const Change change = m_breaker.finish(permit, succeeded);
    if (change == Change::Opened) {
        EventLog::write(LogLevel::Warning, Event::StoreUnavailable, { { "address", m_options.address }, { "cause", detail } });
    } else if (change == Change::Closed) {
        EventLog::write(LogLevel::Info, Event::StoreRecovered, { { "address", m_options.address } });
    }
}

std::unique_ptr<httplib::Client> StoreClient::takeConnection()
{
    std::unique_lock lock(m_mutex);
    if (!m_returned.wait_for(lock, m_options.timeout, [this] { return m_inUse < m_options.connections; })) {
        return nullptr;
    }
    ++m_inUse;
    if (m_idle.empty()) {
        return connect();
    }
    std::unique_ptr<httplib::Client> connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
}

void StoreClient::returnConnection(std::unique_ptr<httplib::Client> connection)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_idle.push_back(std::move(connection));
        --m_inUse;
    }
    m_returned.notify_one();
}

std::unique_ptr<httplib::Client> StoreClient::connect() const
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
