#pragma once

#include "command.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace httplib
{
class Client;
class Result;
} // namespace httplib

namespace carobjunction
{

/** HTTP client of a daemon's operator port. Prints failures to standard error. */
class OperatorClient
{
public:
    using Parameters = std::multimap<std::string, std::string>;

    /** @param address  operator port as `ip:port` */
    explicit OperatorClient(const std::string &address);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /**
     * Sends a GET request.
     * @param path  path of the operator API
     * @param parameters  query parameters
     * @return the JSON object of the response; empty after a failure, for which failureExitCode() is set
     */
    std::optional<Json> get(const std::string &path, const Parameters &parameters = {});
    /** Sends a POST request with an empty JSON object. @return as for get() */
    std::optional<Json> post(const std::string &path);
    /** Sends a DELETE request. @return as for get() */
    std::optional<Json> remove(const std::string &path);

    /** Returns the exit code for the last failure, ExitCode::Ok if there was none. */
    ExitCode failureExitCode() const;

private:
    /** Returns the JSON object of a successful response; otherwise prints the error and sets the exit code. */
    std::optional<Json> parseResponse(const httplib::Result &result);

    std::string m_address;
    std::unique_ptr<httplib::Client> m_client;
    ExitCode m_failureExitCode = ExitCode::Ok;
};

} // namespace carobjunction
