#include <carobjunction/version/routetable.h>

#include <algorithm>
#include <cctype>

namespace carobjunction
{

namespace
{

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool isValid(const HostRoute &route)
{
    return !route.destinations.empty() && !route.prefix.empty() && route.prefix.front() == '/' && route.prefix.back() == '/';
}

} // namespace

std::shared_ptr<const RouteTable>
RouteTable::create(uint64_t version, std::vector<HostRoute> routes, std::vector<ServiceRules> services, const CallerLimits &limits)
{
    if (!std::all_of(routes.begin(), routes.end(), isValid)) {
        return nullptr;
    }
    std::shared_ptr<RouteTable> table(new RouteTable);
    table->m_version = version;
    table->m_limits = limits;
    table->m_routes = std::move(routes);
    for (size_t i = 0; i < table->m_routes.size(); ++i) {
        const HostRoute &route = table->m_routes[i];
        table->m_prefixesByHost[toLower(route.host)].emplace(route.prefix, i);
    }
    for (ServiceRules &rules : services) {
        std::string name = rules.name;
        table->m_services.emplace(std::move(name), std::move(rules));
    }
    return table;
}

const HostRoute *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_prefixesByHost.find(toLower(host.substr(0, host.find(':'))));
    if (prefixes == m_prefixesByHost.end()) {
        return nullptr;
    }
    std::string candidate(path.substr(0, path.find('?')));
    // Every prefix ends with a slash, so only the parts of the path up to a slash can match. The longest one is tried first.
    for (size_t slash = candidate.rfind('/'); slash != std::string::npos; slash = candidate.rfind('/')) {
        candidate.resize(slash + 1);
        const auto found = prefixes->second.find(candidate);
        if (found != prefixes->second.end()) {
            return &m_routes[found->second];
        }
        candidate.resize(slash);
    }
    return nullptr;
}

const ServiceRules *RouteTable::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace carobjunction
