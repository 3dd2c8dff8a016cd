#include "control_cost.h"

#include "codec/peer_codec.h"
#include "fleet/member_table.h"
#include "fleet/spread_tree.h"
#include "replica/rule_ledger.h"
#include "replica/rule_update.h"
#include "rules/rule_parser.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <vector>

namespace hornbeampick::bench
{

namespace
{

constexpr double kilo = 1e3;
constexpr double mega = 1e6;

fleet_member benchMember(std::size_t i)
{
    return {
        .host = host_name("host-" + std::to_string(100000 + i)),
        .httpAddress = "10.100.200.30:7080",
        .rpcAddress = "10.100.200.30:7081",
        .region = region_name("region-" + std::to_string(i % 10)),
        .domain = domain_name("domain-" + std::to_string(i % 30)),
        .incarnation = 1'790'000'000'000 + i,
    };
}

double bytesOf(const exchange_message &message)
{
    return static_cast<double>(encode(message).ByteSizeLong());
}

template <typename Work> double meanMicroseconds(int rounds, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / rounds;
}

template <typename Work> double elapsedMilliseconds(Work work)
{
    return meanMicroseconds(1, work) / kilo;
}

// Returns a rule file with `blocks` client blocks. Their addresses form runs with gaps between them, as those of real networks do.
// The home region of block `changed` depends on the version.
std::string ruleFile(std::uint64_t version, std::size_t blocks, std::size_t changed)
{
    constexpr std::size_t regions = 370;
    std::string text = "version " + std::to_string(version) + "\n";
    for (std::size_t i = 0; i < blocks; ++i) {
        const auto home = (i == changed ? i + version : i) * 7919 % regions;
        text += "clients " + std::to_string(1 + i / 32768) + "." + std::to_string(i / 128 % 256) + "." + std::to_string(i % 128 * 2) + ".0/24 home site-"
            + std::to_string(home) + " # network team\n";
    }
    return text;
}

// Measures one daemon that applies a series of rule changes.
void measureRuleChanges(std::size_t blocks)
{
    constexpr std::size_t rounds = 10;
    rule_ledger ledger;
    patch_window window;
    rule_document text;
    std::shared_ptr<const rule_set> rules;
    const std::string first = ruleFile(1, blocks, 0);
    const double packMs = elapsedMilliseconds([&] { text = rule_document(first); });
    const double parseMs = elapsedMilliseconds([&] { rules = parseRules(text, "bench", nullptr).rules; });
    ledger.apply(
        {.index = 1, .term = 1, .body = rules_change {.version = 1, .body = text, .operatorName = "ann", .submittedAt = 1, .content = text.content()}});

    std::vector<double> inForceMs;
    double diffMs = 0;
    std::size_t entryBytes = 0;
    std::size_t replyBytes = 0;
    for (std::size_t round = 1; round <= rounds; ++round) {
        const std::uint64_t version = round + 1;
        const rule_document next(ruleFile(version, blocks, blocks / rounds * (round - 1)));
        const rules_change whole {.version = version, .body = next, .operatorName = "ann", .submittedAt = 1, .content = next.content()};
        rules_change shortened;
        diffMs += elapsedMilliseconds([&] { shortened = ledger.asPatchIfSmaller(whole); }) / rounds;
        const log_entry entry {.index = version, .term = 1, .body = shortened};
        entryBytes = encode(entry).ByteSizeLong();
        const ledger_state before = ledger.state();
        ledger.apply(entry);
        window.recordChange(before, ledger.state());
        const auto update = window.updateFor({.index = before.appliedIndex, .version = before.version}, ledger.state());
        replyBytes = encode(*update).ByteSizeLong();
        inForceMs.push_back(elapsedMilliseconds([&] {
            const auto reached = resolve(*update, text);
            text = reached->text;
            rules = parseRules(text, "bench", rules.get()).rules;
        }));
    }
    std::ranges::sort(inForceMs);
    std::printf("| %zu | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f | %.1f | %zu | %zu |\n", blocks, static_cast<double>(first.size()) / mega,
                static_cast<double>(text.memoryBytes()) / mega, static_cast<double>(rules->homes.memoryBytes()) / mega, packMs, parseMs, inForceMs[rounds / 2],
                diffMs, entryBytes, replyBytes);
}

} // namespace

void printRuleChangeCost()
{
    std::printf(
        "\n| client blocks | file MB | text in memory MB | block table MB | pack ms | parse ms | one line in force ms | leader's diff ms | log entry bytes "
        "| fetch bytes |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t blocks : {10'000, 100'000, 300'000, 600'000, 1'200'000}) {
        measureRuleChanges(blocks);
    }
}

void printFleetCost()
{
    std::printf("\n| daemons | table KB encoded | message bytes, no change | bytes per changed member | digest us | members copy us | tree us |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t size : {7, 875, 1750, 3500}) {
        const steady_time now(seconds(1000));
        member_table table(benchMember(0), {});
        exchange_message whole;
        for (std::size_t i = 1; i < size; ++i) {
            table.merge(benchMember(i), now);
            whole.members.push_back(benchMember(i));
        }
        exchange_message unchanged;
        unchanged.sender = benchMember(0);
        unchanged.membersDigest = table.tableDigest();
        unchanged.upstreamsDigest = unchanged.membersDigest;
        unchanged.appliedIndex = 100'000;
        for (const auto *service : {"lookup", "weigh-in", "settlement", "release"}) {
            unchanged.loads.push_back({.service = service_name(service), .load = {.slots = 60, .inFlight = 30, .queued = 1}});
        }
        exchange_message changed = unchanged;
        changed.members.push_back(benchMember(1));
        constexpr int rounds = 200;
        const auto members = table.members();
        const double digestTime = meanMicroseconds(rounds, [&] { (void)table.tableDigest(); });
        const double copyTime = meanMicroseconds(rounds, [&] { (void)table.members(); });
        const double treeTime = meanMicroseconds(rounds, [&] { (void)spreadChildren(members, members.front().host, members.front().host, 4); });
        std::printf("| %zu | %.1f | %.0f | %.0f | %.1f | %.1f | %.1f |\n", size, bytesOf(whole) / 1e3, bytesOf(unchanged),
                    bytesOf(changed) - bytesOf(unchanged), digestTime, copyTime, treeTime);
    }
}

} // namespace hornbeampick::bench
