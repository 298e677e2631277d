#include "target.h"

#include <nlohmann/json.hpp>

namespace carobjunction::review
{

namespace
{

constexpr int Slots = 9;
constexpr Milliseconds AcknowledgementTimeout { 1000 };
constexpr Milliseconds PollInterval { 10 };

int64_t unixTimeMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Target::Target(Record &record, std::string id, std::string service, uint16_t port, uint16_t daemonPort)
    : m_record(record), m_id(std::move(id)), m_service(std::move(service)), m_port(port), m_daemonPort(daemonPort)
{
}

Target::~Target()
{
    m_isClosing = true;
    if (m_crashThread.joinable()) {
        m_crashThread.join();
    }
    stop();
}

bool Target::start(const std::string &id)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_id = id;
        m_startedAtUnixMs = unixTimeMs();
    }
    m_sequence = 0;
    m_hasCrashed = false;
    m_server = std::make_unique<HttpServer>([this](const Request &request) { return handle(request); });
    if (!m_server->start(m_port)) {
        return false;
    }
    m_sendsHeartbeats = true;
    m_heartbeatThread = std::thread([this] { sendHeartbeats(); });
    return true;
}

void Target::stopHeartbeats()
{
    m_sendsHeartbeats = false;
    if (m_heartbeatThread.joinable()) {
        m_heartbeatThread.join();
    }
}

void Target::stop()
{
    stopHeartbeats();
    if (m_server) {
        m_server->stop();
    }
}

void Target::sendHeartbeats()
{
    Clock::time_point next = Clock::now();
    while (m_sendsHeartbeats && !m_isClosing) {
        if (Clock::now() >= next) {
            const unsigned status = deliver(nextHeartbeat());
            if (status != 200) {
                m_record.write("target " + m_id + ": a heartbeat is answered " + std::to_string(status));
            }
            next = Clock::now() + HeartbeatInterval;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

Request Target::nextHeartbeat()
{
    const std::scoped_lock lock(m_mutex);
    Request request(http::verb::put, "/v1/instances/" + m_id, 11);
    request.set(http::field::host, "admin");
    request.set(http::field::content_type, "application/json");
    const nlohmann::json body { { "address", "127.0.0.1:" + std::to_string(m_port) },
                                { "born", m_startedAtUnixMs },
                                { "info", { { "service", m_service }, { "version", "v1" }, { "zone", "zone-a" }, { "slots", Slots } } },
                                { "status", { { "state", "ready" }, { "seq", ++m_sequence }, { "cold_remaining_ms", 0 } } } };
    request.body() = body.dump();
    return request;
}

Request Target::foreignHeartbeat() const
{
    Request request(http::verb::put, "/v1/instances/i-other", 11);
    request.set(http::field::host, "admin");
    request.set(http::field::content_type, "application/json");
    const nlohmann::json body { { "address", "127.0.0.1:" + std::to_string(m_port) },
                                { "born", unixTimeMs() },
                                { "info", { { "service", "unnamed" }, { "version", "v1" }, { "zone", "zone-a" }, { "slots", Slots } } },
                                { "status", { { "state", "draining" }, { "seq", 1 }, { "cold_remaining_ms", 0 } } } };
    request.body() = body.dump();
    return request;
}

unsigned Target::deliver(const Request &heartbeat)
{
    const auto response = exchange(m_daemonPort, heartbeat, AcknowledgementTimeout);
    return response ? response->result_int() : 0;
}

unsigned Target::leave()
{
    Request request(http::verb::delete_, "/v1/instances/" + m_id, 11);
    request.set(http::field::host, "admin");
    const auto response = exchange(m_daemonPort, request, AcknowledgementTimeout);
    return response ? response->result_int() : 0;
}

void Target::crashOn(const std::string &path, Milliseconds restartDelay)
{
    m_crashPath = path;
    m_restartDelay = restartDelay;
}

std::vector<Run> Target::runs()
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

std::optional<Response> Target::handle(const Request &request)
{
    Response response(http::status::ok, 11);
    response.set("X-Server-Load", std::to_string(m_running) + ",0," + std::to_string(Slots));
    if (request.target() == "/healthz") {
        const std::scoped_lock lock(m_mutex);
        response.set("X-Instance-Id", m_id);
        return response;
    }
    const std::string requestId = fieldOf(request, "X-Attempt-Id");
    response.set("X-Attempt-Id", requestId);
    {
        const std::scoped_lock lock(m_mutex);
        if (fieldOf(request, "X-Expected-Instance") != m_id) {
            response.result(http::status::misdirected_request);
            response.set("X-Not-Executed", "1");
            return response;
        }
        m_runs.push_back({ m_record.elapsedMs(), requestId, std::string(request.target().data(), request.target().size()) });
        m_record.write("target " + m_id + ": runs " + requestId + " " + m_runs.back().path);
    }
    if (!m_crashPath.empty() && request.target() == beast::string_view(m_crashPath)) {
        if (!m_hasCrashed.exchange(true)) {
            restartAfterCrash();
        }
        return std::nullopt;
    }
    ++m_running;
    std::this_thread::sleep_for(workTime);
    --m_running;
    response.set("X-Response-Seal", "seal-" + requestId);
    response.body() = "answer to " + requestId;
    return response;
}

/** Ends the process and starts another one after the delay. Runs on its own thread, because the caller's connection ends with the process. */
void Target::restartAfterCrash()
{
    if (m_crashThread.joinable()) {
        m_crashThread.join();
    }
    m_crashThread = std::thread([this] {
        m_record.write("target " + m_id + ": crashes");
        stop();
        const Clock::time_point end = Clock::now() + m_restartDelay;
        while (Clock::now() < end && !m_isClosing) {
            std::this_thread::sleep_for(PollInterval);
        }
        if (!m_isClosing) {
            const std::string id = m_id.substr(0, m_id.find('.')) + "." + std::to_string(++m_processCount);
            m_record.write("target " + id + (start(id) ? ": starts" : ": cannot open its port"));
        }
    });
}

} // namespace carobjunction::review
