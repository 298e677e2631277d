#pragma once

#include <carobjunction/process/clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carobjunction
{

/** Destination service of a route, with the share of the route's requests that it receives. */
struct RouteDestination {
    std::string service;
    uint32_t weight = 1; /**< Weight relative to the other destinations of the route; at least 1. */
};

/** Route for the requests to one host whose path starts with a prefix. */
struct HostRoute {
    std::string name;
    std::string host;
    std::string prefix; /**< Path prefix, which begins and ends with a slash. */
    bool idempotent = false;
    Duration timeout = std::chrono::seconds(5); /**< Maximum time until the caller receives an answer. */
    Duration aim = std::chrono::seconds(1); /**< Desired maximum time to answer; a later answer counts as late. */
    uint32_t attempts = 1; /**< Maximum number of attempts that may reach a backend server, per request. */
    uint32_t priority = 0; /**< 0 is the highest priority. */
    std::vector<RouteDestination> destinations; /**< Destination services; at least one. */
};

/** Rules for the backend servers of one service. */
struct ServiceRules {
    std::string name;
    std::string healthPath; /**< Request path of the health check. */
    uint32_t maxConnections = 0; /**< Maximum number of connections that one backend server accepts in total; 0 if unspecified. */
};

/** Limits on the requests and connections of a caller. */
struct CallerLimits {
    uint64_t headerBytes = 16U << 10U; /**< Maximum size of a request header. */
    uint64_t bodyBytes = 16U << 20U; /**< Maximum size of a request body. */
    Duration headerTimeout = std::chrono::seconds(3); /**< Maximum time to receive a request header. */
    Duration idleTimeout = std::chrono::seconds(15); /**< Time after which an idle connection is closed. */
};

/** One version of the routes of all services. Immutable, so that requests can share it. */
class RouteTable
{
public:
    /**
     * Creates a route table.
     * @param version  version of the table, which increases with each publication
     * @return the table, or null if a route has no destinations or a prefix that does not begin and end with a slash
     */
    static std::shared_ptr<const RouteTable>
    create(uint64_t version, std::vector<HostRoute> routes, std::vector<ServiceRules> services, const CallerLimits &limits);

    /**
     * Returns the route of a request: the route of the host with the longest matching prefix.
     * @param host  host name, case-insensitive; a port is ignored
     * @param path  request path, with or without a query string
     * @return the route, or null if none matches
     */
    const HostRoute *match(std::string_view host, std::string_view path) const;

    /** @return the rules of a service, or null if the table does not contain it */
    const ServiceRules *service(const std::string &name) const;

    uint64_t version() const
    {
        return m_version;
    }

    const CallerLimits &limits() const
    {
        return m_limits;
    }

    const std::vector<HostRoute> &routes() const
    {
        return m_routes;
    }

private:
    RouteTable() = default;

    using PrefixMap = std::unordered_map<std::string, size_t>;

    uint64_t m_version = 0;
    std::vector<HostRoute> m_routes;
    std::unordered_map<std::string, PrefixMap> m_prefixesByHost;
    std::map<std::string, ServiceRules> m_services;
    CallerLimits m_limits;
};

} // namespace carobjunction
