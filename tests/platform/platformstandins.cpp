#include "platform/platformstandins.h"

#include <carobjunction/process/durations.h>

#include "connection/messagefields.h"

#include <openssl/evp.h>

#include <regex>

namespace carobjunction::platform
{

namespace
{

using Json = nlohmann::json;

constexpr auto FeedPollInterval = std::chrono::milliseconds(10);

std::shared_ptr<HttpListener> listen(asio::io_context &loop, RequestHandler handler, uint16_t port = 0)
{
    ErrorCode error;
    auto listener = HttpListener::open(
        loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), std::move(handler), [] { return ListenerLimits {}; }, error);
    if (!listener) {
        throw std::runtime_error(error.message());
    }
    return listener;
}

std::string formatAddress(const HttpListener &listener)
{
    return "127.0.0.1:" + std::to_string(listener.address().port());
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    std::smatch match;
    return std::regex_search(target, match, std::regex("[?&]" + name + "=([^&]*)")) ? match[1].str() : "";
}

std::string encodeBase64(const std::string &text)
{
    std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(encoded.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    encoded.resize(static_cast<size_t>(size));
    return encoded;
}

HttpResponse jsonResponse(http::status status, const Json &body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

/** @return the response to a request that is not run; like all responses of backend servers, it echoes the id of the request */
HttpResponse notRunResponse(http::status status, const HttpRequest &request)
{
    HttpResponse response = textResponse(status, "not run");
    response.set("X-Not-Executed", "1");
    response.set("X-Attempt-Id", fieldValue(request, "X-Attempt-Id"));
    return response;
}

} // namespace

StandInTableStore::StandInTableStore(asio::io_context &loop)
    : m_loop(loop), m_listener(listen(loop, [this](HttpRequest request, CancellationPtr) { return handle(std::move(request)); }))
{
}

std::string StandInTableStore::address() const
{
    return formatAddress(*m_listener);
}

void StandInTableStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{ table, key }] = { encodeBase64(value), ++m_version };
}

void StandInTableStore::takeCopy()
{
    m_copiedRows = m_rows;
    m_copiedVersion = m_version;
}

void StandInTableStore::restoreCopy()
{
    m_rows = m_copiedRows;
    m_version = m_copiedVersion;
    ++m_epoch;
}

std::optional<std::string> StandInTableStore::value(const std::string &table, const std::string &key) const
{
    const auto found = m_rows.find({ table, key });
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    const std::string &encoded = found->second.value;
    std::string text(encoded.size() / 4 * 3 + 1, '\0');
    const int size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(encoded.data()), static_cast<int>(encoded.size()));
    const size_t padding = encoded.ends_with("==") ? 2 : encoded.ends_with('=') ? 1 : 0;
    text.resize(static_cast<size_t>(size) - padding);
    return text;
}

Task<void> StandInTableStore::waitForever()
{
    asio::steady_timer timer(m_loop, TimePoint::max());
    co_await timer.async_wait(asio::use_awaitable);
}

Task<MaybeResponse> StandInTableStore::handle(HttpRequest request)
{
    if (isSilent) {
        co_await waitForever();
    }
    auto response = co_await answer(std::move(request));
    if (isSilent) {
        co_await waitForever();
    }
    if (response && statesEpoch) {
        response->set("Store-Era", std::to_string(m_epoch));
    }
    co_return response;
}

Task<void> StandInTableStore::performLate(HttpRequest request)
{
    asio::steady_timer timer(m_loop, *lostWriteDelay);
    co_await timer.async_wait(asio::use_awaitable);
    transact(request);
}

Task<MaybeResponse> StandInTableStore::answer(HttpRequest request)
{
    const std::string target(request.target().data(), request.target().size());
    if (delay > Duration::zero()) {
        asio::steady_timer timer(m_loop, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (isDown) {
        co_return textResponse(http::status::service_unavailable, "down");
    }
    if (target.starts_with("/v1/rows-get")) {
        co_return get(target);
    }
    if (target.starts_with("/v1/rows-feed")) {
        co_return co_await feed(target);
    }
    if (target.starts_with("/v1/rows-tx") && writesToLose > 0) {
        --writesToLose;
        if (lostWriteDelay) {
            asio::co_spawn(m_loop, performLate(request), asio::detached);
        }
        co_await waitForever();
    }
    if (target.starts_with("/v1/rows-tx")) {
        co_return transact(request);
    }
    co_return textResponse(http::status::not_found, "unknown call");
}

Json StandInTableStore::rowsOf(const std::string &table, uint64_t after) const
{
    Json rows = Json::array();
    for (const auto &[key, row] : m_rows) {
        if (key.first == table && row.version > after) {
            rows.push_back({ { "table_name", table }, { "key", key.second }, { "value", row.value }, { "ver", row.version } });
        }
    }
    return rows;
}

HttpResponse StandInTableStore::get(const std::string &target) const
{
    Json rows = rowsOf(queryParameter(target, "table_name"), 0);
    for (const Json &row : malformedRows) {
        rows.push_back(row);
    }
    return jsonResponse(http::status::ok, { { "rows", std::move(rows) }, { "has_more", false }, { "ver", m_version }, { "now_ms", 1 } });
}

Task<MaybeResponse> StandInTableStore::feed(std::string target)
{
    const uint64_t epoch = m_epoch;
    const uint64_t after = std::stoull(queryParameter(target, "after"));
    const TimePoint end = SteadyClock().now() + std::chrono::milliseconds(std::stoull(queryParameter(target, "wait_ms")));
    asio::steady_timer timer(m_loop);
    while (SteadyClock().now() < end && !isDown) {
        if (isSilent) {
            co_await waitForever();
        }
        if (m_epoch != epoch) {
            co_return std::nullopt;
        }
        if (after < m_oldestRetainedVersion || after > m_version) {
            co_return textResponse(http::status::gone, "history lost");
        }
        const Json rows = rowsOf(queryParameter(target, "table_name"), after);
        if (!rows.empty()) {
            co_return jsonResponse(http::status::ok, { { "rows", rows }, { "ver", m_version }, { "now_ms", 1 } });
        }
        timer.expires_after(FeedPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return jsonResponse(http::status::ok, { { "rows", Json::array() }, { "ver", std::max(after, m_version) }, { "now_ms", 1 } });
}

MaybeResponse StandInTableStore::transact(const HttpRequest &request)
{
    const Json body = Json::parse(request.body());
    Json current = Json::array();
    bool preconditionsHold = true;
    for (const Json &condition : body["precondition"]) {
        const auto found = m_rows.find({ condition["table_name"], condition["key"] });
        const uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        preconditionsHold = preconditionsHold && version == condition["ver"];
        if (version != 0) {
            current.push_back({ { "table_name", condition["table_name"] }, { "key", condition["key"] }, { "value", found->second.value }, { "ver", version } });
        }
    }
    if (!preconditionsHold) {
        return jsonResponse(http::status::precondition_failed, { { "rows", current }, { "ver", m_version } });
    }
    ++m_version;
    for (const Json &item : body["puts"]) {
        m_rows[{ item["table_name"], item["key"] }] = { item["value"], m_version };
    }
    for (const Json &item : body["remove"]) {
        m_rows.erase({ item["table_name"], item["key"] });
    }
    if (dropsWriteResponses) {
        return std::nullopt;
    }
    return jsonResponse(http::status::ok, { { "ver", m_version }, { "now_ms", 1 } });
}

std::string heartbeatBody(const std::string &address, int64_t startedAtMs, const std::string &service, const std::string &state, uint64_t sequence)
{
    return Json {
        { "address", address },
        { "born", startedAtMs },
        { "info", { { "service", service }, { "version", "v1" }, { "zone", "a" }, { "slots", 9 } } },
        { "status", { { "state", state }, { "seq", sequence }, { "cold_remaining_ms", 0 } } }
    }.dump();
}

StandInBackend::StandInBackend(asio::io_context &loop, std::string backendId)
    : id(std::move(backendId))
    , m_loop(loop)
    , m_listener(listen(loop, [this](HttpRequest request, CancellationPtr cancellation) { return handle(std::move(request), std::move(cancellation)); }))
    , m_address(m_listener->address())
{
}

std::string StandInBackend::address() const
{
    return "127.0.0.1:" + std::to_string(m_address.port());
}

bool StandInBackend::restart(std::string newId)
{
    try {
        m_listener = listen(
            m_loop,
            [this](HttpRequest request, CancellationPtr cancellation) { return handle(std::move(request), std::move(cancellation)); },
            m_address.port());
    } catch (const std::runtime_error &) {
        return false;
    }
    id = std::move(newId);
    neverResponds = false;
    return true;
}

std::string StandInBackend::loadField() const
{
    return std::to_string(m_running) + ",0,9," + std::to_string(static_cast<int>(slowdownFactor * 100));
}

void StandInBackend::crash()
{
    m_listener->close();
    m_listener->dropConnections();
}

Task<MaybeResponse> StandInBackend::handle(HttpRequest request, CancellationPtr cancellation)
{
    if (request.target() == "/healthz") {
        HttpResponse response = textResponse(http::status::ok, "healthy");
        response.set("X-Instance-Id", id);
        response.set("X-Server-Load", loadField());
        co_return response;
    }
    if (fieldValue(request, "X-Expected-Instance") != id) {
        co_return notRunResponse(http::status::misdirected_request, request);
    }
    if (shedsRequests) {
        co_return notRunResponse(http::status::service_unavailable, request);
    }
    startedRequests.push_back(request);
    if (onRun) {
        onRun(request);
    }
    const std::string runningId = id;
    if (!crashingPath.empty() && request.target() == beast::string_view(crashingPath)) {
        asio::post(m_loop, [this] { crash(); });
        neverResponds = true;
    }
    ++m_running;
    asio::steady_timer timer(m_loop, neverResponds ? std::chrono::hours(1) : scaled(serviceTime, slowdownFactor));
    const Cancellation::Registration registration(*cancellation, [&] { timer.cancel(); });
    ErrorCode ignored; // the wait ends early if the client closes the connection
    co_await timer.async_wait(redirectError(ignored));
    --m_running;
    cancelledRequests += cancellation->isRequested() ? 1 : 0;
    HttpResponse response(http::status::ok, 11);
    response.set("X-Attempt-Id", fieldValue(request, "X-Attempt-Id"));
    response.set("X-Response-Seal", "seal-of-" + runningId);
    response.set("X-Server-Load", loadField());
    response.body() = "answer of " + runningId;
    co_return response;
}

} // namespace carobjunction::platform
