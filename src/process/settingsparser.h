#pragma once

#include <carobjunction/version/configfault.h>
#include <carobjunction/version/keydescription.h>

#include "process/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Result of parsing a settings file: settings, or at least one fault. */
struct SettingsResult {
    std::optional<Settings> settings; /**< Empty if there are faults. */
    std::vector<ConfigFault> faults; /**< All faults of the file, in the order of their lines. */
};

/** Reads the settings of a daemon from YAML. */
class SettingsParser
{
public:
    /**
     * Never throws on bad input, of whatever kind.
     * @param text  content of the file, at most 64 KiB
     * @param file  name of the file, used in faults only
     */
    static SettingsResult parse(std::string_view text, const std::string &file);

    /** @return every key that a file may contain */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
