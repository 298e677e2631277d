#pragma once

#include <carobjunction/version/configerror.h>
#include <carobjunction/version/keydescription.h>
#include <carobjunction/version/serviceconfig.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Result of parsing a service configuration: either a configuration or at least one error. */
struct ServiceConfigResult {
    std::shared_ptr<const ServiceConfig> config; /**< Null if the file has errors. */
    std::vector<ConfigError> errors; /**< All errors of the file, sorted by position. */
};

/** Parses service configurations from YAML. */
class ServiceConfigParser
{
public:
    /**
     * Parses a service configuration. Never throws, whatever the input.
     * @param text  content of the file, at most 64 KiB
     * @param file  name of the file for error messages
     * @param version  version under which the content was published; 0 if it is not published
     */
    static ServiceConfigResult parse(std::string_view text, const std::string &file, uint64_t version = 0);

    /** @return the descriptions of all keys of a service configuration */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
