#include <geraniumpulley/core/fleet/routing_table.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

namespace {

Route makeRoute(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.host = host;
    route.pathPrefix = prefix;
    route.shares = {{{service}, 1}};
    return route;
}

RoutingTable makeTable()
{
    RoutingTable table;
    table.routes = {makeRoute("a.example", "/x/", "short"), makeRoute("a.example", "/x/y/", "long"),
                    makeRoute("b.example", "/", "all")};
    return table;
}

} // namespace

TEST_CASE("the longest matching prefix of the host selects the route")
{
    const RoutingTable table = makeTable();
    CHECK(findRoute(table, "a.example", "/x/1")->shares[0].service.value == "short");
    CHECK(findRoute(table, "a.example", "/x/y/1")->shares[0].service.value == "long");
    CHECK(findRoute(table, "b.example", "/x/y/1")->shares[0].service.value == "all");
}

TEST_CASE("a host or path without a match has no route")
{
    const RoutingTable table = makeTable();
    CHECK(findRoute(table, "a.example", "/x") == nullptr);
    CHECK(findRoute(table, "a.example", "/other/") == nullptr);
    CHECK(findRoute(table, "c.example", "/x/1") == nullptr);
    CHECK(findRoute(table, "", "") == nullptr);
}

TEST_CASE("the case and port of the host and the query are ignored")
{
    const RoutingTable table = makeTable();
    CHECK(findRoute(table, "A.Example:80", "/x/1") != nullptr);
    CHECK(findRoute(table, "a.example", "/x/1?u=/x/y/") == &table.routes[0]);
}

TEST_CASE("requests are split in proportion to the weights, and weight 0 gets none")
{
    Route route;
    route.shares = {{{"a"}, 90}, {{"b"}, 10}, {{"c"}, 0}};
    std::size_t countA = 0;
    std::size_t countB = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        const ServiceName *service = pickService(route, draw);
        REQUIRE(service != nullptr);
        countA += service->value == "a" ? 1 : 0;
        countB += service->value == "b" ? 1 : 0;
    }
    CHECK(countA == 900);
    CHECK(countB == 100);
}

TEST_CASE("a route without any weight has no service")
{
    Route route;
    CHECK(pickService(route, 7) == nullptr);
    route.shares = {{{"a"}, 0}};
    CHECK(pickService(route, 7) == nullptr);
}
