#include "rules/headroom_plan.h"
#include "rules/rule_parser.h"
#include "rules/rule_text.h"
#include "rules/rule_time.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace hornbeampick;

namespace
{

constexpr std::string_view example = R"(version 42
region Gent capacity weigh-in 60/s        # asked by the yard office
link Gent Luik cap 800Mbit/s              # asked by network operations
shift weigh-in from Gent to Antwerpen share 1/3 cap 20/s from 2026-12-06T20:00+01:00 until 2026-12-07T06:00+01:00  # night shift lead
drain region Burnie from 2026-12-06T08:00+11:00 until 2026-12-06T14:00+11:00  # facilities
drain failure-domain luik-b               # network team
rest service dispatch in Burnie           # dispatcher
clients 10.20.0.0/16 home Gent            # network team
)";

rule_error onlyError(std::string_view text)
{
    const auto parsed = parseRules(text, "rules");
    REQUIRE(!parsed.rules);
    REQUIRE(parsed.errors.size() == 1);
    return parsed.errors.front();
}

} // namespace

TEST_CASE("rules: the whole example is read", "[rules]")
{
    const auto parsed = parseRules(example, "rules");
    REQUIRE(parsed.rules);
    const auto &rules = *parsed.rules;
    CHECK(rules.version == 42);
    CHECK(rules.capacityOf(region_name("Gent"), service_name("weigh-in"))->perSecond == 60);
    CHECK(rules.linkBetween(region_name("Luik"), region_name("Gent"))->bitsPerSecond == 800'000'000);
    REQUIRE(rules.shifts.size() == 1);
    CHECK(rules.shifts[0].perSecond == 20U);
    CHECK(rules.shifts[0].origin.requester == "night shift lead");
    CHECK(rules.drains.size() == 2);
    CHECK(rules.homeOf(*parseIpv4("10.20.3.4")) == region_name("Gent"));
    CHECK(!rules.homeOf(*parseIpv4("10.21.3.4")));
}

TEST_CASE("rules: each error names its place and what was expected", "[rules]")
{
    struct invalid_case {
        std::string_view text;
        std::uint32_t line;
        std::uint32_t column;
        std::string_view expected;
    };
    const std::vector<invalid_case> cases {
        {"region Gent", 1, 1, "version"},
        {"version x", 1, 9, "version"},
        {"version 0", 1, 9, "version"},
        {"version 1\nfoo # x", 2, 1, "'region'"},
        {"version 1\nregion Gent capacity weigh-in 60 # x", 2, 31, "60/s"},
        {"version 1\nregion Gent capacity weigh-in 60/s", 2, 35, "comment"},
        {"version 1\nlink Gent Gent cap 1Mbit/s # x", 2, 11, "another region"},
        {"version 1\nlink Gent Luik cap 0Mbit/s # x", 2, 20, "link rate"},
        {"version 1\nshift w from A to B share 4/3 from 2026-12-06T20:00Z # x", 2, 27, "share"},
        {"version 1\nshift w from A to B share 1/3 # x", 2, 34, "'from'"},
        {"version 1\nshift w from A to B share 1/3 from 2026-13-06T20:00Z # x", 2, 36, "time"},
        {"version 1\nshift w from A to B share 1/3 from 2026-12-06T20:00Z until 2026-12-06T19:00Z # x", 2, 60, "end after"},
        {"version 1\ndrain planet Earth # x", 2, 7, "'region'"},
        {"version 1\nclients 10.20.0.1/16 home Gent # x", 2, 9, "client block"},
        {"version 1\nclients 10.20.0.0/16 home Gent # x\nclients 10.20.0.0/16 home Luik # x", 3, 27, "once"},
        {"version 1\nregion G capacity w 1/s # x\nregion G capacity w 2/s # x", 3, 19, "one such rule"},
    };
    for (const auto &each : cases) {
        INFO(each.text);
        const auto error = onlyError(each.text);
        CHECK(error.line == each.line);
        CHECK(error.column == each.column);
        CHECK(error.expected.find(each.expected) != std::string::npos);
    }
}

TEST_CASE("rules: shares that together exceed the whole are refused, unless their times do not meet", "[rules]")
{
    const std::string a = "version 1\nshift w from A to B share 2/3 from 2026-12-06T20:00Z until 2026-12-06T21:00Z # x\n";
    CHECK(!parseRules(a + "shift w from A to C share 1/2 from 2026-12-06T20:30Z # x\n", "r").rules);
    CHECK(parseRules(a + "shift w from A to C share 1/2 from 2026-12-06T21:00Z # x\n", "r").rules);
}

TEST_CASE("rules: names that the settings do not know are refused", "[rules]")
{
    const topology fleet({{.name = region_name("Gent"), .domains = {domain_name("gent-a")}}});
    const std::vector<service_name> services {service_name("weigh-in")};
    const auto parsed = parseRules(example, "rules");
    CHECK(checkNames(*parsed.rules, fleet, services, "rules").size() == 6);
}

TEST_CASE("block_table: agrees with a search through all blocks", "[rules][property]")
{
    CHECK(rc::check("longest match", [](const std::vector<std::pair<std::uint32_t, std::uint8_t>> &drawn, std::uint32_t client) {
        std::map<client_block, region_index> blocks;
        std::vector<block_home> list;
        region_index next = 0;
        for (const auto &[address, prefix] : drawn) {
            const unsigned bits = prefix % 33;
            const ipv4 mask = bits == 0 ? 0 : ~ipv4 {0} << (32 - bits);
            // Half of the blocks contain the client, so that blocks nest.
            const ipv4 base = (address % 2 == 0 ? client : address) & mask;
            blocks[{.address = base, .prefixBits = bits}] = next;
            list.push_back({.block = {.address = base, .prefixBits = bits}, .home = next});
            ++next;
        }
        region_index expected = block_table::noHome;
        unsigned longest = 0;
        for (const auto &[block, home] : blocks) {
            const ipv4 mask = block.prefixBits == 0 ? 0 : ~ipv4 {0} << (32 - block.prefixBits);
            if ((client & mask) == block.address && (expected == block_table::noHome || block.prefixBits >= longest)) {
                expected = home;
                longest = block.prefixBits;
            }
        }
        RC_ASSERT(block_table::make(list).homeOf(client) == expected);
    }));
}

TEST_CASE("rule_text: edits leave other lines alone, and diffs apply", "[rules]")
{
    const std::string text(example);
    const auto changed = withRule(withVersion(text, 43), "drain host gent-a1  # ann");
    CHECK(parseRules(changed, "r").rules->version == 43);
    const auto changes = diffLines(text, changed);
    CHECK(changes.size() == 3);
    CHECK(withoutDrain(changed, drain_target::host, "gent-a1") == withVersion(text, 43));
    CHECK(withoutDrain(changed, drain_target::region, "gent-a1") == changed);
}

TEST_CASE("headroom_plan: a drain gives its demand to the others by their slots", "[rules]")
{
    const auto rules = parseRules("version 1\ndrain region A # x\n", "r").rules;
    const std::vector<region_demand> present {
        {.region = region_name("A"), .busy = 6, .slots = 10},
        {.region = region_name("B"), .busy = 1, .slots = 10},
        {.region = region_name("C"), .busy = 1, .slots = 20},
    };
    const auto planned = planDemand(*rules, service_name("w"), present, 0);
    CHECK(planned[0].busy == Approx(0));
    CHECK(planned[1].busy == Approx(3));
    CHECK(planned[2].busy == Approx(5));
}

TEST_CASE("parseTime: offsets count", "[rules]")
{
    CHECK(parseTime("2026-12-06T20:00+01:00") == parseTime("2026-12-06T19:00Z"));
    CHECK(parseTime("1970-01-01T00:00:01Z") == 1000);
    for (const auto *bad : {"", "2026-12-06", "2026-12-06T24:00Z", "2026-02-30T00:00Z", "2026-12-06T20:00", "2026-12-06T20:00+15:00", "2026-12-06T20:00Zx"}) {
        CHECK(!parseTime(bad));
    }
}
