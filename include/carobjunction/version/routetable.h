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

/** One service that a route sends requests to, with its share of them. */
struct RoutePart {
    std::string service;
    uint32_t weight = 1; /**< Share relative to the other parts of the route; at least 1. */
};

/** Rule for the requests of one host whose path starts with a prefix. */
struct HostRoute {
    std::string name;
    std::string host;
    std::string prefix; /**< Begins and ends with a slash. */
    bool idempotent = false;
    Duration timeout = std::chrono::seconds(5); /**< Longest time for which a caller is kept waiting. */
    Duration aim = std::chrono::seconds(1); /**< Time within which an answer is in good time. */
    uint32_t attempts = 1; /**< Targets that one request may be sent to. */
    uint32_t priority = 0; /**< 0 is the most urgent. */
    std::vector<RoutePart> parts; /**< At least one. */
};

/** What is known about the backend servers of one service. */
struct ServiceRules {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; /**< Connections that one backend server accepts from all callers; 0: not stated. */
};

/** Bounds on what a caller may send. */
struct CallerLimits {
    uint64_t headerBytes = 16U << 10U;
    uint64_t bodyBytes = 16U << 20U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the routes of all services. Immutable once built; requests share it. */
class RouteTable
{
public:
    /**
     * @param version  grows with each published table
     * @return the table, or null if a route has no part or its prefix lacks a slash at either end
     */
    static std::shared_ptr<const RouteTable>
    create(uint64_t version, std::vector<HostRoute> routes, std::vector<ServiceRules> services, const CallerLimits &limits);

    /**
     * @param host  host name, without port, in any case
     * @param path  path with or without a query string
     * @return the route of the host with the longest matching prefix, or null
     */
    const HostRoute *match(std::string_view host, std::string_view path) const;

    /** @return the rules of a service, or null if the table does not name it */
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
