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

constexpr double PercentPerUnit = 100;

constexpr auto MaxDuration = std::chrono::hours(24); // longer than any deadline in use; does not overflow as nanoseconds
constexpr JsonLimits HeaderFieldLimits { 65'536, 4 }; // a valid header field has two levels of nesting, two fewer than the limit

/** @return a duration that is negative if the point in time has passed */
Duration readSignedDuration(const Json &milliseconds)
{
    return std::chrono::milliseconds(boundedjson::signedInteger(milliseconds, std::chrono::milliseconds(MaxDuration).count()));
}

template<typename Unit>
Unit readDuration(const Json &value)
{
    return Unit(boundedjson::unsignedInteger(value, static_cast<uint64_t>(Unit(MaxDuration).count())));
}

std::string readString(const Json &value)
{
    return value.get_ref<const std::string &>();
}

TargetReport readTargetReport(const Json &list)
{
    return {
        boundedjson::unsignedInteger32(list.at(0)),
        boundedjson::unsignedInteger32(list.at(1)),
        boundedjson::unsignedInteger32(list.at(2)),
        boundedjson::unsignedInteger32(list.at(3)) / PercentPerUnit,
        boundedjson::unsignedInteger32(list.at(4)) != 0,
        boundedjson::unsignedInteger32(list.at(5)) != 0,
        {},
    };
}

ForwardRequest readForwardRequest(const Json &field, TimePoint now)
{
    constexpr uint64_t MaxHash = std::numeric_limits<uint64_t>::max();
    ForwardRequest request;
    request.requestId = readString(field.at("id"));
    request.call = field.contains("call") ? boundedjson::unsignedInteger(field["call"], std::numeric_limits<uint64_t>::max()) : 0;
    request.callerService = readString(field.at("from"));
    request.service = readString(field.at("service"));
    request.route = readString(field.at("route"));
    request.backend = readString(field.at("backend"));
    request.configVersion = boundedjson::unsignedInteger(field.at("config"), boundedjson::MaxExactInteger);
    request.fingerprint = boundedjson::unsignedInteger(field.at("print"), MaxHash);
    request.idempotent = field.at("idempotent").get<bool>();
    request.mayQueue = field.at("queue").get<bool>();
    request.priority = boundedjson::unsignedInteger32(field.at("priority"));
    request.softDeadlineAt = now + readSignedDuration(field.at("aim"));
    request.deadlineAt = now + readSignedDuration(field.at("left"));
    request.work = readDuration<std::chrono::milliseconds>(field.at("work"));
    return request;
}

ForwardResult readForwardResult(const Json &field)
{
    const auto outcome = fromName<Outcome>(readString(field.at("outcome")));
    const auto reason = fromName<Reason>(readString(field.at("reason")));
    if (!outcome || !reason) {
        throw MessageParseError("the outcome or the reason has an unknown value");
    }
    ForwardResult result;
    result.outcome = *outcome;
    result.reason = *reason;
    result.reachedBackend = field.at("reached").get<bool>();
    result.isRepresentative = field.at("typical").get<bool>();
    result.serviceTime = readDuration<std::chrono::microseconds>(field.at("us"));
    result.retryAfter = readDuration<std::chrono::milliseconds>(field.at("retry"));
    if (field.contains("load")) {
        result.report = readTargetReport(field["load"]);
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
                       { "aim", toMs(request.softDeadlineAt - now) },
                       { "left", toMs(request.deadlineAt - now) },
                       { "work", toMs(request.work) } };
    message.set(RequestField, field.dump(-1, ' ', true, Json::error_handler_t::replace));
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

std::optional<ForwardRequest> PeerCodec::decode(HttpRequest message, TimePoint now)
{
    // The caller of this function logs malformed requests.
    auto request = boundedjson::decode([&] { return readForwardRequest(boundedjson::parse(fieldValue(message, RequestField), HeaderFieldLimits), now); });
    if (!request) {
        return std::nullopt;
    }
    message.erase(RequestField);
    removeHopByHopFields(message);
    request->message = std::move(message);
    return request;
}

HttpResponse PeerCodec::encode(ForwardResult result)
{
    Json field { { "call", result.call },
                 { "outcome", nameOf(result.outcome) },
                 { "reason", nameOf(result.reason) },
                 { "reached", result.reachedBackend },
                 { "typical", result.isRepresentative },
                 { "us", std::chrono::duration_cast<std::chrono::microseconds>(result.serviceTime).count() },
                 { "retry", toMs(result.retryAfter) } };
    if (result.report) {
        const TargetReport &report = *result.report;
        field["load"] = { report.running,      report.waiting,
                          report.limit,        static_cast<int>(report.slowdownFactor * PercentPerUnit),
                          report.cold ? 1 : 0, report.isTemporarilySlow ? 1 : 0 };
    }
    HttpResponse message = std::move(result.response);
    if (result.outcome != Outcome::Ran) {
        message = HttpResponse(http::status::service_unavailable, 11);
    }
    message.set(ResultField, field.dump());
    message.prepare_payload();
    return message;
}

std::optional<uint64_t> PeerCodec::callNumber(const HttpResponse &message)
{
    const auto call = boundedjson::decode([&message] {
        const Json field = boundedjson::parse(fieldValue(message, ResultField), HeaderFieldLimits);
        return field.contains("call") ? boundedjson::unsignedInteger(field["call"], std::numeric_limits<uint64_t>::max()) : 0;
    });
    return call.value_or(0) == 0 ? std::nullopt : call;
}

bool PeerCodec::isForwardResult(const HttpResponse &message)
{
    return hasField(message, ResultField);
}

std::optional<ForwardResult> PeerCodec::decode(HttpResponse message)
{
    // The entry daemon treats an attempt with a malformed result as Outcome::Unknown and logs it.
    auto result = boundedjson::decode([&] { return readForwardResult(boundedjson::parse(fieldValue(message, ResultField), HeaderFieldLimits)); });
    if (!result) {
        return std::nullopt;
    }
    message.erase(ResultField);
    removeHopByHopFields(message);
    result->response = std::move(message);
    return result;
}

} // namespace carobjunction
