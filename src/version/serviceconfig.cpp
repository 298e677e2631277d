#include <carobjunction/version/serviceconfig.h>

namespace carobjunction
{

namespace
{

bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

const RouteRule *ServiceConfig::match(std::string_view method, std::string_view path) const
{
    const std::string_view withoutQuery = path.substr(0, path.find('?'));
    for (const RouteRule &rule : routes) {
        if ((rule.method == "*" || rule.method == method) && matchesPrefix(rule.pathPrefix, withoutQuery)) {
            return &rule;
        }
    }
    return nullptr;
}

} // namespace carobjunction
