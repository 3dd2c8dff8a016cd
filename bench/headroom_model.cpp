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
constexpr int flashCrowdStep = 100;
constexpr int evaluationStep = flashCrowdStep + 100;
constexpr int swingEvaluationStep = steps - 500;
// Client blocks of each home region, all with the same demand.
constexpr unsigned blocksPerHome = 200;
const service_name service("slots");

std::string regionName(std::size_t index)
{
    return "r" + std::to_string(index);
}

ipv4 blockOf(std::size_t home, unsigned block)
{
    return static_cast<ipv4>((10U << 24U) + (home << 16U) + (block << 8U) + 1);
}

// State of one simulation: the regions, the look-ups that callers have cached, and the load reports in transit.
class headroom_simulation
{
public:
    explicit headroom_simulation(const headroom_scenario &scenario)
        : m_scenario(scenario)
        , m_balance(scenario.options)
        , m_cachedDestinations(scenario.slots.size(), std::vector<std::size_t>(blocksPerHome))
    {
        std::string rules = "version 1\n";
        for (std::size_t region = 0; region < scenario.slots.size(); ++region) {
            const std::string name = regionName(region);
            m_regions.push_back({.name = region_name(name), .domains = {domain_name(name + "-a")}});
            m_members.push_back(
                {.host = host_name("h" + name), .httpAddress = "a:1", .rpcAddress = "a:2", .region = region_name(name), .domain = domain_name(name + "-a")});
            rules += "clients 10." + std::to_string(region) + ".0.0/16 home " + name + "  # network\n";
            std::ranges::fill(m_cachedDestinations[region], region);
        }
        m_rules = parseRules(rules, "bench").rules;
    }

    headroom_result run()
    {
        for (m_step = 0; m_step < steps; ++m_step) {
            const auto offered = offeredLoads();
            evaluate(offered);
            recordLoads(offered);
            renewLookUps();
        }
        m_result.refused /= m_demand;
        m_result.moved /= m_demand;
        m_result.swing = m_largestShare - m_smallestShare;
        return m_result;
    }

private:
    [[nodiscard]] double demandOf(std::size_t home) const
    {
        return m_step < flashCrowdStep ? m_scenario.before[home] : m_scenario.after[home];
    }

    // Returns the demand that goes to each region according to the cached look-ups.
    std::vector<double> offeredLoads()
    {
        std::vector<double> offered(m_regions.size());
        for (std::size_t home = 0; home < m_regions.size(); ++home) {
            const double each = demandOf(home) / blocksPerHome;
            for (const auto destination : m_cachedDestinations[home]) {
                offered[destination] += each;
                m_result.moved += m_step >= evaluationStep && destination != home ? each : 0;
            }
            m_demand += m_step >= evaluationStep ? demandOf(home) : 0;
        }
        return offered;
    }

    void evaluate(const std::vector<double> &offered)
    {
        if (m_step < evaluationStep) {
            return;
        }
        for (std::size_t region = 0; region < offered.size(); ++region) {
            const double slots = m_scenario.slots[region];
            m_result.refused += std::max(0.0, offered[region] - slots);
            m_result.minHeadroom = std::min(m_result.minHeadroom, std::max(0.0, 1 - offered[region] / slots));
        }
        if (m_step >= swingEvaluationStep) {
            const auto away
                = static_cast<double>(std::ranges::count_if(m_cachedDestinations[0], [](std::size_t destination) { return destination != 0; })) / blocksPerHome;
            m_largestShare = std::max(m_largestShare, away);
            m_smallestShare = std::min(m_smallestShare, away);
        }
    }

    void recordLoads(const std::vector<double> &offered)
    {
        std::vector<region_load> loads;
        for (std::size_t region = 0; region < offered.size(); ++region) {
            const auto busy = static_cast<std::uint32_t>(std::lround(std::min<double>(offered[region], m_scenario.slots[region])));
            loads.push_back({.region = m_regions[region].name, .slots = m_scenario.slots[region], .inFlight = busy});
        }
        m_reports.push_back(std::move(loads));
        if (m_reports.size() > static_cast<std::size_t>(m_scenario.reportDelay / stepTime) + 1) {
            m_reports.pop_front();
        }
    }

    // Renews a tenth of the look-ups in each step, at the default lifetime, so that each one is cached for its lifetime.
    void renewLookUps()
    {
        const steady_time now(stepTime * (m_step + 1));
        const std::vector<std::vector<region_load>> loads {m_reports.front()};
        std::vector<std::vector<headroom_transfer>> moves(1);
        for (const auto &region : m_regions) {
            if (m_scenario.balancingEnabled) {
                moves[0].push_back(m_balance.update(service, region.name, m_reports.front(), now));
            }
        }
        const std::vector<service_name> services {service};
        const steering_table table({.rules = m_rules,
                                    .regions = m_regions,
                                    .services = services,
                                    .members = m_members,
                                    .loads = loads,
                                    .transfers = moves,
                                    .localRegion = m_regions.front().name});
        const auto stepsPerLifetime = static_cast<unsigned>(m_scenario.lookupTtl / stepTime);
        for (std::size_t home = 0; home < m_regions.size(); ++home) {
            for (unsigned block = static_cast<unsigned>(m_step) % stepsPerLifetime; block < blocksPerHome; block += stepsPerLifetime) {
                m_cachedDestinations[home][block] = table.choose(0, blockOf(home, block)).destination;
            }
        }
    }

    headroom_scenario m_scenario;
    headroom_balance m_balance;
    std::vector<std::vector<std::size_t>> m_cachedDestinations;
    std::vector<region_domains> m_regions;
    std::vector<fleet_member> m_members;
    std::shared_ptr<const rule_set> m_rules;
    std::deque<std::vector<region_load>> m_reports;
    headroom_result m_result;
    int m_step = 0;
    double m_demand = 0;
    double m_largestShare = 0;
    double m_smallestShare = 1;
};

void printRow(const char *name, const char *policy, const headroom_result &result)
{
    std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f |\n", name, policy, result.minHeadroom, result.refused, result.moved, result.swing);
}

} // namespace

headroom_result simulate(const headroom_scenario &scenario)
{
    return headroom_simulation(scenario).run();
}

void printHeadroomTables()
{
    // Deployment of Derwent: 18 slot-check upstreams with four slots each in three regions.
    const std::vector<unsigned> slots {24, 24, 24};
    struct flash_crowd {
        const char *name;
        std::vector<double> after;
        milliseconds reportDelay;
    };
    const std::vector<flash_crowd> flashCrowds {
        {.name = "quiet", .after = {12, 12, 12}, .reportDelay = milliseconds(500)},
        {.name = "a crowd of 0.9 in one region", .after = {21.6, 9.6, 9.6}, .reportDelay = milliseconds(500)},
        {.name = "a crowd of 1.2 in one region", .after = {28.8, 9.6, 9.6}, .reportDelay = milliseconds(500)},
        {.name = "a crowd of 1.6 in one region", .after = {38.4, 9.6, 9.6}, .reportDelay = milliseconds(500)},
        {.name = "a crowd of 1.2, loads 2 s late", .after = {28.8, 9.6, 9.6}, .reportDelay = milliseconds(2000)},
        {.name = "all regions at 0.95", .after = {22.8, 22.8, 22.8}, .reportDelay = milliseconds(500)},
        {.name = "two regions at 1.1", .after = {26.4, 26.4, 9.6}, .reportDelay = milliseconds(500)},
    };
    std::printf("\n| case | policy | lowest headroom | refused | moved | swing |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const auto &each : flashCrowds) {
        headroom_scenario scenario {
            .balancingEnabled = false, .options = {}, .slots = slots, .before = {12, 12, 12}, .after = each.after, .reportDelay = each.reportDelay};
        printRow(each.name, "home only", simulate(scenario));
        scenario.balancingEnabled = true;
        printRow(each.name, "headroom first", simulate(scenario));
        scenario.options.timeConstant = milliseconds(1);
        printRow(each.name, "without settling", simulate(scenario));
    }
}

} // namespace hornbeampick::bench
