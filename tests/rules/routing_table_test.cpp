#include "rules/routing_table.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

routing_table tableOf(std::vector<route> routes)
{
    return {.version = 1, .routes = std::move(routes), .services = {{.name = service_name("a")}, {.name = service_name("b")}}};
}

route routeOf(std::string name, std::string hostname, std::string prefix)
{
    return {.name = std::move(name), .hostname = std::move(hostname), .pathPrefix = std::move(prefix), .services = {{service_name("a"), 1}}};
}

} // namespace

TEST_CASE("routes: the longest prefix of the hostname wins, without port, query or letter case of the host", "[routing]")
{
    const route_index index(std::make_shared<const routing_table>(
        tableOf({routeOf("short", "x.example", "/p/"), routeOf("long", "x.example", "/p/q/"), routeOf("other", "y.example", "/p/q/r/")})));
    REQUIRE(index.find("x.example", "/p/q/r/1")->name == "long");
    REQUIRE(index.find("X.Example:8080", "/p/q/1?a=/b/")->name == "long");
    REQUIRE(index.find("x.example", "/p/1")->name == "short");
    REQUIRE(index.find("y.example", "/p/q/r/1")->name == "other");
    REQUIRE(index.find("x.example", "/q/") == nullptr);
    REQUIRE(index.find("x.example", "/p?x=/p/") == nullptr);
    REQUIRE(index.find("z.example", "/p/") == nullptr);
}

// Look-ups know the hostname only.
TEST_CASE("routes: a hostname is restricted to the regions that all of its routes allow", "[routing][home]")
{
    const auto restricted = [](std::string prefix, std::vector<region_name> regions) {
        auto made = routeOf("r", "x", std::move(prefix));
        made.allowedRegions = std::move(regions);
        return made;
    };
    const region_name north("north");
    const region_name south("south");
    const auto regionsOf
        = [](std::vector<route> routes) { return route_index(std::make_shared<const routing_table>(tableOf(std::move(routes)))).regionsOf("X:80"); };
    using regions = std::vector<region_name>;
    REQUIRE(regionsOf({restricted("/a/", {north}), restricted("/b/", {south, north})}) == regions {north});
    REQUIRE(regionsOf({restricted("/a/", {north}), restricted("/b/", {south})}) == regions {north, south});
    REQUIRE(regionsOf({restricted("/a/", {north}), restricted("/b/", {})}).empty());
    REQUIRE(regionsOf({}).empty());
}

TEST_CASE("routes: a table that breaks a rule is invalid as a whole", "[routing]")
{
    REQUIRE(checkRouting(tableOf({routeOf("r", "h", "/")})));
    auto broken = tableOf({routeOf("ok", "h", "/"), routeOf("r", "h", "/p/")});
    auto &changed = broken.routes.back();
    SECTION("unknown service")
    {
        changed.services = {{service_name("none"), 1}};
    }
    SECTION("weights that add up to nothing")
    {
        changed.services = {{service_name("a"), 0}, {service_name("b"), 0}};
    }
    SECTION("a weight below zero")
    {
        changed.services = {{service_name("a"), 2}, {service_name("b"), -1}};
    }
    SECTION("no attempts")
    {
        changed.attempts = 0;
    }
    SECTION("no hostname")
    {
        changed.hostname.clear();
    }
    SECTION("no service")
    {
        changed.services.clear();
    }
    SECTION("no version")
    {
        broken.version = 0;
    }
    REQUIRE(checkRouting(broken).error() == errc::routingInvalid);
}
