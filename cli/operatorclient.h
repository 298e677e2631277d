#pragma once

#include "command.h"

#include "connection/blockinghttpclient.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace carobjunction
{

/** HTTP client of a daemon's operator port. Prints failures to standard error. */
class OperatorClient
{
public:
    using Parameters = std::multimap<std::string, std::string>;

    /** @param address  operator port as `ip:port` */
    explicit OperatorClient(const std::string &address);

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
    std::optional<Json> send(http::verb method, const std::string &target, const std::string &body = {});
    /** Returns the JSON object of a successful response; otherwise prints the error and sets the exit code. */
    std::optional<Json> parseResponse(const ExchangeResult &exchange);

    std::string m_address;
    std::unique_ptr<BlockingHttpClient> m_client; /**< Null if the address is not valid. */
    ExitCode m_failureExitCode = ExitCode::Ok;
};

} // namespace carobjunction
