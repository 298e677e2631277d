#pragma once

#include <carobjunction/version/configfault.h>

#include <optional>
#include <vector>

namespace carobjunction
{

/** Result of parsing a settings file: settings, or at least one fault. */
template<typename Settings>
struct ParsedSettings {
    std::optional<Settings> settings; /**< Empty if there are faults. */
    std::vector<ConfigFault> faults; /**< All faults of the file, in the order of their lines. */
};

} // namespace carobjunction
