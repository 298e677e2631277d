#include "connection/callerserver.h"

#include <carobjunction/process/lastreason.h>

#include "connection/httpheaders.h"
#include "process/entryservice.h"
#include "process/eventlog.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace carobjunction
{

namespace
{

constexpr uint32_t MaxDeadlineMs = 600'000;
constexpr uint32_t MaxRetriesLeft = 8;
constexpr uint32_t DefaultRetriesLeft = 3;
constexpr uint32_t MaxHopsField = 1000;
constexpr size_t MaxKeyLength = 128;
constexpr size_t MaxCallerLength = 128;
constexpr char RetryAfterSeconds[] = "1";

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

std::nullopt_t malformed(const char *name, std::string reason)
{
    return LastReason<MalformedField>::fail({ name, std::move(reason) });
}

// Reads a number that may be absent; returns false if it is present and not in range.
bool readNumber(const httplib::Request &request, const char *name, uint32_t least, uint32_t most, std::optional<uint32_t> &value)
{
    if (!request.has_header(name)) {
        return true;
    }
    const std::string text = request.get_header_value(name);
    uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isValid = error == std::errc {} && end == text.data() + text.size() && number >= least && number <= most;
    if (!isValid || request.get_header_value_count(name) > 1) {
        malformed(name, "expected one integer from " + std::to_string(least) + " to " + std::to_string(most));
        return false;
    }
    value = number;
    return true;
}

bool readText(const httplib::Request &request, const char *name, size_t longest, std::string &value)
{
    if (!request.has_header(name)) {
        return true;
    }
    value = request.get_header_value(name);
    if (value.empty() || value.size() > longest || !isPrintable(value) || request.get_header_value_count(name) > 1) {
        malformed(name, "expected one value of 1 to " + std::to_string(longest) + " printable characters");
        return false;
    }
    return true;
}

std::string serviceFromHost(const httplib::Request &request)
{
    const std::string host = request.get_header_value("Host");
    return host.substr(0, host.find_first_of(".:"));
}

int statusFor(Outcome outcome, Reason reason)
{
    switch (reason) {
    case Reason::Malformed:
        return 400;
    case Reason::UnknownService:
    case Reason::UnknownRoute:
        return 404;
    case Reason::AlreadyRan:
    case Reason::ClaimUnresolved:
    case Reason::KeyMismatch:
        return 409;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::Condemned:
        return 422;
    case Reason::DeadlineExceeded:
    case Reason::DeadlineTooShort:
        return 504;
    case Reason::TooManyHops:
        return 508;
    case Reason::AnswerLost:
    case Reason::AnswerTooLarge:
        return 502;
    default:
        return outcome == Outcome::NotRun ? 503 : 502;
    }
}

void writeError(httplib::Response &response, int status, Outcome outcome, Reason reason, const std::string &detail)
{
    response.status = status;
    response.set_header(headername::OutcomeField, std::string(nameOf(outcome)));
    response.set_header(headername::ReasonField, std::string(nameOf(reason)));
    if (status == 503) {
        response.set_header("Retry-After", RetryAfterSeconds);
    }
    nlohmann::json body = { { "outcome", nameOf(outcome) }, { "reason", nameOf(reason) } };
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json");
}

// Writes the backend server's answer as it came.
void writeAnswer(const httplib::Request &request, CallResult &result, httplib::Response &response)
{
    response.status = result.status;
    std::string contentType;
    for (auto &[name, value] : result.headers) {
        if (name == headername::ContentType) {
            contentType = value;
        } else {
            response.headers.emplace(name, value);
        }
    }
    response.set_header(headername::OutcomeField, std::string(nameOf(result.outcome)));
    response.set_header(headername::ReasonField, std::string(nameOf(result.reason)));
    // The library applies a Range field to the whole answer by itself.
    if (!request.ranges.empty() && result.status == 200) {
        response.status = 206;
    }
    response.body = std::move(result.body);
    if (!contentType.empty()) {
        response.set_header(headername::ContentType, contentType);
    }
}

// Completes an answer that the library gave before the request reached the handler, so nothing ran.
httplib::Server::HandlerResponse markLibraryError(const httplib::Request &, httplib::Response &response)
{
    if (response.has_header(headername::OutcomeField)) {
        return httplib::Server::HandlerResponse::Unhandled;
    }
    const Reason reason = response.status == 413 ? Reason::BodyTooLarge : Reason::Malformed;
    writeError(response, response.status, Outcome::NotRun, reason, {});
    return httplib::Server::HandlerResponse::Handled;
}

HeaderList headersOf(const httplib::Request &request)
{
    HeaderList headers;
    for (const auto &[name, value] : request.headers) {
        if (!isConnectionHeader(name)) {
            headers.emplace_back(name, value);
        }
    }
    return headers;
}

} // namespace

std::optional<CallerFields> parseCallerFields(const httplib::Request &request)
{
    CallerFields fields;
    std::optional<uint32_t> deadlineMs;
    std::optional<uint32_t> hops;
    std::optional<uint32_t> retriesLeft;
    const bool isValid = readNumber(request, headername::DeadlineMs, 1, MaxDeadlineMs, deadlineMs)
        && readNumber(request, headername::Hops, 0, MaxHopsField, hops) && readNumber(request, headername::RetriesLeft, 0, MaxRetriesLeft, retriesLeft)
        && readText(request, headername::IdempotencyKey, MaxKeyLength, fields.key) && readText(request, headername::Caller, MaxCallerLength, fields.caller)
        && readText(request, headername::Service, MaxCallerLength, fields.service);
    if (!isValid) {
        return std::nullopt;
    }
    if (request.is_multipart_form_data()) {
        return malformed(headername::ContentType, "multipart/form-data is not supported");
    }
    if (fields.service.empty()) {
        fields.service = serviceFromHost(request);
    }
    if (fields.caller.empty()) {
        fields.caller = request.remote_addr;
    }
    if (deadlineMs) {
        fields.deadline = std::chrono::milliseconds(*deadlineMs);
    }
    fields.hops = hops.value_or(0);
    fields.retriesLeft = retriesLeft.value_or(DefaultRetriesLeft);
    return fields;
}

CallerServer::CallerServer(EntryService &entry, std::string requestIdPrefix, uint32_t threads, uint64_t maxBodyBytes)
    : m_entry(entry), m_requestIdPrefix(std::move(requestIdPrefix)), m_port(threads, maxBodyBytes)
{
    httplib::Server &server = m_port.server();
    const auto withoutBody = [this](const httplib::Request &request, httplib::Response &response) {
        handle(request, request.body, response);
    };
    // The body is read here, because the library would take form data apart and limit its size by itself.
    const auto withBody = [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
        std::string body;
        const bool isMultipart = request.is_multipart_form_data();
        if (!isMultipart && !reader([&body](const char *data, size_t length) {
                body.append(data, length);
                return true;
            })) {
            return;
        }
        handle(request, std::move(body), response);
    };
    server.Get(".*", withoutBody).Options(".*", withoutBody);
    server.Post(".*", withBody).Put(".*", withBody).Patch(".*", withBody).Delete(".*", withBody);
    server.set_error_handler(httplib::Server::HandlerWithResponse(markLibraryError));
}

int CallerServer::start(const std::string &address)
{
    return m_port.start(address);
}

void CallerServer::beginDrain()
{
    m_port.beginDrain();
}

void CallerServer::stop()
{
    m_port.stop();
}

void CallerServer::handle(const httplib::Request &request, std::string body, httplib::Response &response)
{
    const std::string requestId = m_requestIdPrefix + std::to_string(++m_lastRequest);
    response.set_header(headername::RequestId, requestId);
    std::optional<CallerFields> fields = parseCallerFields(request);
    if (!fields) {
        const MalformedField &fault = LastReason<MalformedField>::get();
        EventLog::write(LogLevel::Info, Event::RequestRejected, { { "request", requestId }, { "field", fault.name }, { "reason", fault.reason } });
        writeError(response, 400, Outcome::NotRun, Reason::Malformed, fault.name + ": " + fault.reason);
        return;
    }
    CallRequest call;
    call.requestId = requestId;
    call.service = std::move(fields->service);
    call.method = request.method;
    call.path = request.target;
    call.headers = headersOf(request);
    call.body = std::move(body);
    call.caller = std::move(fields->caller);
    call.key = std::move(fields->key);
    call.hops = fields->hops;
    call.retriesLeft = fields->retriesLeft;
    CallResult result = m_entry.call(std::move(call), fields->deadline);
    if (!result.target.empty()) {
        response.set_header(headername::Target, result.target);
    }
    response.set_header(headername::ConfigVersion, std::to_string(result.configVersion));
    if (result.status != 0) {
        writeAnswer(request, result, response);
    } else {
        writeError(response, statusFor(result.outcome, result.reason), result.outcome, result.reason, {});
    }
}

} // namespace carobjunction
