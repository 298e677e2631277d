#include "connection/peercodec.h"

#include <carobjunction/process/durations.h>

#include "connection/messagefields.h"

#include <nlohmann/json.hpp>

namespace carobjunction
{

namespace
{

using Json = nlohmann::json;

constexpr double Percent = 100;

Duration fromMs(int64_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

TargetReport readReport(const Json &list)
{
    return {
        list.at(0).get<uint32_t>(),
        list.at(1).get<uint32_t>(),
        list.at(2).get<uint32_t>(),
        list.at(3).get<double>() / Percent,
        list.at(4).get<int>() != 0,
        list.at(5).get<int>() != 0,
        {},
    };
}

} // namespace

HttpRequest PeerCodec::encode(const ForwardRequest &request, TimePoint now)
{
    HttpRequest message = request.message;
    const Json field { { "id", request.requestId },
                       { "call", request.call },
                       { "from", request.callerService },
                       { "service", request.service },
                       { "route", request.route },
                       { "backend", request.backend },
                       { "config", request.configVersion },
                       { "print", request.fingerprint },
                       { "idempotent", request.idempotent },
                       { "queue", request.mayQueue },
                       { "priority", request.priority },
                       { "aim", toMs(request.aimAt - now) },
                       { "left", toMs(request.deadlineAt - now) },
                       { "work", toMs(request.work) } };
    message.set(RequestField, field.dump(-1, ' ', true, Json::error_handler_t::replace));
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

std::optional<ForwardRequest> PeerCodec::decode(HttpRequest message, TimePoint now)
{
    ForwardRequest request;
    try {
        const Json field = Json::parse(fieldText(message, RequestField));
        request.requestId = field.at("id").get<std::string>();
        request.call = field.value("call", uint64_t(0));
        request.callerService = field.at("from").get<std::string>();
        request.service = field.at("service").get<std::string>();
        request.route = field.at("route").get<std::string>();
        request.backend = field.at("backend").get<std::string>();
        request.configVersion = field.at("config").get<uint64_t>();
        request.fingerprint = field.at("print").get<uint64_t>();
        request.idempotent = field.at("idempotent").get<bool>();
        request.mayQueue = field.at("queue").get<bool>();
        request.priority = field.at("priority").get<uint32_t>();
        request.aimAt = now + fromMs(field.at("aim").get<int64_t>());
        request.deadlineAt = now + fromMs(field.at("left").get<int64_t>());
        request.work = fromMs(field.at("work").get<int64_t>());
    } catch (const Json::exception &) {
        return std::nullopt; // the caller of this function logs the refusal
    }
    message.erase(RequestField);
    removeConnectionFields(message);
    request.message = std::move(message);
    return request;
}

HttpResponse PeerCodec::encode(ForwardResult result)
{
    Json field { { "call", result.call },
                 { "outcome", nameOf(result.outcome) },
                 { "reason", nameOf(result.reason) },
                 { "reached", result.reachedBackend },
                 { "typical", result.isTypical },
                 { "us", std::chrono::duration_cast<std::chrono::microseconds>(result.serviceTime).count() },
                 { "retry", toMs(result.retryAfter) } };
    if (result.report) {
        const TargetReport &report = *result.report;
        field["load"]
            = { report.running, report.waiting, report.limit, static_cast<int>(report.slowness * Percent), report.cold ? 1 : 0, report.slowSpell ? 1 : 0 };
    }
    HttpResponse message = std::move(result.response);
    if (result.outcome != Outcome::Ran) {
        message = HttpResponse(http::status::service_unavailable, 11);
    }
    message.set(ResultField, field.dump());
    message.prepare_payload();
    return message;
}

std::optional<uint64_t> PeerCodec::callOf(const HttpResponse &message)
{
    const Json field = Json::parse(fieldText(message, ResultField), nullptr, false);
    if (!field.is_object() || !field.contains("call") || !field["call"].is_number_unsigned() || field["call"] == 0) {
        return std::nullopt;
    }
    return field["call"].get<uint64_t>();
}

bool PeerCodec::isResult(const HttpResponse &message)
{
    return hasField(message, ResultField);
}

std::optional<ForwardResult> PeerCodec::decode(HttpResponse message)
{
    ForwardResult result;
    try {
        const Json field = Json::parse(fieldText(message, ResultField));
        const auto outcome = fromName<Outcome>(field.at("outcome").get<std::string>());
        const auto reason = fromName<Reason>(field.at("reason").get<std::string>());
        if (!outcome || !reason) {
            return std::nullopt;
        }
        result.outcome = *outcome;
        result.reason = *reason;
        result.reachedBackend = field.at("reached").get<bool>();
        result.isTypical = field.at("typical").get<bool>();
        result.serviceTime = std::chrono::microseconds(field.at("us").get<int64_t>());
        result.retryAfter = fromMs(field.at("retry").get<int64_t>());
        if (field.contains("load")) {
            result.report = readReport(field["load"]);
        }
    } catch (const Json::exception &) {
        return std::nullopt; // the entry counts the attempt as unknown and logs it
    }
    message.erase(ResultField);
    removeConnectionFields(message);
    result.response = std::move(message);
    return result;
}

} // namespace carobjunction
