#pragma once

#include <carobjunction/version/keydescription.h>

#include "process/settings.h"
#include "version/parsedsettings.h"

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Result of SettingsParser. */
using SettingsResult = ParsedSettings<Settings>;

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
