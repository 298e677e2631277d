#include "version/publishedconfig.h"

namespace carobjunction
{

namespace
{

std::string textOf(const nlohmann::json &value, const char *name)
{
    const auto member = value.find(name);
    return member != value.end() && member->is_string() ? member->get<std::string>() : std::string();
}

} // namespace

std::string PublishedConfig::keyOf(std::string_view service)
{
    return std::string(KeyPrefix) + std::string(service);
}

std::string PublishedConfig::objectName(std::string_view hash)
{
    return "config-" + std::string(hash);
}

std::optional<PublishedConfig> PublishedConfig::fromRow(const std::string &key, uint64_t version, const nlohmann::json &value)
{
    if (!key.starts_with(KeyPrefix) || !value.is_object()) {
        return std::nullopt;
    }
    PublishedConfig config;
    config.service = key.substr(KeyPrefix.size());
    config.version = version;
    config.hash = textOf(value, "hash");
    config.publisher = textOf(value, "publisher");
    config.publishId = textOf(value, "publish_id");
    const auto time = value.find("published_at_ms");
    if (time != value.end() && time->is_number_integer()) {
        config.publishedAtMs = time->get<int64_t>();
    }
    if (config.service.empty() || config.hash.empty()) {
        return std::nullopt;
    }
    return config;
}

nlohmann::json PublishedConfig::toValue() const
{
    return nlohmann::json {
        { "version", version }, { "hash", hash }, { "publisher", publisher }, { "publish_id", publishId }, { "published_at_ms", publishedAtMs }
    };
}

} // namespace carobjunction
