#pragma once

#include <string>

namespace carobjunction
{

/** One error in a configuration or settings file. */
struct ConfigError {
    std::string file;
    int line = 1; /**< Counted from 1. */
    int column = 1; /**< Counted from 1. */
    std::string field; /**< Path of the key, such as `routes[2].deadline`; empty if the error concerns the whole file. */
    std::string reason; /**< Description of the error. */

    /** @return `FILE:LINE:COLUMN: field: reason` */
    std::string toString() const;
};

} // namespace carobjunction
