#include "operatorclient.h"

#include <httplib.h>

namespace carobjunction
{

namespace
{

constexpr time_t ConnectTimeoutSeconds = 3;
// A daemon queries the versions of its members one after the other, with a timeout of 0.5 s per member.
constexpr time_t ReadTimeoutSeconds = 60;

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

OperatorClient::OperatorClient(const std::string &address) : m_address(address), m_client(std::make_unique<httplib::Client>("http://" + address))
{
    m_client->set_connection_timeout(ConnectTimeoutSeconds);
    m_client->set_read_timeout(ReadTimeoutSeconds);
}

OperatorClient::~OperatorClient() = default;

std::optional<Json> OperatorClient::get(const std::string &path, const Parameters &parameters)
{
    return parseResponse(m_client->Get(path, httplib::Params(parameters.begin(), parameters.end()), httplib::Headers()));
}

std::optional<Json> OperatorClient::post(const std::string &path)
{
    return parseResponse(m_client->Post(path, "{}", "application/json"));
}

std::optional<Json> OperatorClient::remove(const std::string &path)
{
    return parseResponse(m_client->Delete(path));
}

ExitCode OperatorClient::failureExitCode() const
{
    return m_failureExitCode;
}

std::optional<Json> OperatorClient::parseResponse(const httplib::Result &result)
{
    if (!result) {
        printError("daemon at " + m_address + " is unreachable: " + httplib::to_string(result.error()));
        m_failureExitCode = ExitCode::Unreachable;
        return std::nullopt;
    }
    Json body = result->body.empty() ? Json::object() : Json::parse(result->body, nullptr, false);
    if (result->status >= 200 && result->status < 300 && body.is_object()) {
        return body;
    }
    const bool isClientError = result->status >= 400 && result->status < 500;
    printError("daemon at " + m_address + " returned HTTP status " + std::to_string(result->status) + errorDetail(body));
    m_failureExitCode = isClientError ? ExitCode::NegativeResult : ExitCode::Unreachable;
    return std::nullopt;
}

} // namespace carobjunction
