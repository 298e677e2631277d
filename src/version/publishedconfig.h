#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Row of the store that says which configuration of a service is in force. */
struct PublishedConfig {
    std::string service;
    uint64_t version = 0; /**< Version of the row, which is the version of the configuration. */
    std::string hash; /**< SHA-256 of the content, which is the object objectName(hash). */
    std::string publisher;
    std::string publishId;
    int64_t publishedAtMs = 0; /**< Milliseconds since 1970-01-01 UTC by the publisher's clock. */

    static constexpr std::string_view KeyPrefix = "config/";

    /** @return the key of the row of @p service */
    static std::string keyOf(std::string_view service);

    /** @return the name of the object that holds the content with the SHA-256 @p hash */
    static std::string objectName(std::string_view hash);

    /**
     * @param key  key of the row
     * @param version  version that the store gives for the row
     * @param value  value of the row
     * @return the row, or empty if the key or the value has another form
     */
    static std::optional<PublishedConfig> fromRow(const std::string &key, uint64_t version, const nlohmann::json &value);

    /** @return the value of the row */
    nlohmann::json toValue() const;
};

} // namespace carobjunction
