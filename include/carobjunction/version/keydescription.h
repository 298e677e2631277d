#pragma once

#include <string>

namespace carobjunction
{

/** Description of one key of a configuration or settings file, as listed in docs/configuration.md. */
struct KeyDescription {
    std::string path; /**< Path of the key, such as `targets.slots` or `routes[].deadline`. */
    std::string type; /**< Type of the value, such as `duration`. */
    std::string unit; /**< Unit of the value; empty if it has none. */
    std::string defaultValue; /**< Default value; `required` if the key has none. */
    std::string range; /**< Allowed values. */
};

} // namespace carobjunction
