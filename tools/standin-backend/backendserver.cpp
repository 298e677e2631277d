#include "backendserver.h"

#include "answerbody.h"

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

// The HTTP library listens with a backlog of 5, which loses connections that are opened in a burst.
constexpr int ListenBacklog = 512;
constexpr std::size_t LargestAnswer = 64U << 20U;
constexpr int CrashExitCode = 134;
constexpr double LogNormalSigma = 0.8;
constexpr int HighestDescriptor = 4096;

void answerJson(httplib::Response &response, const nlohmann::json &json)
{
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

void answerNotRun(httplib::Response &response, int status)
{
    response.status = status;
    response.set_header("Carob-Outcome", "not-run");
    response.set_content("not run\n", "text/plain");
}

std::optional<uint64_t> toNumber(const std::string &text)
{
    if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(text);
}

/** Closes the connection of a request without an answer. The HTTP library doesn't hand out the socket, so it is found by its peer address. */
void dropConnection(const httplib::Request &request)
{
    for (int fd = 3; fd < HighestDescriptor; ++fd) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        if (::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) == 0 && peer.sin_family == AF_INET && ntohs(peer.sin_port) == request.remote_port) {
            ::shutdown(fd, SHUT_RDWR);
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
    m_server.set_payload_max_length(LargestAnswer);
    m_server.set_socket_options([this](socket_t socket) {
        const int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        m_socket = socket;
    });
    registerControl();
    const auto call = [this](const httplib::Request &request, httplib::Response &response) {
        handleCall(request, response);
    };
    m_server.Get(".*", call);
    m_server.Post(".*", call);
    m_server.Put(".*", call);
    m_server.Patch(".*", call);
    m_server.Delete(".*", call);
}

int BackendServer::bind(const std::string &host, int port)
{
    const int bound = port == 0 ? m_server.bind_to_any_port(host) : (m_server.bind_to_port(host, port) ? port : -1);
    if (bound > 0 && ::listen(m_socket, ListenBacklog) != 0) {
        return -1;
    }
    return bound;
}

bool BackendServer::serve()
{
    return m_server.listen_after_bind();
}

void BackendServer::setLeaveHandler(std::function<bool()> handler)
{
    m_leave = std::move(handler);
}

void BackendServer::registerControl()
{
    m_server.Post("/control", [this](const httplib::Request &request, httplib::Response &response) { handleControl(request, response); });
    m_server.Get("/control/log", [this](const httplib::Request &, httplib::Response &response) { answerJson(response, m_log.toJson()); });
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
    m_pool.change([&](Behaviour &behaviour) { fault = behaviour.apply(fields, std::chrono::steady_clock::now()); });
    if (!fault.empty()) {
        response.status = 400;
        answerJson(response, { { "fault", fault } });
        return;
    }
    if (leave && (!m_leave || !m_leave())) {
        response.status = 502;
        answerJson(response, { { "fault", "the daemon did not accept the leave" } });
        return;
    }
    answerJson(response, { { "accepted", true } });
}

void BackendServer::handleLoad(httplib::Response &response) const
{
    const Behaviour behaviour = m_pool.behaviour();
    if (!behaviour.loadLie.is_null()) {
        answerJson(response, behaviour.loadLie);
        return;
    }
    const LoadSample load = m_pool.load(behaviour.loadLag);
    answerJson(response, { { "in_flight", load.inFlight }, { "queued", load.queued }, { "slots", m_pool.slots() } });
}

void BackendServer::handleHealth(httplib::Response &response)
{
    const Behaviour behaviour = m_pool.behaviour();
    const TimePoint at = std::chrono::steady_clock::now() - behaviour.healthLag;
    const bool isFailing = behaviour.fail.isActive(at) && at >= m_startedAt;
    const bool healthy = behaviour.healthLie.value_or(!isFailing);
    response.status = healthy ? 200 : 503;
    answerJson(response, { { "healthy", healthy } });
}

void BackendServer::handleCall(const httplib::Request &request, httplib::Response &response)
{
    const Behaviour behaviour = m_pool.behaviour();
    std::string requestId = request.get_header_value("Carob-Request-Id");
    if (requestId.empty()) {
        requestId = "direct-" + std::to_string(m_nextId++);
    }
    response.set_header("Carob-Request-Id", requestId);
    if (refuse(behaviour, response)) {
        return;
    }
    TimePoint deadline = TimePoint::max();
    if (request.has_header("Carob-Deadline-Ms")) {
        const auto remaining = toNumber(request.get_header_value("Carob-Deadline-Ms"));
        if (!remaining) {
            answerNotRun(response, 400);
            return;
        }
        deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*remaining);
    }
    std::size_t record = 0;
    const auto onStart = [&] {
        record = m_log.start({ requestId, request.get_header_value("Idempotency-Key"), request.target, request.method });
        if (!behaviour.crashText.empty()
            && (request.target.find(behaviour.crashText) != std::string::npos || request.body.find(behaviour.crashText) != std::string::npos)) {
            ::_exit(CrashExitCode);
        }
    };
    const RunEnd end = m_pool.run(requestId, deadline, sampleWork(behaviour), onStart);
    if (end != RunEnd::NotStarted) {
        m_log.finish(record, end == RunEnd::Cancelled);
    }
    answer(request, requestId, end, response);
}

bool BackendServer::refuse(const Behaviour &behaviour, httplib::Response &response) const
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (behaviour.fail.isActive(now)) {
        response.status = behaviour.failStatus;
        response.set_content("failing\n", "text/plain");
        return true;
    }
    if (behaviour.shed.isActive(now)) {
        answerNotRun(response, 503);
        return true;
    }
    return false;
}

void BackendServer::answer(const httplib::Request &request, const std::string &requestId, RunEnd end, httplib::Response &response)
{
    if (end == RunEnd::NotStarted) {
        answerNotRun(response, 504);
        return;
    }
    const Behaviour behaviour = m_pool.behaviour();
    const TimePoint now = std::chrono::steady_clock::now();
    if (behaviour.drop.isActive(now)) {
        dropConnection(request);
        return;
    }
    if (end == RunEnd::Cancelled) {
        response.status = 500;
        response.set_content("cancelled\n", "text/plain");
        return;
    }
    const auto size = toNumber(request.get_param_value("bytes"));
    const std::string body = size ? answerBody(requestId, std::min<uint64_t>(*size, LargestAnswer)) : "ran " + requestId + "\n";
    if (behaviour.shortAnswer.isActive(now)) {
        response.set_content_provider(body.size() + 1, "text/plain", [body](size_t offset, size_t, httplib::DataSink &sink) {
            return offset < body.size() && sink.write(body.data() + offset, body.size() - offset);
        });
        return;
    }
    response.set_content(body, "text/plain");
}

Duration BackendServer::sampleWork(const Behaviour &behaviour)
{
    const Duration mean = behaviour.serviceTime.value_or(m_options.serviceTime);
    const std::lock_guard lock(m_rngMutex);
    double share = 1;
    if (m_options.distribution == Distribution::Exponential) {
        share = std::exponential_distribution<double>(1)(m_rng);
    } else if (m_options.distribution == Distribution::LogNormal) {
        // This location parameter gives a mean of 1.
        share = std::lognormal_distribution<double>(-LogNormalSigma * LogNormalSigma / 2, LogNormalSigma)(m_rng);
    }
    return std::chrono::duration_cast<Duration>(mean * share);
}

} // namespace carobjunction::standin
