#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace carobjunction::platform
{

/** A route as the platform's operator publishes it. */
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

/** @return a configuration with these routes and the services "ordering" and "dispatch" */
inline std::string publishedConfig(int version, const std::vector<PublishedRoute> &routes)
{
    nlohmann::json resources = nlohmann::json::array();
    for (const PublishedRoute &route : routes) {
        resources.push_back(route.toJson());
    }
    for (const char *service : { "ordering", "dispatch" }) {
        resources.push_back(
            { { "type", "services" }, { "metadata", { { "name", service } } }, { "spec", { { "health_path", "/healthz" }, { "max_connections", 260 } } } });
    }
    return nlohmann::json { { "version", version }, { "resources", resources } }.dump();
}

} // namespace carobjunction::platform
