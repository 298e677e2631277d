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

/** Parses the YAML settings file of a daemon. */
class SettingsParser
{
public:
    /**
     * Parses and validates settings. Never throws on invalid input.
     * @param text  content of the file, at most 64 KiB
     * @param file  name of the file, used in error messages only
     * @return the settings, or the errors found
     */
    static SettingsResult parse(std::string_view text, const std::string &file);

    /** @return descriptions of all keys that a settings file may contain */
    static std::vector<KeyDescription> keys();
};

} // namespace carobjunction
