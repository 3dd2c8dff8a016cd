#include "fakes/manual_clock.h"
#include "steering/ownership.h"
#include "steering/poison_registry.h"
#include "steering/retry_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace hornbeampick;
using namespace hornbeampick::testing;

TEST_CASE("retry_budget: when every first attempt fails, attempts stay under 1.1 times the requests", "[steering]")
{
    retry_budget budget;
    const service_name service("lookup");
    constexpr int requests = 2000;
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        budget.onFirstAttempt(service);
        ++attempts;
        for (int retry = 0; retry < 2 && budget.take(service); ++retry) {
            ++attempts;
        }
    }
    CHECK(attempts > requests);
    CHECK(attempts < requests * 11 / 10);
}

TEST_CASE("poison_registry: a request is quarantined after its second death, and runs alone after its first", "[steering]")
{
    manual_clock clock;
    poison_registry registry({.deathsToQuarantine = 2, .quarantine = milliseconds(1000)});
    const digest request = digestOf({"crash"});
    REQUIRE(registry.begin(request, clock.now()));
    REQUIRE(registry.begin(request, clock.now()));
    CHECK(registry.report({.request = request, .instance = instance_name("u1"), .incarnation = 1}, clock.now()));
    // A second report of the same death, from another host, does not count again.
    CHECK(!registry.report({.request = request, .instance = instance_name("u1"), .incarnation = 1}, clock.now()));
    CHECK(!registry.isQuarantined(request, clock.now()));
    REQUIRE(registry.begin(request, clock.now()));
    CHECK(!registry.begin(request, clock.now()));
    registry.end(request);
    CHECK(registry.report({.request = request, .instance = instance_name("u2"), .incarnation = 1}, clock.now()));
    CHECK(registry.isQuarantined(request, clock.now()));
    CHECK(!registry.begin(request, clock.now()));
    clock.advance(milliseconds(1001));
    registry.tick(clock.now());
    CHECK(registry.size() == 0);
}

TEST_CASE("ownerOf: when a host leaves only its upstreams move", "[steering]")
{
    std::vector<host_name> hosts;
    for (int i = 0; i < 8; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
    }
    std::map<std::string, host_name> before;
    for (int i = 0; i < 1000; ++i) {
        before["u" + std::to_string(i)] = *ownerOf("u" + std::to_string(i), hosts);
    }
    const host_name gone = hosts.back();
    hosts.pop_back();
    std::map<std::string, int> counts;
    for (const auto &[upstream, owner] : before) {
        const auto now = *ownerOf(upstream, hosts);
        ++counts[now.string()];
        if (owner != gone) {
            REQUIRE(now == owner);
        }
    }
    CHECK(std::ranges::max_element(counts, {}, [](const auto &item) { return item.second; })->second < 200);
    CHECK(!ownerOf("u", {}));
}
