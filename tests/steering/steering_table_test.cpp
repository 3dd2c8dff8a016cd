#include "rules/rule_parser.h"
#include "steering/steering_table.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeampick;

namespace
{

constexpr wall_ms start = 1'796'583'600'000; // 2026-12-06T20:00+01:00
constexpr wall_ms minute = 60'000;

std::vector<fleet_member> entryHosts()
{
    std::vector<fleet_member> members;
    const auto add = [&](std::string_view host, std::string_view region, std::string_view domain) {
        members.push_back({.host = host_name(host), .httpAddress = "a:1", .rpcAddress = "a:2", .region = region_name(region), .domain = domain_name(domain)});
    };
    add("antwerpen-a1", "Antwerpen", "antwerpen-a");
    add("antwerpen-b1", "Antwerpen", "antwerpen-b");
    add("gent-a1", "Gent", "gent-a");
    add("gent-b1", "Gent", "gent-b");
    add("luik-a1", "Luik", "luik-a");
    return members;
}

class table_fixture
{
public:
    steering_table make(std::string_view rules, wall_ms now)
    {
        return steering_table({
            .rules = rules.empty() ? nullptr : parseRules(rules, "test").rules,
            .regions = m_fleet.regions(),
            .services = m_services,
            .members = members,
            .loads = {},
            .localRegion = region_name("Gent"),
            .now = now,
            .lookupTtl = milliseconds(1000),
        });
    }

    // Returns the share of 4096 client blocks with home region Gent that go to each region.
    std::map<std::string, double> shares(const steering_table &table)
    {
        constexpr int blocks = 4096;
        std::map<std::string, double> counts;
        for (ipv4 i = 0; i < blocks; ++i) {
            const ipv4 client = (10U << 24U) | (i << 8U) | 7U;
            counts[table.region(table.choose(0, client).destination).string()] += 1.0 / blocks;
        }
        return counts;
    }

    std::vector<fleet_member> members = entryHosts();

private:
    topology m_fleet {{
        {.name = region_name("Antwerpen"), .domains = {domain_name("antwerpen-a"), domain_name("antwerpen-b")}},
        {.name = region_name("Gent"), .domains = {domain_name("gent-a"), domain_name("gent-b")}},
        {.name = region_name("Luik"), .domains = {domain_name("luik-a"), domain_name("luik-b")}},
    }};
    std::vector<service_name> m_services {service_name("weigh-in")};
};

constexpr std::string_view shiftRules
    = "version 1\n"
      "clients 10.0.0.0/8 home Gent # x\n"
      "shift weigh-in from Gent to Antwerpen share 1/3 cap 20/s from 2026-12-06T20:00+01:00 until 2026-12-07T06:00+01:00 # x\n";

} // namespace

TEST_CASE("steering_table: a shift moves its share once ramped, nothing before its start or after its end", "[steering]")
{
    table_fixture fixture;
    CHECK(fixture.shares(fixture.make(shiftRules, start - 1)).count("Antwerpen") == 0);
    const auto ramping = fixture.shares(fixture.make(shiftRules, start + 15'000));
    CHECK(ramping.at("Antwerpen") == Approx(1.0 / 6).margin(0.03));
    const auto full = fixture.shares(fixture.make(shiftRules, start + minute));
    CHECK(full.at("Antwerpen") == Approx(1.0 / 3).margin(0.03));
    CHECK(full.at("Gent") == Approx(2.0 / 3).margin(0.03));
    CHECK(fixture.shares(fixture.make(shiftRules, start + 10 * 60 * minute)).count("Antwerpen") == 0);
}

TEST_CASE("steering_table: blocks that a ramp has moved stay moved", "[steering]")
{
    table_fixture fixture;
    const auto early = fixture.make(shiftRules, start + 10'000);
    const auto late = fixture.make(shiftRules, start + 25'000);
    for (ipv4 i = 0; i < 4096; ++i) {
        const ipv4 client = (10U << 24U) | (i << 8U);
        if (early.choose(0, client).shifted()) {
            REQUIRE(late.choose(0, client).shifted());
        }
    }
}

TEST_CASE("steering_table: a planned drain leaves look-ups one lifetime early", "[steering]")
{
    table_fixture fixture;
    constexpr std::string_view rules = "version 1\nclients 10.0.0.0/8 home Gent # x\ndrain region Gent from 2026-12-06T20:00+01:00 # x\n";
    CHECK(fixture.shares(fixture.make(rules, start - 1001)).at("Gent") == Approx(1));
    const auto drained = fixture.make(rules, start - 1000);
    CHECK(fixture.shares(drained).count("Gent") == 0);
    const auto choice = drained.choose(0, 10U << 24U);
    CHECK(choice.reason == steering_reason::homeDrained);
    for (std::uint8_t i = 0; i < choice.entryCount; ++i) {
        CHECK(drained.entry(choice.entries[i]).region != region_name("Gent"));
    }
}

TEST_CASE("steering_table: a shift into a drained region does not happen", "[steering]")
{
    table_fixture fixture;
    const std::string rules = std::string(shiftRules) + "drain region Antwerpen # x\n";
    CHECK(fixture.shares(fixture.make(rules, start + minute)).at("Gent") == Approx(1));
}

TEST_CASE("steering_table: a home without hosts sends its clients on, and every look-up names a host", "[steering]")
{
    table_fixture fixture;
    std::erase_if(fixture.members, [](const fleet_member &member) { return member.region == region_name("Gent"); });
    const auto table = fixture.make(shiftRules, start + minute);
    const auto choice = table.choose(0, 10U << 24U);
    CHECK(choice.entryCount > 0);
    CHECK(table.region(choice.destination) != region_name("Gent"));
}

TEST_CASE("steering_table: two hosts with the same inputs agree on every block", "[steering]")
{
    table_fixture one;
    table_fixture other;
    std::ranges::reverse(other.members);
    const auto a = one.make(shiftRules, start + minute);
    const auto b = other.make(shiftRules, start + minute);
    for (ipv4 i = 0; i < 4096; ++i) {
        const ipv4 client = (10U << 24U) | (i << 8U);
        REQUIRE(a.choose(0, client).destination == b.choose(0, client).destination);
    }
}
