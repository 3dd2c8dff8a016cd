#include "headroom_model.h"

#include "rules/rule_parser.h"
#include "steering/steering_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <string>

namespace hornbeampick::bench
{

namespace
{

constexpr milliseconds stepTime {100};
constexpr int steps = 1200;
constexpr int crowdAt = 100;
constexpr int judgedFrom = crowdAt + 100;
constexpr int swingFrom = steps - 500;
// Client blocks of each home, all with the same demand.
constexpr unsigned blocksAHome = 200;
const service_name service("slots");

std::string regionName(std::size_t index)
{
    return "r" + std::to_string(index);
}

ipv4 blockOf(std::size_t home, unsigned block)
{
    return static_cast<ipv4>((10U << 24U) + (home << 16U) + (block << 8U) + 1);
}

// One region set, its callers' kept look-ups and the loads on their way.
class headroom_play
{
public:
    explicit headroom_play(const headroom_case &given)
        : m_given(given)
        , m_balance(given.options)
        , m_kept(given.slots.size(), std::vector<std::size_t>(blocksAHome))
    {
        std::string rules = "version 1\n";
        for (std::size_t region = 0; region < given.slots.size(); ++region) {
            const std::string name = regionName(region);
            m_regions.push_back({.name = region_name(name), .domains = {domain_name(name + "-a")}});
            m_members.push_back(
                {.host = host_name("h" + name), .httpAddress = "a:1", .rpcAddress = "a:2", .region = region_name(name), .domain = domain_name(name + "-a")});
            rules += "clients 10." + std::to_string(region) + ".0.0/16 home " + name + "  # network\n";
            std::ranges::fill(m_kept[region], region);
        }
        m_rules = parseRules(rules, "bench").rules;
    }

    headroom_outcome run()
    {
        for (m_step = 0; m_step < steps; ++m_step) {
            const auto offered = offer();
            judge(offered);
            report(offered);
            lookUp();
        }
        m_outcome.refused /= m_demand;
        m_outcome.moved /= m_demand;
        m_outcome.swing = m_largestShare - m_smallestShare;
        return m_outcome;
    }

private:
    [[nodiscard]] double demandOf(std::size_t home) const
    {
        return m_step < crowdAt ? m_given.before[home] : m_given.after[home];
    }

    // Demand that goes to each region, by the look-ups that callers keep.
    std::vector<double> offer()
    {
        std::vector<double> offered(m_regions.size());
        for (std::size_t home = 0; home < m_regions.size(); ++home) {
            const double each = demandOf(home) / blocksAHome;
            for (const auto destination : m_kept[home]) {
                offered[destination] += each;
                m_outcome.moved += m_step >= judgedFrom && destination != home ? each : 0;
            }
            m_demand += m_step >= judgedFrom ? demandOf(home) : 0;
        }
        return offered;
    }

    void judge(const std::vector<double> &offered)
    {
        if (m_step < judgedFrom) {
            return;
        }
        for (std::size_t region = 0; region < offered.size(); ++region) {
            const double slots = m_given.slots[region];
            m_outcome.refused += std::max(0.0, offered[region] - slots);
            m_outcome.lowestHeadroom = std::min(m_outcome.lowestHeadroom, std::max(0.0, 1 - offered[region] / slots));
        }
        if (m_step >= swingFrom) {
            const auto away = static_cast<double>(std::ranges::count_if(m_kept[0], [](std::size_t destination) { return destination != 0; })) / blocksAHome;
            m_largestShare = std::max(m_largestShare, away);
            m_smallestShare = std::min(m_smallestShare, away);
        }
    }

    void report(const std::vector<double> &offered)
    {
        std::vector<region_load> loads;
        for (std::size_t region = 0; region < offered.size(); ++region) {
            const auto busy = static_cast<std::uint32_t>(std::lround(std::min<double>(offered[region], m_given.slots[region])));
            loads.push_back({.region = m_regions[region].name, .slots = m_given.slots[region], .inFlight = busy});
        }
        m_reports.push_back(std::move(loads));
        if (m_reports.size() > static_cast<std::size_t>(m_given.late / stepTime) + 1) {
            m_reports.pop_front();
        }
    }

    // A tenth of the blocks at a time, so that each is kept for the time of a look-up.
    void lookUp()
    {
        const steady_time now(stepTime * (m_step + 1));
        const std::vector<std::vector<region_load>> loads {m_reports.front()};
        std::vector<std::vector<headroom_move>> moves(1);
        for (const auto &region : m_regions) {
            if (m_given.balances) {
                moves[0].push_back(m_balance.update(service, region.name, m_reports.front(), now));
            }
        }
        const std::vector<service_name> services {service};
        const steering_table table({.rules = m_rules,
                                    .regions = m_regions,
                                    .services = services,
                                    .members = m_members,
                                    .loads = loads,
                                    .moves = moves,
                                    .localRegion = m_regions.front().name});
        const auto turns = static_cast<unsigned>(m_given.lookupTtl / stepTime);
        for (std::size_t home = 0; home < m_regions.size(); ++home) {
            for (unsigned block = static_cast<unsigned>(m_step) % turns; block < blocksAHome; block += turns) {
                m_kept[home][block] = table.choose(0, blockOf(home, block)).destination;
            }
        }
    }

    headroom_case m_given;
    headroom_balance m_balance;
    std::vector<std::vector<std::size_t>> m_kept;
    std::vector<region_domains> m_regions;
    std::vector<fleet_member> m_members;
    std::shared_ptr<const rule_set> m_rules;
    std::deque<std::vector<region_load>> m_reports;
    headroom_outcome m_outcome;
    int m_step = 0;
    double m_demand = 0;
    double m_largestShare = 0;
    double m_smallestShare = 1;
};

void print(const char *name, const char *policy, const headroom_outcome &got)
{
    std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f |\n", name, policy, got.lowestHeadroom, got.refused, got.moved, got.swing);
}

} // namespace

headroom_outcome play(const headroom_case &given)
{
    return headroom_play(given).run();
}

void headroomTables()
{
    // Derwent: 18 slot-check upstreams of four slots over three regions.
    const std::vector<unsigned> slots {24, 24, 24};
    struct crowd {
        const char *name;
        std::vector<double> after;
        milliseconds late;
    };
    const std::vector<crowd> crowds {
        {.name = "quiet", .after = {12, 12, 12}, .late = milliseconds(500)},
        {.name = "a crowd of 0.9 in one region", .after = {21.6, 9.6, 9.6}, .late = milliseconds(500)},
        {.name = "a crowd of 1.2 in one region", .after = {28.8, 9.6, 9.6}, .late = milliseconds(500)},
        {.name = "a crowd of 1.6 in one region", .after = {38.4, 9.6, 9.6}, .late = milliseconds(500)},
        {.name = "a crowd of 1.2, loads 2 s late", .after = {28.8, 9.6, 9.6}, .late = milliseconds(2000)},
        {.name = "all regions at 0.95", .after = {22.8, 22.8, 22.8}, .late = milliseconds(500)},
        {.name = "two regions at 1.1", .after = {26.4, 26.4, 9.6}, .late = milliseconds(500)},
    };
    std::printf("\n| case | policy | lowest headroom | refused | moved | swing |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const auto &each : crowds) {
        headroom_case given {.balances = false, .options = {}, .slots = slots, .before = {12, 12, 12}, .after = each.after, .late = each.late};
        print(each.name, "home only", play(given));
        given.balances = true;
        print(each.name, "headroom first", play(given));
        given.options.timeConstant = milliseconds(1);
        print(each.name, "without settling", play(given));
    }
}

} // namespace hornbeampick::bench
