#include <carobjunction/version/routetable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;

namespace
{

HostRoute makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    HostRoute result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.destinations = { { "ordering", 1 } };
    return result;
}

std::shared_ptr<const RouteTable> makeTable(std::vector<HostRoute> routes)
{
    return RouteTable::create(1, std::move(routes), {}, {});
}

std::string matchedRouteName(const RouteTable &table, const std::string &host, const std::string &path)
{
    const HostRoute *found = table.match(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("RouteTable.nestedPrefixes.longestWins")
{
    // Guards against routing requests of a more specific prefix to the service of the shorter prefix.
    const auto routes
        = makeTable({ makeRoute("wide", "a.example", "/x/"), makeRoute("narrow", "a.example", "/x/y/"), makeRoute("other", "b.example", "/x/y/z/") });
    CHECK(matchedRouteName(*routes, "a.example", "/x/1") == "wide");
    CHECK(matchedRouteName(*routes, "a.example", "/x/y/1?q=/x/") == "narrow");
    CHECK(matchedRouteName(*routes, "a.example", "/x/y/z/1") == "narrow");
    CHECK(matchedRouteName(*routes, "A.Example:8080", "/x/y/") == "narrow");
}

TEST_CASE("RouteTable.noPrefixOfThePath.matchesNothing")
{
    // Guards against matching a path or host that only resembles that of a route.
    const auto routes = makeTable({ makeRoute("only", "a.example", "/x/") });
    CHECK(matchedRouteName(*routes, "a.example", "/x").empty());
    CHECK(matchedRouteName(*routes, "a.example", "/xy/").empty());
    CHECK(matchedRouteName(*routes, "c.example", "/x/").empty());
    CHECK(matchedRouteName(*routes, "a.example", "").empty());
}

TEST_CASE("RouteTable.unusableRoute.isNotBuilt")
{
    // Guards against a route without a destination, and a prefix that does not begin and end with a slash.
    HostRoute noDestination = makeRoute("r", "a.example", "/x/");
    noDestination.destinations.clear();
    CHECK(makeTable({ noDestination }) == nullptr);
    CHECK(makeTable({ makeRoute("r", "a.example", "/x") }) == nullptr);
    CHECK(makeTable({ makeRoute("r", "a.example", "x/") }) == nullptr);
}

TEST_CASE("RouteTable.randomPaths.agreeWithALinearSearch")
{
    // Guards against lookups that differ from a linear search for the longest prefix.
    CHECK(rc::check([] {
        const auto segment = rc::gen::elementOf(std::string("abc"));
        const auto path = rc::gen::map(rc::gen::container<std::string>(segment), [](std::string text) {
            std::string slashed = "/";
            for (const char c : text) {
                slashed += c;
                slashed += '/';
            }
            return slashed;
        });
        std::vector<HostRoute> routes;
        for (const std::string &prefix : *rc::gen::container<std::vector<std::string>>(path)) {
            routes.push_back(makeRoute(prefix, "a.example", prefix));
        }
        const std::string requestPath = *path + "leaf";
        std::string longest;
        for (const HostRoute &candidate : routes) {
            if (requestPath.starts_with(candidate.prefix) && candidate.prefix.size() > longest.size()) {
                longest = candidate.prefix;
            }
        }
        RC_ASSERT(matchedRouteName(*makeTable(routes), "a.example", requestPath) == longest);
    }));
}
