#pragma once

#include <carobjunction/version/configerror.h>

#include <optional>
#include <vector>

namespace carobjunction
{

/** Result of parsing a settings file: either settings or at least one error. */
template<typename Settings>
struct ParsedSettings {
    std::optional<Settings> settings; /**< Empty if the file has errors. */
    std::vector<ConfigError> errors; /**< All errors of the file, sorted by position. */
};

} // namespace carobjunction
