#include "connection/operatorserver.h"

#include "connection/socketaddress.h"
#include "process/metrics.h"
#include "request/decisionlog.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace carobjunction
{

namespace
{

constexpr uint32_t ThreadCount = 16;
constexpr uint64_t MaxBodyBytes = 64U << 10U;
constexpr char JsonContentType[] = "application/json";

void writeError(httplib::Response &response, int status, const std::string &reason)
{
    response.status = status;
    response.set_content(nlohmann::json { { "error", reason } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", JsonContentType);
}

std::optional<TargetAnnouncement> parseAnnouncement(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto service = json.find("service");
    const auto address = json.find("address");
    const auto slots = json.find("slots");
    const auto incarnation = json.find("incarnation");
    const bool isComplete = service != json.end() && service->is_string() && address != json.end() && address->is_string() && slots != json.end()
        && slots->is_number_unsigned() && incarnation != json.end() && incarnation->is_number_unsigned();
    if (!isComplete || !SocketAddress::parse(address->get<std::string>()) || slots->get<uint64_t>() > 100'000 || incarnation->get<uint64_t>() == 0) {
        return std::nullopt;
    }
    return TargetAnnouncement { service->get<std::string>(), address->get<std::string>(), slots->get<uint32_t>(), incarnation->get<uint64_t>() };
}

std::optional<uint64_t> parseHexadecimal(const std::string &text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

OperatorServer::OperatorServer(OperatorActions actions, const Metrics &metrics, const DecisionLog &decisions)
    : m_actions(std::move(actions)), m_metrics(metrics), m_decisions(decisions), m_port(ThreadCount, MaxBodyBytes)
{
    addTargetHandlers();
    addQueryHandlers();
    addSuspectHandlers();
}

int OperatorServer::start(const std::string &address)
{
    return m_port.start(address);
}

void OperatorServer::stop()
{
    m_port.stop();
}

void OperatorServer::addTargetHandlers()
{
    httplib::Server &server = m_port.server();
    server.Post("/v1/target/announce", [this](const httplib::Request &request, httplib::Response &response) {
        const std::optional<TargetAnnouncement> announcement = parseAnnouncement(request.body);
        if (!announcement) {
            writeError(response, 400, "expected an object with service, address (ip:port), slots and incarnation (above 0)");
            return;
        }
        if (!m_actions.announce(*announcement)) {
            writeError(response, 409, "the settings of this daemon name another service");
            return;
        }
        response.set_content("{\"accepted\":true}\n", JsonContentType);
    });
    server.Post("/v1/target/leave", [this](const httplib::Request &, httplib::Response &response) {
        m_actions.leave();
        response.set_content("{\"leaving\":true}\n", JsonContentType);
    });
}

void OperatorServer::addQueryHandlers()
{
    httplib::Server &server = m_port.server();
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool isReady = m_actions.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ready\n" : "no configuration was learned from the store or a peer yet\n", "text/plain");
    });
    server.Get("/metrics",
               [this](const httplib::Request &, httplib::Response &response) { response.set_content(m_metrics.toPrometheus(), "text/plain; version=0.0.4"); });
    server.Get("/v1/in-force", [this](const httplib::Request &request, httplib::Response &response) {
        response.set_content(m_actions.inForce(request.get_param_value("service"), request.get_param_value("members") == "1"), JsonContentType);
    });
    server.Get("/v1/targets", [this](const httplib::Request &request, httplib::Response &response) {
        response.set_content(m_actions.targets(request.get_param_value("service")), JsonContentType);
    });
    server.Get("/v1/explain", [this](const httplib::Request &request, httplib::Response &response) {
        const std::optional<DecisionRecord> record = m_decisions.find(request.get_param_value("request"));
        if (!record) {
            writeError(response, 404, "the request is unknown at this daemon, or too old");
            return;
        }
        response.set_content(toJson(*record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", JsonContentType);
    });
}

void OperatorServer::addSuspectHandlers()
{
    httplib::Server &server = m_port.server();
    server.Get("/v1/suspects", [this](const httplib::Request &, httplib::Response &response) { response.set_content(m_actions.suspects(), JsonContentType); });
    server.Delete("/v1/suspects/([0-9a-f]+)", [this](const httplib::Request &request, httplib::Response &response) {
        const std::optional<uint64_t> fingerprint = parseHexadecimal(request.matches[1]);
        if (!fingerprint || !m_actions.clearSuspect(*fingerprint)) {
            writeError(response, 404, "no such fingerprint");
            return;
        }
        response.set_content("{\"cleared\":true}\n", JsonContentType);
    });
}

} // namespace carobjunction
