#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace carobjunction::platform
{

/** Route in the format in which the operator of the platform publishes it. */
struct PublishedRoute {
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 2000;
    int aimMs = 800;

    nlohmann::json toJson() const
    {
        return { { "type", "routes" },
                 { "metadata", { { "name", "route" + prefix } } },
                 { "spec",
                   { { "host", "h.example" },
                     { "prefix", prefix },
                     { "kind", kind },
                     { "timeout_ms", timeoutMs },
                     { "aim_ms", aimMs },
                     { "priority", 1 },
                     { "service", service },
                     { "attempts", 2 } } } };
    }
};

/** @return the limits for callers in the format in which the operator of the platform publishes them */
inline nlohmann::json publishedLimits(int idleTimeoutMs)
{
    return { { "type", "limits" },
             { "metadata", nlohmann::json::object() },
             { "spec",
               { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", idleTimeoutMs } } } };
}

/**
 * @param idleTimeoutMs  idle timeout of callers' connections; 0 to publish no limits
 * @return a configuration with these routes and the services "ordering" and "dispatch"
 */
inline std::string publishedConfig(int version, const std::vector<PublishedRoute> &routes, int idleTimeoutMs = 0)
{
    nlohmann::json resources = nlohmann::json::array();
    for (const PublishedRoute &route : routes) {
        resources.push_back(route.toJson());
    }
    if (idleTimeoutMs > 0) {
        resources.push_back(publishedLimits(idleTimeoutMs));
    }
    for (const char *service : { "ordering", "dispatch" }) {
        resources.push_back(
            { { "type", "services" }, { "metadata", { { "name", service } } }, { "spec", { { "health_path", "/healthz" }, { "max_connections", 260 } } } });
    }
    return nlohmann::json { { "version", version }, { "resources", resources } }.dump();
}

} // namespace carobjunction::platform
