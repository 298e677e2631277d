#pragma once

#include <carobjunction/version/configtable.h>

#include "process/storetypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Form of the row `config/{service}`, which names the configuration in force, and of the object with its content. */
class ConfigRow
{
public:
    static constexpr std::string_view KeyPrefix = "config/";

    /** @return the key of the row of @p service */
    static std::string rowKey(std::string_view service);

    /** @return the name of the object that holds the content with the SHA-256 @p hash */
    static std::string objectName(std::string_view hash);

    /** @return the entry without its content, or empty if the row has another form; the version is the row's */
    static std::optional<ConfigEntry> parse(const StoreRow &row);

    /** @return the value of the row of @p entry */
    static nlohmann::json toRowValue(const ConfigEntry &entry);
};

} // namespace carobjunction
