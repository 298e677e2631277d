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

/** Client of a daemon's operator port. Failures are printed to standard error. */
class OperatorClient
{
public:
    using Parameters = std::multimap<std::string, std::string>;

    /** @param address  `ip:port` */
    explicit OperatorClient(const std::string &address);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /** @return the answer, or empty after setting failure() */
    std::optional<Json> get(const std::string &path, const Parameters &parameters = {});
    std::optional<Json> post(const std::string &path);
    std::optional<Json> remove(const std::string &path);

    /** @return the exit code for the last failure */
    ExitCode failure() const;

private:
    std::optional<Json> interpret(const httplib::Result &result);

    std::string m_address;
    std::unique_ptr<httplib::Client> m_client;
    ExitCode m_failure = ExitCode::Ok;
};

} // namespace carobjunction
