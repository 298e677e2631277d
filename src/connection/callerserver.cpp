#include "connection/callerserver.h"

#include <carobjunction/process/lasterror.h>

#include "connection/detachedtask.h"
#include "connection/endpoints.h"
#include "connection/httpheaders.h"
#include "connection/messagefields.h"
#include "connection/sleepfor.h"
#include "process/entryservice.h"
#include "process/eventlog.h"

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
constexpr uint32_t MaxHops = 1000;
constexpr size_t MaxKeyLength = 128;
constexpr size_t MaxNameLength = 128;
constexpr char RetryAfterSeconds[] = "1";
constexpr uint32_t MaxHeaderBytes = 64U << 10U;
constexpr auto IdleTimeout = std::chrono::seconds(60);
constexpr size_t MaxConnections = 10'000;
constexpr auto DrainPollInterval = std::chrono::milliseconds(2);

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

std::nullopt_t failMalformed(const char *name, std::string reason)
{
    return LastError<MalformedField>::fail({ name, std::move(reason) });
}

/** Parses an optional integer field. @return false if the field is present, but occurs more than once, is not an integer or is out of range */
bool readNumber(const HttpRequest &request, const char *name, uint32_t minimum, uint32_t maximum, std::optional<uint32_t> &value)
{
    if (!hasField(request, name)) {
        return true;
    }
    const std::string text = fieldValue(request, name);
    uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isValid = error == std::errc {} && end == text.data() + text.size() && number >= minimum && number <= maximum;
    if (!isValid || request.count(name) > 1) {
        failMalformed(name, "expected one integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return false;
    }
    value = number;
    return true;
}

/** Parses an optional string field. @return false if the field is present, but occurs more than once, is empty, is too long or is not printable */
bool readText(const HttpRequest &request, const char *name, size_t maxLength, std::string &value)
{
    if (!hasField(request, name)) {
        return true;
    }
    value = fieldValue(request, name);
    if (value.empty() || value.size() > maxLength || !isPrintable(value) || request.count(name) > 1) {
        failMalformed(name, "expected one value of 1 to " + std::to_string(maxLength) + " printable characters");
        return false;
    }
    return true;
}

std::string serviceFromHost(const HttpRequest &request)
{
    const std::string host = fieldValue(request, "Host");
    return host.substr(0, host.find_first_of(".:"));
}

unsigned httpStatusFor(Outcome outcome, Reason reason)
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
    case Reason::AnswerMalformed:
        return 502;
    default:
        return outcome == Outcome::NotRun ? 503 : 502;
    }
}

HttpResponse errorResponse(unsigned status, Outcome outcome, Reason reason, const std::string &detail)
{
    HttpResponse response(static_cast<http::status>(status), 11);
    response.set(headernames::OutcomeField, std::string(nameOf(outcome)));
    response.set(headernames::ReasonField, std::string(nameOf(reason)));
    if (status == 503) {
        response.set(http::field::retry_after, RetryAfterSeconds);
    }
    nlohmann::json body = { { "outcome", nameOf(outcome) }, { "reason", nameOf(reason) } };
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

/** Converts the result of a call that the backend server responded to, with the status, fields and body of its response. */
HttpResponse toResponse(CallResult &result)
{
    HttpResponse response(static_cast<http::status>(result.status), 11);
    for (const auto &[name, value] : result.headers) {
        response.insert(name, value);
    }
    response.set(headernames::OutcomeField, std::string(nameOf(result.outcome)));
    response.set(headernames::ReasonField, std::string(nameOf(result.reason)));
    response.body() = std::move(result.body);
    return response;
}

/** Completes an error response of the listener to a request that was not dispatched to the handler and therefore did not run. */
void completeRejection(HttpResponse &response)
{
    const Reason reason = response.result() == http::status::payload_too_large ? Reason::BodyTooLarge : Reason::Malformed;
    response = errorResponse(response.result_int(), Outcome::NotRun, reason, {});
}

HeaderList endToEndHeaders(const HttpRequest &request)
{
    HeaderList headers;
    for (const auto &field : request) {
        const std::string name(field.name_string().data(), field.name_string().size());
        if (!isHopByHopHeader(name)) {
            headers.emplace_back(name, std::string(field.value().data(), field.value().size()));
        }
    }
    return headers;
}

} // namespace

std::optional<CallerFields> parseCallerFields(const HttpRequest &request)
{
    CallerFields fields;
    std::optional<uint32_t> deadlineMs;
    std::optional<uint32_t> hops;
    std::optional<uint32_t> retriesLeft;
    const bool isValid = readNumber(request, headernames::DeadlineMs, 1, MaxDeadlineMs, deadlineMs) && readNumber(request, headernames::Hops, 0, MaxHops, hops)
        && readNumber(request, headernames::RetriesLeft, 0, MaxRetriesLeft, retriesLeft)
        && readText(request, headernames::IdempotencyKey, MaxKeyLength, fields.key) && readText(request, headernames::Caller, MaxNameLength, fields.caller)
        && readText(request, headernames::Service, MaxNameLength, fields.service);
    if (!isValid) {
        return std::nullopt;
    }
    if (fields.service.empty()) {
        fields.service = serviceFromHost(request);
    }
    if (deadlineMs) {
        fields.deadline = std::chrono::milliseconds(*deadlineMs);
    }
    fields.hops = hops.value_or(0);
    fields.retriesLeft = retriesLeft.value_or(DefaultRetriesLeft);
    return fields;
}

CallerServer::CallerServer(EntryService &entryService, std::string requestIdPrefix, uint32_t threads, uint64_t maxBodyBytes)
    : m_entryService(entryService), m_requestIdPrefix(std::move(requestIdPrefix)), m_maxBodyBytes(maxBodyBytes), m_workers(threads)
{
}

CallerServer::~CallerServer()
{
    stop();
}

int CallerServer::start(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return 0;
    }
    ListenerLimits limits;
    limits.headerBytes = MaxHeaderBytes;
    limits.bodyBytes = m_maxBodyBytes;
    limits.idleTimeout = IdleTimeout;
    limits.connections = MaxConnections;
    ErrorCode error;
    m_listener = HttpListener::open(
        m_loop,
        *endpoint,
        ClientRequestHandler([this](HttpRequest message, const Tcp::endpoint &client, const CancellationPtr &) { return handle(std::move(message), client); }),
        [limits] { return limits; },
        error);
    if (!m_listener) {
        return 0;
    }
    m_listener->setRejectionCallback(&completeRejection);
    m_thread = std::thread([this] { m_loop.run(); });
    return m_listener->address().port();
}

void CallerServer::beginDrain()
{
    asio::post(m_loop, [this] { m_listener->disableKeepAlive(); });
}

void CallerServer::stop()
{
    if (m_thread.joinable()) {
        spawnSupervised(m_loop, "stop-when-answered", [this] { return stopAfterPendingRequests(); });
        m_thread.join();
    }
}

Task<void> CallerServer::stopAfterPendingRequests()
{
    m_listener->disableKeepAlive();
    m_listener->close();
    do {
        co_await sleepFor(m_loop, DrainPollInterval);
    } while (m_listener->pendingRequests() > 0);
    m_loop.stop();
}

Task<MaybeResponse> CallerServer::handle(HttpRequest message, Tcp::endpoint client)
{
    const auto done = std::make_shared<asio::steady_timer>(m_loop, TimePoint::max());
    const auto response = std::make_shared<HttpResponse>();
    const auto request = std::make_shared<HttpRequest>(std::move(message));
    m_workers.run([this, done, response, request, clientAddress = client.address().to_string()] {
        *response = processRequest(std::move(*request), clientAddress);
        asio::post(m_loop, [done] { done->cancel(); });
    });
    ErrorCode ignored; // the timer is cancelled when the response is complete
    co_await done->async_wait(redirectError(ignored));
    co_return std::move(*response);
}

HttpResponse CallerServer::processRequest(HttpRequest message, const std::string &clientAddress)
{
    const std::string requestId = m_requestIdPrefix + std::to_string(++m_lastRequestNumber);
    std::optional<CallerFields> fields = parseCallerFields(message);
    if (!fields) {
        const MalformedField &malformedField = LastError<MalformedField>::get();
        EventLog::write(
            LogLevel::Info, Event::RequestRejected, { { "request", requestId }, { "field", malformedField.name }, { "reason", malformedField.reason } });
        HttpResponse response = errorResponse(400, Outcome::NotRun, Reason::Malformed, malformedField.name + ": " + malformedField.reason);
        response.set(headernames::RequestId, requestId);
        return response;
    }
    removeHopByHopFields(message);
    CallRequest call;
    call.requestId = requestId;
    call.service = std::move(fields->service);
    call.method = std::string(message.method_string().data(), message.method_string().size());
    call.path = std::string(message.target().data(), message.target().size());
    call.headers = endToEndHeaders(message);
    call.body = std::move(message.body());
    call.caller = fields->caller.empty() ? clientAddress : fields->caller;
    call.key = std::move(fields->key);
    call.hops = fields->hops;
    call.retriesLeft = fields->retriesLeft;
    CallResult result = m_entryService.call(std::move(call), fields->deadline);
    HttpResponse response
        = result.status != 0 ? toResponse(result) : errorResponse(httpStatusFor(result.outcome, result.reason), result.outcome, result.reason, {});
    response.set(headernames::RequestId, requestId);
    response.set(headernames::ConfigVersion, std::to_string(result.configVersion));
    if (!result.target.empty()) {
        response.set(headernames::Target, result.target);
    }
    return response;
}

} // namespace carobjunction
