#include <carobjunction/version/routetable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;

namespace
{

HostRoute route(const std::string &name, const std::string &host, const std::string &prefix)
{
    HostRoute result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.destinations = { { "ordering", 1 } };
    return result;
}

std::shared_ptr<const RouteTable> table(std::vector<HostRoute> routes)
{
    return RouteTable::create(1, std::move(routes), {}, {});
}

std::string matched(const RouteTable &table, const std::string &host, const std::string &path)
{
    const HostRoute *found = table.match(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("RouteTable.nestedPrefixes.longestWins")
{
    // Guards against requests of a split-off route going to the service of the wider one.
    const auto routes = table({ route("wide", "a.example", "/x/"), route("narrow", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/") });
    CHECK(matched(*routes, "a.example", "/x/1") == "wide");
    CHECK(matched(*routes, "a.example", "/x/y/1?q=/x/") == "narrow");
    CHECK(matched(*routes, "a.example", "/x/y/z/1") == "narrow");
    CHECK(matched(*routes, "A.Example:8080", "/x/y/") == "narrow");
}

TEST_CASE("RouteTable.noPrefixOfThePath.matchesNothing")
{
    const auto routes = table({ route("only", "a.example", "/x/") });
    CHECK(matched(*routes, "a.example", "/x").empty());
    CHECK(matched(*routes, "a.example", "/xy/").empty());
    CHECK(matched(*routes, "c.example", "/x/").empty());
    CHECK(matched(*routes, "a.example", "").empty());
}

TEST_CASE("RouteTable.unusableRoute.isNotBuilt")
{
    HostRoute noDestination = route("r", "a.example", "/x/");
    noDestination.destinations.clear();
    CHECK(table({ noDestination }) == nullptr);
    CHECK(table({ route("r", "a.example", "/x") }) == nullptr);
    CHECK(table({ route("r", "a.example", "x/") }) == nullptr);
}

TEST_CASE("RouteTable.randomPaths.agreeWithALinearSearch")
{
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
            routes.push_back(route(prefix, "a.example", prefix));
        }
        const std::string wanted = *path + "leaf";
        std::string longest;
        for (const HostRoute &candidate : routes) {
            if (wanted.starts_with(candidate.prefix) && candidate.prefix.size() > longest.size()) {
                longest = candidate.prefix;
            }
        }
        RC_ASSERT(matched(*table(routes), "a.example", wanted) == longest);
    }));
}
