#include "operatorclient.h"

#include <httplib.h>

namespace carobjunction
{

namespace
{

constexpr time_t ConnectTimeoutSeconds = 3;
// A daemon asks members for their versions one by one, and waits up to 0.5 s for one that does not answer.
constexpr time_t ReadTimeoutSeconds = 60;

/** @return the daemon's own words about a failure, or empty */
std::string errorText(const Json &body)
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
    return interpret(m_client->Get(path, httplib::Params(parameters.begin(), parameters.end()), httplib::Headers()));
}

std::optional<Json> OperatorClient::post(const std::string &path)
{
    return interpret(m_client->Post(path, "{}", "application/json"));
}

std::optional<Json> OperatorClient::remove(const std::string &path)
{
    return interpret(m_client->Delete(path));
}

ExitCode OperatorClient::failure() const
{
    return m_failure;
}

std::optional<Json> OperatorClient::interpret(const httplib::Result &result)
{
    if (!result) {
        printError("daemon at " + m_address + " is unreachable: " + httplib::to_string(result.error()));
        m_failure = ExitCode::Unreachable;
        return std::nullopt;
    }
    Json body = result->body.empty() ? Json::object() : Json::parse(result->body, nullptr, false);
    if (result->status >= 200 && result->status < 300 && body.is_object()) {
        return body;
    }
    const bool isNegative = result->status >= 400 && result->status < 500;
    printError("daemon at " + m_address + " answered " + std::to_string(result->status) + errorText(body));
    m_failure = isNegative ? ExitCode::Negative : ExitCode::Unreachable;
    return std::nullopt;
}

} // namespace carobjunction
