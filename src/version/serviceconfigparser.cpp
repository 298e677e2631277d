#include <carobjunction/version/serviceconfigparser.h>

#include <carobjunction/version/configtable.h>

#include "version/yamlreader.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Each request is matched against the routes in order, so the number of routes bounds the cost of a request.
constexpr size_t MaxRoutes = 256;
constexpr size_t MaxPathLength = 512;
// Paths under this prefix are reserved for the protocol between the daemon and the backend server.
constexpr std::string_view ReservedPath = "/_carob";
// The Carob-Deadline-Ms header has the same limit.
constexpr Duration MaxDeadline = minutes(10);

bool isMethod(std::string_view text)
{
    return text == "*"
        || (!text.empty() && text.size() <= 16 && std::all_of(text.begin(), text.end(), [](char character) { return character >= 'A' && character <= 'Z'; }));
}

bool isPath(std::string_view text)
{
    return text.starts_with('/') && text.size() <= MaxPathLength
        && std::all_of(text.begin(), text.end(), [](char character) { return character > 0x20 && character < 0x7f && character != '?' && character != '#'; });
}

bool isPathUnder(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

KeyRule<RouteRule> idempotencyKeyRule()
{
    return { { "key", "word", "", "optional", "required, optional" }, [](YamlReader &reader, const YamlNode &node, const std::string &field, RouteRule &route) {
                const std::string *text = reader.readText(node, field);
                if (text != nullptr && *text != "required" && *text != "optional") {
                    reader.addError(node, field, "must be one of required, optional, not '" + ValueText::toPrintable(*text) + "'");
                } else if (text != nullptr) {
                    route.keyRequired = *text == "required";
                }
            } };
}

const std::vector<KeyRule<RouteRule>> &routeRules()
{
    static const std::vector<KeyRule<RouteRule>> rules {
        textKey("method", &RouteRule::method, "an HTTP method in capitals, or '*' in quotes for all", &isMethod).required(),
        textKey("path", &RouteRule::pathPrefix, "a path of at most 512 characters that starts with / and has no ?, # or spaces", &isPath).required(),
        booleanKey("idempotent", &RouteRule::idempotent).required(),
        durationKey("deadline", &RouteRule::deadline, milliseconds(1), MaxDeadline),
        choiceKey("priority", &RouteRule::priority),
        integerKey("retries", &RouteRule::maxRetries, "attempts", 0, 8),
        booleanKey("hedge", &RouteRule::hedge),
        idempotencyKeyRule(),
    };
    return rules;
}

const std::vector<KeyRule<TargetRules>> &targetRules()
{
    static const std::vector<KeyRule<TargetRules>> rules {
        integerKey("slots", &TargetRules::slots, "requests", 1, 1024),
        integerKey("queue", &TargetRules::queue, "requests", 0, 4096),
        durationKey("cold-ramp", &TargetRules::coldRamp, Duration::zero(), minutes(10)),
        durationKey("drain-limit", &TargetRules::drainLimit, milliseconds(1), MaxDeadline),
    };
    return rules;
}

const std::vector<KeyRule<RoutingRules>> &routingRules()
{
    static const std::vector<KeyRule<RoutingRules>> rules {
        choiceKey("policy", &RoutingRules::policy),
        integerKey("choices", &RoutingRules::choices, "targets", 1, 16),
        durationKey("stale-after", &RoutingRules::staleAfter, milliseconds(1), minutes(1)),
        durationKey("region-cost", &RoutingRules::regionCost, Duration::zero(), seconds(10)),
        realKey("max-ejected-share", &RoutingRules::maxEjectedShare, "share of the targets", 0, 1),
        integerKey("max-reroutes", &RoutingRules::maxReroutes, "targets", 0, 16),
    };
    return rules;
}

const std::vector<KeyRule<RetryRules>> &retryRules()
{
    static const std::vector<KeyRule<RetryRules>> rules {
        realKey("budget-share", &RetryRules::budgetShare, "share of fresh requests", 0, 1),
        realKey("hedge-quantile", &RetryRules::hedgeQuantile, "quantile of latency", 0.5, 0.999),
    };
    return rules;
}

const std::vector<KeyRule<ProbeBudgetRules>> &measuringRules()
{
    static const std::vector<KeyRule<ProbeBudgetRules>> rules {
        realKey("probes-per-second", &ProbeBudgetRules::probesPerSecond, "probes/s per daemon", 0, 1000),
        realKey("cross-region-bytes-per-second", &ProbeBudgetRules::crossRegionBytesPerSecond, "bytes/s per daemon", 0, 5000),
    };
    return rules;
}

void readRoutes(YamlReader &reader, const YamlNode &node, const std::string &field, ServiceConfig &config)
{
    if (node.kind != YamlNode::Kind::Sequence || node.children.empty()) {
        reader.addError(node, field, "must be a list of at least one route");
        return;
    }
    if (node.children.size() > MaxRoutes) {
        reader.addError(node, field, "has more than " + std::to_string(MaxRoutes) + " routes");
        return;
    }
    for (size_t i = 0; i < node.children.size(); ++i) {
        RouteRule route;
        readMapping(reader, node.children[i], field + "[" + std::to_string(i) + "]", routeRules(), route);
        config.routes.push_back(std::move(route));
    }
}

KeyRule<ServiceConfig> routesKey()
{
    return { { "routes", "list of mappings", "", "required", "1 to 256 routes" }, &readRoutes, withPathPrefix("routes[].", describe(routeRules())) };
}

const std::vector<KeyRule<ServiceConfig>> &serviceRules()
{
    static const std::vector<KeyRule<ServiceConfig>> rules {
        textKey("service", &ServiceConfig::service, std::string(ValueText::ServiceNameRange), &ValueText::isServiceName).required(),
        sectionKey("targets", &ServiceConfig::targets, targetRules()),
        sectionKey("routing", &ServiceConfig::routing, routingRules()),
        sectionKey("retries", &ServiceConfig::retries, retryRules()),
        sectionKey("measuring", &ServiceConfig::measuring, measuringRules()),
        groupKey<ServiceConfig>("keys", { durationKey("window", &ServiceConfig::keyWindow, minutes(1), hours(168)) }),
        groupKey<ServiceConfig>("limits", { sizeKey("body", &ServiceConfig::maxBodyBytes, 1, 64U << 20U) }),
        routesKey(),
    };
    return rules;
}

/** Checks that the values of each route are consistent with each other and with the values of the service. */
class RouteConsistencyChecker
{
public:
    RouteConsistencyChecker(YamlReader &reader, const ServiceConfig &config, const YamlNode &routes) : m_reader(reader), m_config(config), m_routes(routes)
    {
    }

    void check(size_t index)
    {
        const RouteRule &route = m_config.routes[index];
        const bool hasIdempotentFlag = hasValidBoolean(index, "idempotent");
        if (hasIdempotentFlag && !route.idempotent && route.hedge) {
            addRouteError(index, "hedge", "contradicts idempotent: no; a hedge could run the request twice");
        }
        if (hasIdempotentFlag && !route.idempotent && route.maxRetries > 0) {
            addRouteError(index, "retries", "contradicts idempotent: no; a retry could run the request twice");
        }
        if (route.idempotent && route.keyRequired) {
            addRouteError(index, "key", "contradicts idempotent: yes; keys are for requests that must not run twice");
        }
        if (m_config.retries.budgetShare == 0 && route.idempotent && (route.hedge || route.maxRetries > 0)) {
            addRouteError(index, route.hedge ? "hedge" : "retries", "contradicts retries.budget-share: 0, which allows no retries or hedges");
        }
        if (route.deadline > m_config.targets.drainLimit) {
            // If the drain ends before the deadline, a request in progress could be interrupted.
            addRouteError(index,
                          "deadline",
                          "is " + ValueText::format(route.deadline) + ", longer than targets.drain-limit (" + ValueText::format(m_config.targets.drainLimit)
                              + "), so a leaving target could interrupt the request");
        }
        if (isPathUnder(route.pathPrefix, ReservedPath)) {
            addRouteError(index, "path", "is reserved: paths under /_carob are used by the protocol between the daemon and the backend server");
        }
        checkReachable(index);
    }

private:
    void checkReachable(size_t index)
    {
        const RouteRule &route = m_config.routes[index];
        if (route.method.empty() || route.pathPrefix.empty()) {
            return;
        }
        for (size_t earlierIndex = 0; earlierIndex < index; ++earlierIndex) {
            const RouteRule &earlierRoute = m_config.routes[earlierIndex];
            if (earlierRoute.pathPrefix.empty() || (earlierRoute.method != "*" && earlierRoute.method != route.method)
                || !isPathUnder(route.pathPrefix, earlierRoute.pathPrefix)) {
                continue;
            }
            const std::string line = std::to_string(m_routes.children[earlierIndex].line);
            const bool isDuplicate = earlierRoute.method == route.method && earlierRoute.pathPrefix == route.pathPrefix;
            addRouteError(index,
                          "path",
                          isDuplicate ? "duplicate of the route at line " + line
                                      : "unreachable: the route at line " + line + " matches all of its requests first");
            return;
        }
    }

    bool hasValidBoolean(size_t index, std::string_view key) const
    {
        const YamlNode *node = m_routes.children[index].find(key);
        return node != nullptr && ValueText::parseBoolean(node->scalar).has_value();
    }

    void addRouteError(size_t index, const std::string &key, const std::string &reason)
    {
        const YamlNode &route = m_routes.children[index];
        const YamlNode *node = route.find(key);
        m_reader.addError(node == nullptr ? route : *node, "routes[" + std::to_string(index) + "]." + key, reason);
    }

    YamlReader &m_reader;
    const ServiceConfig &m_config;
    const YamlNode &m_routes;
};

void checkConsistency(YamlReader &reader, const YamlNode &root, const ServiceConfig &config)
{
    const YamlNode *routes = root.find("routes");
    if (routes == nullptr) {
        return;
    }
    RouteConsistencyChecker routeChecker(reader, config, *routes);
    for (size_t i = 0; i < config.routes.size(); ++i) {
        routeChecker.check(i);
    }
}

} // namespace

ServiceConfigResult ServiceConfigParser::parse(std::string_view text, const std::string &file, uint64_t version)
{
    ServiceConfigResult result;
    const auto root = YamlNode::parse(text, file, result.errors);
    if (!root) {
        return result;
    }
    auto config = std::make_shared<ServiceConfig>();
    YamlReader reader(file, result.errors);
    readMapping(reader, *root, "", serviceRules(), *config);
    checkConsistency(reader, *root, *config);
    reader.sortErrors();
    if (result.errors.empty()) {
        config->version = version;
        config->hash = ConfigTable::sha256(text);
        result.config = std::move(config);
    }
    return result;
}

std::vector<KeyDescription> ServiceConfigParser::keys()
{
    return describe(serviceRules());
}

} // namespace carobjunction
