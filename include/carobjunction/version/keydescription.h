#pragma once

#include <string>

namespace carobjunction
{

/** One key that a file may contain, as documented in docs/configuration.md. */
struct KeyDescription {
    std::string path; /**< Such as `targets.slots` or `routes[].deadline`. */
    std::string type;
    std::string unit; /**< Empty if the value has none. */
    std::string defaultValue; /**< `required` if the key has no default. */
    std::string range;
};

} // namespace carobjunction
