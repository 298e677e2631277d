#include "operatorclient.h"

#include <httplib.h>

namespace carobjunction
{

namespace
{

constexpr std::chrono::seconds ConnectTimeout(3);
// A daemon queries the versions of its members one after the other, with a timeout of 0.5 s per member.
constexpr std::chrono::seconds ResponseTimeout(60);

/**
 * Extracts the daemon's error message from a response body.
 * @return the message after a colon and a space, or an empty string if the body has none
 */
std::string errorDetail(const Json &body)
{
    for (const char *name : { "error", "reason" }) {
        if (body.is_object() && body.contains(name) && body[name].is_string()) {
            return ": " + body[name].get<std::string>();
        }
    }
    return {};
}

} // namespace

OperatorClient::OperatorClient(const std::string &address) : m_address(address), m_client(BlockingHttpClient::create(address, {}))
{
}

std::optional<Json> OperatorClient::get(const std::string &path, const Parameters &parameters)
{
    return send(http::verb::get, parameters.empty() ? path : httplib::append_query_params(path, { parameters.begin(), parameters.end() }));
}

std::optional<Json> OperatorClient::post(const std::string &path)
{
    return send(http::verb::post, path, "{}");
}

std::optional<Json> OperatorClient::remove(const std::string &path)
{
    return send(http::verb::delete_, path);
}

std::optional<Json> OperatorClient::send(http::verb method, const std::string &target, const std::string &body)
{
    if (!m_client) {
        printError("daemon address " + m_address + " is not an IP address with a port");
        m_failureExitCode = ExitCode::UsageError;
        return std::nullopt;
    }
    HttpRequest request = m_client->makeRequest(method, target);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    ExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.deadline = SteadyClock().now() + ConnectTimeout + ResponseTimeout;
    return parseResponse(m_client->exchange(std::move(request), std::move(options)));
}

ExitCode OperatorClient::failureExitCode() const
{
    return m_failureExitCode;
}

std::optional<Json> OperatorClient::parseResponse(const ExchangeResult &exchange)
{
    if (exchange.end != ExchangeEnd::Answered) {
        const char *problem = exchange.end == ExchangeEnd::NotSent ? " is unreachable: " : " sent no valid response: ";
        printError("daemon at " + m_address + problem + exchange.detail);
        m_failureExitCode = ExitCode::Unreachable;
        return std::nullopt;
    }
    const HttpResponse &response = exchange.response;
    Json body = response.body().empty() ? Json::object() : Json::parse(response.body(), nullptr, false);
    const http::status_class statusClass = http::to_status_class(response.result());
    if (statusClass == http::status_class::successful && body.is_object()) {
        return body;
    }
    printError("daemon at " + m_address + " returned HTTP status " + std::to_string(response.result_int()) + errorDetail(body));
    m_failureExitCode = statusClass == http::status_class::client_error ? ExitCode::NegativeResult : ExitCode::Unreachable;
    return std::nullopt;
}

} // namespace carobjunction
