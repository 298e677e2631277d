#include "version/configrow.h"

namespace carobjunction
{

namespace
{

std::string stringMember(const nlohmann::json &value, const char *name)
{
    const auto found = value.find(name);
    return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::string ConfigRow::rowKey(std::string_view service)
{
    return std::string(KeyPrefix) + std::string(service);
}

std::string ConfigRow::objectName(std::string_view hash)
{
    return "config-" + std::string(hash);
}

std::optional<ConfigEntry> ConfigRow::parse(const StoreRow &row)
{
    if (!row.key.starts_with(KeyPrefix) || !row.value.is_object()) {
        return std::nullopt;
    }
    ConfigEntry entry;
    entry.service = row.key.substr(KeyPrefix.size());
    entry.version = row.version;
    entry.hash = stringMember(row.value, "hash");
    entry.publisher = stringMember(row.value, "publisher");
    entry.publishId = stringMember(row.value, "publish_id");
    const auto time = row.value.find("published_at_ms");
    if (time != row.value.end() && time->is_number_unsigned()) {
        entry.publishedAtMs = time->get<uint64_t>();
    }
    if (entry.service.empty() || entry.hash.empty()) {
        return std::nullopt;
    }
    return entry;
}

nlohmann::json ConfigRow::toRowValue(const ConfigEntry &entry)
{
    return { { "version", entry.version },
             { "hash", entry.hash },
             { "publisher", entry.publisher },
             { "publish_id", entry.publishId },
             { "published_at_ms", entry.publishedAtMs } };
}

} // namespace carobjunction
