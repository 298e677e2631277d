#include "connection/backendclient.h"

#include "connection/httpheaders.h"
#include "connection/socketaddress.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

namespace carobjunction
{

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout(200);
constexpr std::chrono::milliseconds CancelTimeout(200);
constexpr std::chrono::milliseconds MaxTimeoutRounding(3);
constexpr size_t MaxIdleConnections = 64;
// A process that exits closes its connections a few milliseconds before its listening socket, so a refused connection may follow a closed one.
constexpr int MaxConnectAttempts = 3;
constexpr std::chrono::milliseconds ConnectRetryDelay(10);

httplib::Request makeHttpRequest(const CallRequest &request, Duration remaining)
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    for (const auto &[name, value] : request.headers) {
        if (!isHopByHopHeader(name)) {
            http.headers.emplace(name, value);
        }
    }
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    http.set_header(headernames::DeadlineMs, std::to_string(std::max<int64_t>(remainingMs, 1)));
    http.set_header(headernames::RequestId, request.requestId);
    http.set_header(headernames::Hops, std::to_string(request.hops + 1));
    http.set_header(headernames::RetriesLeft, std::to_string(request.retriesLeft));
    http.set_header(headernames::Caller, request.caller);
    http.body = request.body;
    return http;
}

CallResult notSentResult(Reason reason)
{
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.reason = reason;
    return result;
}

CallResult toCallResult(httplib::Response &response)
{
    CallResult result;
    result.outcome = Outcome::Ran;
    result.status = response.status;
    if (response.get_header_value(headernames::OutcomeField) == nameOf(Outcome::NotRun)) {
        result.outcome = Outcome::NotRun;
        result.reason = Reason::Shed;
    }
    for (const auto &[name, value] : response.headers) {
        if (!isHopByHopHeader(name)) {
            result.headers.emplace_back(name, value);
        }
    }
    result.body = std::move(response.body);
    return result;
}

} // namespace

BackendClient::BackendClient(uint64_t maxBodyBytes) : m_maxBodyBytes(maxBodyBytes)
{
}

BackendClient::~BackendClient() = default;

void BackendClient::setAddress(const SocketAddress &address)
{
    const std::scoped_lock lock(m_mutex);
    if (m_host == address.host && m_port == address.port) {
        return;
    }
    m_host = address.host;
    m_port = address.port;
    ++m_addressGeneration;
    m_idleConnections.clear();
}

CallResult BackendClient::call(const CallRequest &request)
{
    const Duration remaining = request.deadline.remaining(SteadyClock().now());
    uint64_t generation = 0;
    std::unique_ptr<httplib::Client> client = acquireConnection(generation);
    if (!client) {
        return notSentResult(Reason::TargetDown);
    }
    if (remaining == Duration::zero()) {
        releaseConnection(std::move(client), generation);
        return notSentResult(Reason::DeadlineExceeded);
    }
    client->set_read_timeout(remaining);
    client->set_write_timeout(remaining);
    httplib::Request http = makeHttpRequest(request, remaining);
    httplib::Response response;
    bool isTooLarge = false;
    http.content_receiver = [&](const char *data, size_t length, uint64_t, uint64_t) {
        isTooLarge = response.body.size() + length > m_maxBodyBytes;
        if (isTooLarge || request.deadline.hasPassed(SteadyClock().now())) {
            return false;
        }
        response.body.append(data, length);
        return true;
    };
    httplib::Error error = httplib::Error::Success;
    if (client->send(http, response, error)) {
        releaseConnection(std::move(client), generation);
        return toCallResult(response);
    }
    // Only these errors guarantee that no byte of the request was sent.
    if (error == httplib::Error::Connection || error == httplib::Error::BindIPAddress) {
        return notSentResult(Reason::TargetDown);
    }
    CallResult result;
    result.outcome = Outcome::Unknown;
    // The HTTP library rounds timeouts, so a read may time out up to 3 ms before the deadline.
    const bool isDeadlineReached = request.deadline.remaining(SteadyClock().now()) < MaxTimeoutRounding;
    result.reason = isDeadlineReached ? Reason::DeadlineExceeded : Reason::AnswerLost;
    if (isTooLarge) {
        result.outcome = Outcome::Ran;
        result.reason = Reason::AnswerTooLarge;
    }
    return result;
}

void BackendClient::cancel(const std::string &requestId)
{
    uint64_t generation = 0;
    std::unique_ptr<httplib::Client> client = acquireConnection(generation);
    if (!client) {
        return;
    }
    client->set_read_timeout(CancelTimeout);
    if (client->Delete("/_carob/requests/" + requestId)) {
        releaseConnection(std::move(client), generation);
    }
}

bool BackendClient::acceptsConnections()
{
    std::string host;
    int port = 0;
    {
        const std::scoped_lock lock(m_mutex);
        host = m_host;
        port = m_port;
    }
    if (port == 0) {
        return false;
    }
    for (int attempt = 0; attempt < MaxConnectAttempts; ++attempt) {
        // Opens a new connection, because an idle one does not show whether the process still accepts connections.
        httplib::Client client(host, port);
        client.set_connection_timeout(ConnectTimeout);
        client.set_read_timeout(CancelTimeout);
        const TimePoint startedAt = SteadyClock().now();
        const auto result = client.Get("/_carob/health");
        if (result.error() == httplib::Error::Connection) {
            return false;
        }
        // A time-out means that the process is busy. A connection closed without a response may mean that the process is exiting, so check again.
        if (result || SteadyClock().now() - startedAt >= CancelTimeout) {
            return true;
        }
        std::this_thread::sleep_for(ConnectRetryDelay);
    }
    return true;
}

std::unique_ptr<httplib::Client> BackendClient::acquireConnection(uint64_t &generation)
{
    std::string host;
    int port = 0;
    {
        const std::scoped_lock lock(m_mutex);
        generation = m_addressGeneration;
        if (m_port == 0) {
            return nullptr;
        }
        if (!m_idleConnections.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(m_idleConnections.back());
            m_idleConnections.pop_back();
            return client;
        }
        host = m_host;
        port = m_port;
    }
    auto client = std::make_unique<httplib::Client>(host, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_connection_timeout(ConnectTimeout);
    return client;
}

void BackendClient::releaseConnection(std::unique_ptr<httplib::Client> client, uint64_t generation)
{
    const std::scoped_lock lock(m_mutex);
    if (generation == m_addressGeneration && m_idleConnections.size() < MaxIdleConnections) {
        m_idleConnections.push_back(std::move(client));
    }
}

} // namespace carobjunction
