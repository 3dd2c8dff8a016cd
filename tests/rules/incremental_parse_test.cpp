#include "rules/rule_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeampick;

namespace
{

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

// Returns a random rule line. Names and blocks come from small sets, so that duplicates occur now and then.
std::string randomRuleLine()
{
    const auto number = [](int below) { return std::to_string(*rc::gen::inRange(0, below)); };
    const std::string region = "r" + number(4);
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return "region " + region + " capacity s" + number(40) + " 5/s # ann";
    case 1:
        return "link a" + number(40) + " b" + number(2) + " cap 1Mbit/s # ann";
    case 2:
        return "drain host h" + number(9) + " # ann";
    case 3:
        return "rest service s in " + region + " # ann";
    case 4:
        return "# note " + number(5);
    case 5:
        return "clients 10." + number(4) + ".0.0/16 home " + region + " # ann";
    case 6:
        return "shift s from " + region + " to q share 1/" + std::to_string(*rc::gen::inRange(4, 9)) + " from 2026-12-06T20:00Z # ann";
    default:
        return "clients 10." + number(4) + "." + number(256) + ".0/24 home " + region + " # ann";
    }
}

// Checks that two rule sets agree in everything that steering decisions depend on.
void assertEquivalent(const rule_set &a, const rule_set &b)
{
    RC_ASSERT(a.version == b.version);
    const auto sameOrigins = [](const auto &left, const auto &right) {
        return std::ranges::equal(
            left, right, {}, [](const auto &rule) { return rule.origin.line; }, [](const auto &rule) { return rule.origin.line; });
    };
    RC_ASSERT(sameOrigins(a.capacities, b.capacities));
    RC_ASSERT(sameOrigins(a.links, b.links));
    RC_ASSERT(sameOrigins(a.shifts, b.shifts));
    RC_ASSERT(sameOrigins(a.drains, b.drains));
    RC_ASSERT(sameOrigins(a.rests, b.rests));
    RC_ASSERT(sameOrigins(a.homeReferences, b.homeReferences));
    RC_ASSERT(a.homes.blockCount() == b.homes.blockCount());
    for (ipv4 third = 0; third < 4 * 256; ++third) {
        const ipv4 client = (10U << 24U) + (third << 8U) + 7;
        RC_ASSERT(a.homeOf(client) == b.homeOf(client));
    }
}

} // namespace

TEST_CASE("rules: a file read on top of an earlier one is what it is by itself, its errors too", "[rules][property]")
{
    std::size_t accepted = 0;
    std::size_t refused = 0;
    CHECK(rc::check("incremental against whole", [&] {
        std::vector<std::string> lines {"version 1"};
        std::shared_ptr<const rule_set> before;
        rule_document text;
        for (int step = 0; step < 12; ++step) {
            std::vector<std::string> updated = lines;
            updated[0] = "version " + std::to_string(step + 1);
            const auto removals = *rc::gen::inRange<std::size_t>(0, 6);
            for (std::size_t i = 0; i < removals && updated.size() > 1; ++i) {
                updated.erase(updated.begin() + *rc::gen::inRange<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(updated.size())));
            }
            const auto additions = *rc::gen::inRange(0, step == 0 ? 300 : 6);
            for (int i = 0; i < additions; ++i) {
                updated.insert(updated.begin() + *rc::gen::inRange<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(updated.size()) + 1), randomRuleLine());
            }
            const rule_document document(joined(updated));
            const auto patched = text.patched(makePatch(text, document));
            RC_ASSERT(patched.has_value());
            const auto expected = parseRules(joined(updated), "f");
            const auto incremental = parseRules(*patched, "f", before.get());
            RC_ASSERT(incremental.errors.empty() == expected.errors.empty());
            if (!expected.rules) {
                ++refused;
                // The incremental parse may report the other one of two duplicate blocks, but must report one.
                RC_ASSERT(incremental.rules == nullptr);
                // Removes the reported lines, as an operator would.
                for (auto error = expected.errors.rbegin(); error != expected.errors.rend(); ++error) {
                    updated.erase(updated.begin() + error->line - 1);
                }
                const auto corrected = parseRules(joined(updated), "f");
                if (!corrected.rules) {
                    continue;
                }
                text = rule_document(joined(updated));
                before = parseRules(text, "f", before.get()).rules;
                RC_ASSERT(before != nullptr);
                assertEquivalent(*before, *corrected.rules);
            } else {
                ++accepted;
                assertEquivalent(*incremental.rules, *expected.rules);
                text = *patched;
                before = incremental.rules;
            }
            lines = std::move(updated);
        }
    }));
    CHECK(accepted > 100);
    CHECK(refused > 100);
}

TEST_CASE("block_table: a changed table is what it is made anew, and shares the pages away from the change", "[rules][property]")
{
    CHECK(rc::check("changed against made", [] {
        std::map<client_block, region_index> blocks;
        const auto draw = [] {
            const unsigned prefix = *rc::gen::element(0U, 6U, 8U, 12U, 16U, 20U, 24U, 24U, 24U, 32U);
            const ipv4 mask = prefix == 0 ? 0 : ~ipv4 {0} << (32 - prefix);
            const auto address = static_cast<ipv4>(*rc::gen::inRange(0, 1 << 13)) * 0x00010203U;
            return client_block {.address = address & mask, .prefixBits = prefix};
        };
        block_table table;
        for (int step = 0; step < 5; ++step) {
            std::vector<client_block> removed;
            std::vector<block_home> added;
            for (const auto &[block, home] : blocks) {
                if (*rc::gen::inRange(0, 20) == 0) {
                    removed.push_back(block);
                }
            }
            const int additions = *rc::gen::inRange(0, step == 0 ? 3000 : 40);
            for (int i = 0; i < additions; ++i) {
                added.push_back({.block = draw(), .home = static_cast<region_index>(*rc::gen::inRange(0, 5))});
            }
            for (const auto &block : removed) {
                blocks.erase(block);
            }
            for (const auto &[block, home] : added) {
                blocks[block] = home;
            }
            table = table.withChanges(removed, added);
            std::vector<block_home> list;
            for (const auto &[block, home] : blocks) {
                list.push_back({.block = block, .home = home});
            }
            const auto rebuilt = block_table::make(list);
            RC_ASSERT(table.blockCount() == list.size());
            for (const auto &[block, home] : blocks) {
                const ipv4 last = block.address | (block.prefixBits == 0 ? ~ipv4 {0} : (ipv4 {1} << (32 - block.prefixBits)) - 1);
                for (const ipv4 client : {block.address, block.address - 1, last, last + 1}) {
                    RC_ASSERT(table.homeOf(client) == rebuilt.homeOf(client));
                }
            }
        }
    }));
    std::vector<block_home> many;
    for (ipv4 i = 0; i < 100'000; ++i) {
        many.push_back({.block = {.address = i << 9U, .prefixBits = 24}, .home = static_cast<region_index>(i % 7)});
    }
    const auto table = block_table::make(many);
    const std::vector<block_home> one {{.block = {.address = 5000U << 9U, .prefixBits = 24}, .home = 9}};
    CHECK(table.withChanges({}, one).unsharedPages(table) == 1);
}
