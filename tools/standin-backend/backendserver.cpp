#include "backendserver.h"

#include "responsebody.h"

#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <cmath>
#include <cstdlib>

namespace carobjunction::standin
{

namespace
{

// The HTTP library listens with a backlog of 5, which drops connections that are opened in a burst.
constexpr int ListenBacklog = 512;
constexpr std::size_t MaxBodyBytes = 64U << 20U;
constexpr int CrashExitCode = 134;
constexpr double LogNormalSigma = 0.8;
constexpr int DescriptorLimit = 4096;

/** Sets a JSON body. Replaces invalid UTF-8, on which dump() would throw. */
void setJsonResponse(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

/** Sets a response that declares the request as not run. */
void setNotRunResponse(httplib::Response &response, int status)
{
    response.status = status;
    response.set_header("Carob-Outcome", "not-run");
    response.set_content("not run\n", "text/plain");
}

/** Parses a decimal number of up to 18 digits. @return the number, or empty if the text is malformed */
std::optional<uint64_t> parseUnsigned(const std::string &text)
{
    if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(text);
}

/** Closes the connection of a request without a response. The HTTP library doesn't expose the socket, so this finds it by the port of the peer. */
void closeConnection(const httplib::Request &request)
{
    for (int descriptor = 3; descriptor < DescriptorLimit; ++descriptor) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET
            && ntohs(peer.sin_port) == request.remote_port) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

} // namespace

BackendServer::BackendServer(const BackendOptions &options) : m_options(options), m_pool(options.slots), m_rng(options.seed)
{
    m_server.new_task_queue = [workers = options.workers] {
        return new httplib::ThreadPool(workers);
    };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(1U << 30U);
    m_server.set_keep_alive_timeout(60);
    m_server.set_payload_max_length(MaxBodyBytes);
    m_server.set_socket_options([this](socket_t socket) {
        const int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        m_listenSocket = socket;
    });
    registerControlRoutes();
    const auto requestHandler = [this](const httplib::Request &request, httplib::Response &response) {
        handleRequest(request, response);
    };
    m_server.Get(".*", requestHandler);
    m_server.Post(".*", requestHandler);
    m_server.Put(".*", requestHandler);
    m_server.Patch(".*", requestHandler);
    m_server.Delete(".*", requestHandler);
}

int BackendServer::bind(const std::string &host, int port)
{
    const int boundPort = port == 0 ? m_server.bind_to_any_port(host) : (m_server.bind_to_port(host, port) ? port : -1);
    if (boundPort > 0 && ::listen(m_listenSocket, ListenBacklog) != 0) {
        return -1;
    }
    return boundPort;
}

bool BackendServer::serve()
{
    return m_server.listen_after_bind();
}

void BackendServer::setLeaveHandler(std::function<bool()> handler)
{
    m_leaveHandler = std::move(handler);
}

void BackendServer::registerControlRoutes()
{
    m_server.Post("/control", [this](const httplib::Request &request, httplib::Response &response) { handleControl(request, response); });
    m_server.Get("/control/log", [this](const httplib::Request &, httplib::Response &response) { setJsonResponse(response, m_log.toJson()); });
    m_server.Get("/_carob/load", [this](const httplib::Request &, httplib::Response &response) { handleLoad(response); });
    m_server.Get("/_carob/health", [this](const httplib::Request &, httplib::Response &response) { handleHealth(response); });
    m_server.Delete("/_carob/requests/(.+)",
                    [this](const httplib::Request &request, httplib::Response &response) { response.status = m_pool.cancel(request.matches[1]) ? 204 : 404; });
}

void BackendServer::handleControl(const httplib::Request &request, httplib::Response &response)
{
    nlohmann::json fields = nlohmann::json::parse(request.body, nullptr, false);
    bool leave = false;
    if (fields.is_object() && fields.contains("leave")) {
        leave = fields["leave"] == true;
        fields.erase("leave");
    }
    std::string fault;
    m_pool.updateBehaviour([&](Behaviour &behaviour) { fault = behaviour.apply(fields, std::chrono::steady_clock::now()); });
    if (!fault.empty()) {
        response.status = 400;
        setJsonResponse(response, { { "fault", fault } });
        return;
    }
    if (leave && (!m_leaveHandler || !m_leaveHandler())) {
        response.status = 502;
        setJsonResponse(response, { { "fault", "the daemon did not accept the leave" } });
        return;
    }
    setJsonResponse(response, { { "accepted", true } });
}

void BackendServer::handleLoad(httplib::Response &response) const
{
    const Behaviour behaviour = m_pool.behaviour();
    if (!behaviour.loadOverride.is_null()) {
        setJsonResponse(response, behaviour.loadOverride);
        return;
    }
    const LoadSample load = m_pool.load(behaviour.loadLag);
    setJsonResponse(response, { { "in_flight", load.inFlight }, { "queued", load.queued }, { "slots", m_pool.slots() } });
}

void BackendServer::handleHealth(httplib::Response &response)
{
    const Behaviour behaviour = m_pool.behaviour();
    const TimePoint reportedTime = std::chrono::steady_clock::now() - behaviour.healthLag;
    const bool isFailing = behaviour.fail.isActive(reportedTime) && reportedTime >= m_startedAt;
    const bool healthy = behaviour.healthOverride.value_or(!isFailing);
    response.status = healthy ? 200 : 503;
    setJsonResponse(response, { { "healthy", healthy } });
}

void BackendServer::handleRequest(const httplib::Request &request, httplib::Response &response)
{
    const Behaviour behaviour = m_pool.behaviour();
    std::string requestId = request.get_header_value("Carob-Request-Id");
    if (requestId.empty()) {
        requestId = "direct-" + std::to_string(m_nextDirectId++);
    }
    response.set_header("Carob-Request-Id", requestId);
    if (rejectByFault(behaviour, response)) {
        return;
    }
    TimePoint deadline = TimePoint::max();
    if (request.has_header("Carob-Deadline-Ms")) {
        const auto remaining = parseUnsigned(request.get_header_value("Carob-Deadline-Ms"));
        if (!remaining) {
            setNotRunResponse(response, 400);
            return;
        }
        deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*remaining);
    }
    std::size_t recordIndex = 0;
    const auto onStart = [&] {
        recordIndex = m_log.recordStart({ requestId, request.get_header_value("Idempotency-Key"), request.target, request.method });
        if (!behaviour.crashText.empty()
            && (request.target.find(behaviour.crashText) != std::string::npos || request.body.find(behaviour.crashText) != std::string::npos)) {
            ::_exit(CrashExitCode);
        }
    };
    const RunOutcome outcome = m_pool.run(requestId, deadline, sampleServiceTime(behaviour), onStart);
    if (outcome != RunOutcome::NotStarted) {
        m_log.recordFinish(recordIndex, outcome == RunOutcome::Cancelled);
    }
    sendResponse(request, requestId, outcome, response);
}

bool BackendServer::rejectByFault(const Behaviour &behaviour, httplib::Response &response) const
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (behaviour.fail.isActive(now)) {
        response.status = behaviour.failStatus;
        response.set_content("failing\n", "text/plain");
        return true;
    }
    if (behaviour.shed.isActive(now)) {
        setNotRunResponse(response, 503);
        return true;
    }
    return false;
}

void BackendServer::sendResponse(const httplib::Request &request, const std::string &requestId, RunOutcome outcome, httplib::Response &response)
{
    if (outcome == RunOutcome::NotStarted) {
        setNotRunResponse(response, 504);
        return;
    }
    const Behaviour behaviour = m_pool.behaviour();
    const TimePoint now = std::chrono::steady_clock::now();
    if (behaviour.dropResponse.isActive(now)) {
        closeConnection(request);
        return;
    }
    if (outcome == RunOutcome::Cancelled) {
        response.status = 500;
        response.set_content("cancelled\n", "text/plain");
        return;
    }
    const auto size = parseUnsigned(request.get_param_value("bytes"));
    const std::string body = size ? makeResponseBody(requestId, std::min<uint64_t>(*size, MaxBodyBytes)) : "ran " + requestId + "\n";
    if (behaviour.truncatedResponse.isActive(now)) {
        response.set_content_provider(body.size() + 1, "text/plain", [body](size_t offset, size_t, httplib::DataSink &sink) {
            return offset < body.size() && sink.write(body.data() + offset, body.size() - offset);
        });
        return;
    }
    response.set_content(body, "text/plain");
}

Duration BackendServer::sampleServiceTime(const Behaviour &behaviour)
{
    const Duration mean = behaviour.serviceTime.value_or(m_options.serviceTime);
    const std::lock_guard lock(m_rngMutex);
    double multiplier = 1;
    if (m_options.distribution == Distribution::Exponential) {
        multiplier = std::exponential_distribution<double>(1)(m_rng);
    } else if (m_options.distribution == Distribution::LogNormal) {
        // With this location parameter the distribution has a mean of 1.
        multiplier = std::lognormal_distribution<double>(-LogNormalSigma * LogNormalSigma / 2, LogNormalSigma)(m_rng);
    }
    return std::chrono::duration_cast<Duration>(mean * multiplier);
}

} // namespace carobjunction::standin
