#include "connection/protocolconversion.h"

#include "connection/responseparser.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

template<typename Fields>
void setHeaders(const HeaderList &headers, Fields &fields)
{
    for (const auto &[name, value] : headers) {
        v1::Header &field = *fields.Add();
        field.set_name(name);
        field.set_value(value);
    }
}

template<typename Fields>
HeaderList getHeaders(const Fields &fields)
{
    HeaderList headers;
    headers.reserve(static_cast<size_t>(fields.size()));
    for (const v1::Header &field : fields) {
        headers.emplace_back(field.name(), field.value());
    }
    return headers;
}

v1::Outcome toMessage(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return v1::OUTCOME_RAN;
    case Outcome::NotRun:
        return v1::OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        return v1::OUTCOME_UNKNOWN;
    }
    return v1::OUTCOME_UNKNOWN;
}

Outcome fromMessage(v1::Outcome outcome)
{
    switch (outcome) {
    case v1::OUTCOME_RAN:
        return Outcome::Ran;
    case v1::OUTCOME_NOT_RUN:
        return Outcome::NotRun;
    default:
        return Outcome::Unknown;
    }
}

/** @return whether the result of a peer has an answer that no caller may get, such as one that a daemon of an older version has accepted */
bool hasMalformedAnswer(const CallResult &result)
{
    if (result.status == 0) {
        return result.outcome == Outcome::Ran && result.reason == Reason::None;
    }
    return !isDefinedStatus(static_cast<unsigned>(result.status))
        || !std::all_of(result.headers.begin(), result.headers.end(), [](const auto &header) { return isValidField(header.first, header.second); });
}

CallResult malformedAnswerResult()
{
    CallResult result;
    result.outcome = Outcome::Unknown;
    result.reason = Reason::AnswerMalformed;
    return result;
}

Priority priorityOrLow(uint32_t value)
{
    return value <= static_cast<uint32_t>(Priority::Low) ? static_cast<Priority>(value) : Priority::Low;
}

} // namespace

v1::LoadReport toMessage(const LoadReport &report)
{
    v1::LoadReport message;
    message.set_incarnation(report.incarnation);
    message.set_sequence(report.sequence);
    message.set_limit(report.limit);
    message.set_in_flight(report.inFlight);
    message.set_queued(report.queued);
    message.set_service_time_us(static_cast<uint32_t>(report.serviceTime.count()));
    message.set_predicted_wait_us(static_cast<uint32_t>(report.predictedWait.count()));
    message.set_leaving(report.leaving);
    message.set_cold(report.cold);
    return message;
}

LoadReport fromMessage(const v1::LoadReport &message)
{
    LoadReport report;
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.limit = message.limit();
    report.inFlight = message.in_flight();
    report.queued = message.queued();
    report.serviceTime = std::chrono::microseconds(message.service_time_us());
    report.predictedWait = std::chrono::microseconds(message.predicted_wait_us());
    report.leaving = message.leaving();
    report.cold = message.cold();
    return report;
}

v1::DispatchResponse toMessage(const std::string &requestId, const CallResult &result)
{
    v1::DispatchResponse message;
    message.set_request_id(requestId);
    message.set_outcome(toMessage(result.outcome));
    message.set_refusal(static_cast<uint32_t>(result.reason));
    message.set_status(static_cast<uint32_t>(result.status));
    setHeaders(result.headers, *message.mutable_headers());
    message.set_body(result.body);
    if (result.load) {
        *message.mutable_load() = toMessage(*result.load);
    }
    message.set_service_time_us(static_cast<uint64_t>(result.serviceTime.count()));
    return message;
}

CallResult fromMessage(v1::DispatchResponse &&message)
{
    CallResult result;
    result.outcome = fromMessage(message.outcome());
    result.reason = static_cast<Reason>(message.refusal());
    if (nameOf(result.reason).empty()) {
        result.reason = Reason::None;
    }
    result.status = static_cast<int>(message.status());
    result.headers = getHeaders(message.headers());
    result.body = std::move(*message.mutable_body());
    if (hasMalformedAnswer(result)) {
        result = malformedAnswerResult();
    }
    if (message.has_load()) {
        result.load = fromMessage(message.load());
    }
    result.serviceTime = std::chrono::microseconds(message.service_time_us());
    return result;
}

v1::DispatchRequest toMessage(const CallRequest &request, Duration remaining)
{
    v1::DispatchRequest message;
    message.set_request_id(request.requestId);
    message.set_service(request.service);
    message.set_method(request.method);
    message.set_path(request.path);
    setHeaders(request.headers, *message.mutable_headers());
    message.set_body(request.body);
    message.set_remaining_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(remaining).count()));
    message.set_idempotent(request.idempotent);
    message.set_priority(static_cast<uint32_t>(request.priority));
    message.set_caller(request.caller);
    message.set_key(request.key);
    message.set_claim_id(request.claimId);
    message.set_fingerprint(request.fingerprint);
    message.set_suspect(request.suspect);
    message.set_hops(request.hops);
    message.set_retries_left(request.retriesLeft);
    message.set_config_version(request.configVersion);
    return message;
}

CallRequest fromMessage(const v1::DispatchRequest &message, TimePoint now)
{
    // A longer remaining time comes from a faulty peer and could overflow the clock.
    constexpr uint64_t MaxRemainingUs = 3'600'000'000;
    CallRequest request;
    request.requestId = message.request_id();
    request.service = message.service();
    request.method = message.method();
    request.path = message.path();
    request.headers = getHeaders(message.headers());
    request.body = message.body();
    request.deadline = Deadline::after(now, std::chrono::microseconds(std::min(message.remaining_us(), MaxRemainingUs)));
    request.idempotent = message.idempotent();
    request.priority = priorityOrLow(message.priority());
    request.caller = message.caller();
    request.key = message.key();
    request.claimId = message.claim_id();
    request.fingerprint = message.fingerprint();
    request.suspect = message.suspect();
    request.hops = message.hops();
    request.retriesLeft = message.retries_left();
    request.configVersion = message.config_version();
    return request;
}

} // namespace carobjunction
