#include "connection/peercodec.h"

#include <carobjunction/process/durations.h>

#include "connection/boundedjson.h"
#include "connection/messagefields.h"

#include <limits>

namespace carobjunction
{

namespace
{

using boundedjson::Json;

constexpr double Percent = 100;

constexpr auto LongestTime = std::chrono::hours(24); // far beyond any deadline, and far below what overflows in nanoseconds
constexpr JsonBounds FieldBounds { 65'536, 4 }; // of a header field, which has two levels

/** @return a time that may have passed */
Duration readOffset(const Json &milliseconds)
{
    return std::chrono::milliseconds(boundedjson::signedWhole(milliseconds, std::chrono::milliseconds(LongestTime).count()));
}

template<typename Unit>
Unit readTime(const Json &value)
{
    return Unit(boundedjson::whole(value, static_cast<uint64_t>(Unit(LongestTime).count())));
}

std::string readText(const Json &value)
{
    return value.get_ref<const std::string &>();
}

TargetReport readReport(const Json &list)
{
    return {
        boundedjson::whole32(list.at(0)),
        boundedjson::whole32(list.at(1)),
        boundedjson::whole32(list.at(2)),
        boundedjson::whole32(list.at(3)) / Percent,
        boundedjson::whole32(list.at(4)) != 0,
        boundedjson::whole32(list.at(5)) != 0,
        {},
    };
}

ForwardRequest readRequest(const Json &field, TimePoint now)
{
    constexpr uint64_t AnyHash = std::numeric_limits<uint64_t>::max();
    ForwardRequest request;
    request.requestId = readText(field.at("id"));
    request.call = field.contains("call") ? boundedjson::whole(field["call"], std::numeric_limits<uint64_t>::max()) : 0;
    request.callerService = readText(field.at("from"));
    request.service = readText(field.at("service"));
    request.route = readText(field.at("route"));
    request.backend = readText(field.at("backend"));
    request.configVersion = boundedjson::whole(field.at("config"), boundedjson::LargestExact);
    request.fingerprint = boundedjson::whole(field.at("print"), AnyHash);
    request.idempotent = field.at("idempotent").get<bool>();
    request.mayQueue = field.at("queue").get<bool>();
    request.priority = boundedjson::whole32(field.at("priority"));
    request.aimAt = now + readOffset(field.at("aim"));
    request.deadlineAt = now + readOffset(field.at("left"));
    request.work = readTime<std::chrono::milliseconds>(field.at("work"));
    return request;
}

ForwardResult readResult(const Json &field)
{
    const auto outcome = fromName<Outcome>(readText(field.at("outcome")));
    const auto reason = fromName<Reason>(readText(field.at("reason")));
    if (!outcome || !reason) {
        throw UnreadableMessage("unknown outcome or reason");
    }
    ForwardResult result;
    result.outcome = *outcome;
    result.reason = *reason;
    result.reachedBackend = field.at("reached").get<bool>();
    result.isTypical = field.at("typical").get<bool>();
    result.serviceTime = readTime<std::chrono::microseconds>(field.at("us"));
    result.retryAfter = readTime<std::chrono::milliseconds>(field.at("retry"));
    if (field.contains("load")) {
        result.report = readReport(field["load"]);
    }
    return result;
}

} // namespace

HttpRequest PeerCodec::encode(ForwardRequest request, TimePoint now)
{
    HttpRequest message = std::move(request.message);
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
    // The caller of this function logs what can't be read.
    auto request = boundedjson::decode([&] { return readRequest(boundedjson::parse(fieldText(message, RequestField), FieldBounds), now); });
    if (!request) {
        return std::nullopt;
    }
    message.erase(RequestField);
    removeConnectionFields(message);
    request->message = std::move(message);
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
    const auto call = boundedjson::decode([&message] {
        const Json field = boundedjson::parse(fieldText(message, ResultField), FieldBounds);
        return field.contains("call") ? boundedjson::whole(field["call"], std::numeric_limits<uint64_t>::max()) : 0;
    });
    return call.value_or(0) == 0 ? std::nullopt : call;
}

bool PeerCodec::isResult(const HttpResponse &message)
{
    return hasField(message, ResultField);
}

std::optional<ForwardResult> PeerCodec::decode(HttpResponse message)
{
    // The entry counts an attempt whose result can't be read as unknown, and logs it.
    auto result = boundedjson::decode([&] { return readResult(boundedjson::parse(fieldText(message, ResultField), FieldBounds)); });
    if (!result) {
        return std::nullopt;
    }
    message.erase(ResultField);
    removeConnectionFields(message);
    result->response = std::move(message);
    return result;
}

} // namespace carobjunction
