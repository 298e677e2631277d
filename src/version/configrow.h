#pragma once

#include <carobjunction/version/configtable.h>

#include "process/storetypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Format of the store row `config/{service}`, which refers to the configuration in force, and name of the object with its content. */
class ConfigRow
{
public:
    static constexpr std::string_view KeyPrefix = "config/";

    /** @return the key of the row for @p service */
    static std::string rowKey(std::string_view service);

    /** @return the name of the object with the content whose SHA-256 is @p hash */
    static std::string objectName(std::string_view hash);

    /** @return the entry without its content and with the version of the row, or empty if the row has a different format */
    static std::optional<ConfigEntry> parse(const StoreRow &row);

    /** @return the row value for @p entry */
    static nlohmann::json toRowValue(const ConfigEntry &entry);
};

} // namespace carobjunction
