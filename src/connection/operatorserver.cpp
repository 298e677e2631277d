#include "connection/operatorserver.h"

#include "connection/boundedjson.h"
#include "connection/socketaddress.h"
#include "process/eventlog.h"
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
constexpr uint64_t MaxSlots = 100'000;
constexpr JsonLimits AnnouncementLimits { MaxBodyBytes, 32, true };
constexpr char JsonContentType[] = "application/json";
constexpr char InvalidAnnouncementText[] = "expected an object with service, address (ip:port), slots and incarnation (above 0), each once";

void writeError(httplib::Response &response, int status, const std::string &reason)
{
    response.status = status;
    response.set_content(nlohmann::json { { "error", reason } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", JsonContentType);
}

TargetAnnouncement readAnnouncement(const nlohmann::json &json)
{
    TargetAnnouncement announcement;
    announcement.service = boundedjson::name(json.at("service"));
    announcement.address = boundedjson::name(json.at("address"));
    announcement.slots = static_cast<uint32_t>(boundedjson::unsignedInteger(json.at("slots"), MaxSlots));
    announcement.incarnation = boundedjson::unsignedInteger(json.at("incarnation"), boundedjson::MaxExactInteger);
    if (announcement.incarnation == 0 || !SocketAddress::parse(announcement.address)) {
        throw MessageParseError("incarnation 0, or an address that is not ip:port");
    }
    return announcement;
}

std::optional<TargetAnnouncement> parseAnnouncement(const std::string &body)
{
    return boundedjson::decode([&body] { return readAnnouncement(boundedjson::parse(body, AnnouncementLimits)); });
}

void rejectAnnouncement(httplib::Response &response, AnnouncementVerdict verdict)
{
    const std::string reason(nameOf(verdict));
    EventLog::write(LogLevel::Warning, Event::RequestRejected, { { "port", "operator" }, { "reason", reason } });
    writeError(response, 409, reason);
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
            writeError(response, 400, InvalidAnnouncementText);
            return;
        }
        const AnnouncementVerdict verdict = m_actions.announce(*announcement);
        if (verdict != AnnouncementVerdict::Accepted) {
            rejectAnnouncement(response, verdict);
            return;
        }
        response.set_content("{\"accepted\":true}\n", JsonContentType);
    });
    server.Post("/v1/target/leave", [this](const httplib::Request &request, httplib::Response &response) {
        const std::optional<TargetAnnouncement> announcement = parseAnnouncement(request.body);
        if (!request.body.empty() && !announcement) {
            writeError(response, 400, InvalidAnnouncementText);
            return;
        }
        const AnnouncementVerdict verdict = m_actions.leave(announcement ? &*announcement : nullptr);
        if (verdict != AnnouncementVerdict::Accepted) {
            rejectAnnouncement(response, verdict);
            return;
        }
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
