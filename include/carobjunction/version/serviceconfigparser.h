#pragma once

#include <carobjunction/version/configfault.h>
#include <carobjunction/version/keydescription.h>
#include <carobjunction/version/serviceconfig.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Result of parsing a service configuration: a configuration, or at least one fault. */
struct ServiceConfigResult {
    std::shared_ptr<const ServiceConfig> config; /**< Null if there are faults. */
    std::vector<ConfigFault> faults; /**< All faults of the file, in the order of their lines. */
};

/** Reads service configurations from YAML. */
class ServiceConfigParser
{
public:
    /**
     * Never throws on bad input, of whatever kind.
     * @param text  content of the file, at most 64 KiB
     * @param file  name of the file, used in faults only
     * @param version  version under which the content was published, or 0
     */
    static ServiceConfigResult parse(std::string_view text, const std::string &file, uint64_t version = 0);

    /** @return every key that a file may contain */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
