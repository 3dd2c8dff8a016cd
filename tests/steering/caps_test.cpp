#include "core/random_source.h"
#include "fakes/manual_clock.h"
#include "rules/rule_parser.h"
#include "steering/cap_table.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

topology twoRegions()
{
    return topology({
        {.name = region_name("Antwerpen"), .domains = {domain_name("antwerpen-a"), domain_name("antwerpen-b")}},
        {.name = region_name("Gent"), .domains = {domain_name("gent-a"), domain_name("gent-b")}},
    });
}

std::shared_ptr<const rule_set> rulesOf(std::string_view text)
{
    return parseRules(text, "test").rules;
}

// Simulates the hosts of one region, which join and leave at random, and checks the sum of what they take against the cap.
class simulated_hosts
{
public:
    simulated_hosts(std::uint64_t seed, std::uint32_t cap)
        : m_random(seed)
        , m_fleet(twoRegions())
        , m_cap(cap)
    {
        const auto rules = rulesOf("version 1\nregion Gent capacity weigh-in " + std::to_string(cap) + "/s # x\n");
        for (int i = 0; i < hosts; ++i) {
            const domain_name domain(i < hosts / 2 ? "gent-a" : "gent-b");
            m_tables.push_back(
                std::make_unique<cap_table>(m_fleet, location {.host = host_name(std::to_string(i)), .region = region_name("Gent"), .domain = domain}));
            m_tables.back()->setRules(rules);
            m_present.push_back(true);
        }
        updatePartitions();
        // The first division takes effect after the settling time.
        m_clock.advance(settlingTime);
    }

    void step()
    {
        m_clock.advance(milliseconds(m_random.below(40)));
        if (m_random.below(60) == 0) {
            changeRandomMember();
        }
        const auto host = m_random.below(hosts);
        const cap_key key {.kind = cap_kind::regionCapacity, .service = service_name("weigh-in"), .other = {}};
        for (std::uint64_t i = m_random.below(6); i > 0; --i) {
            if (!m_present[host]) {
                continue;
            }
            const auto reservation = m_tables[host]->reserve(key, 1, m_clock.now());
            if (reservation) {
                m_taken.push_back(m_clock.now());
            }
        }
        check();
    }

private:
    static constexpr int hosts = 6;
    static constexpr milliseconds settlingTime {1000};

    // The other hosts learn of the change at once. The cap holds because a larger quota takes effect only after a delay.
    void changeRandomMember()
    {
        const auto host = m_random.below(hosts);
        const bool joins = !m_present[host];
        m_present[host] = joins;
        if (joins) {
            // A new process has used no units and knows no previous partition.
            const domain_name domain(host < hosts / 2 ? "gent-a" : "gent-b");
            m_tables[host]
                = std::make_unique<cap_table>(m_fleet, location {.host = host_name(std::to_string(host)), .region = region_name("Gent"), .domain = domain});
            m_tables[host]->setRules(rulesOf("version 1\nregion Gent capacity weigh-in " + std::to_string(m_cap) + "/s # x\n"));
        }
        updatePartitions();
    }

    void updatePartitions()
    {
        for (const std::size_t first : {0, hosts / 2}) {
            std::size_t seats = 0;
            for (std::size_t i = first; i < first + hosts / 2; ++i) {
                seats += m_present[i] ? 1 : 0;
            }
            std::size_t position = 0;
            for (std::size_t i = first; i < first + hosts / 2; ++i) {
                if (m_present[i]) {
                    m_tables[i]->setPartition({.index = position++, .count = seats}, m_clock.now(), m_clock.now() + settlingTime + window_limiter::window);
                }
            }
        }
    }

    void check()
    {
        while (!m_taken.empty() && m_taken.front() <= m_clock.now() - window_limiter::window) {
            m_taken.pop_front();
        }
        RC_ASSERT(m_taken.size() <= m_cap);
    }

    manual_clock m_clock;
    seeded_random_source m_random;
    topology m_fleet;
    std::uint32_t m_cap;
    std::vector<std::unique_ptr<cap_table>> m_tables;
    std::vector<bool> m_present;
    std::deque<steady_time> m_taken;
};

} // namespace

TEST_CASE("cap_table: all hosts together stay under the cap in any second, while hosts join and leave", "[steering][property]")
{
    CHECK(rc::check("sum over hosts", [](std::uint64_t seed) {
        simulated_hosts fleet(seed, 1 + static_cast<std::uint32_t>(seed % 90));
        for (int i = 0; i < 400; ++i) {
            fleet.step();
        }
    }));
}

TEST_CASE("cap_table: what a domain could spend is there once the split has settled", "[steering]")
{
    const auto fleet = twoRegions();
    manual_clock clock;
    std::uint64_t total = 0;
    for (const auto *domain : {"gent-a", "gent-b"}) {
        cap_table table(fleet, {.host = host_name(domain), .region = region_name("Gent"), .domain = domain_name(domain)});
        table.setRules(rulesOf("version 1\nregion Gent capacity weigh-in 61/s # x\n"));
        table.setPartition({.index = 0, .count = 1}, clock.now(), clock.now());
        const cap_key key {.kind = cap_kind::regionCapacity, .service = service_name("weigh-in"), .other = {}};
        while (table.reserve(key, 1, clock.now())) {
            ++total;
        }
    }
    CHECK(total == 61);
}

TEST_CASE("cap_table: answers over a link count and wait their turn", "[steering]")
{
    const auto fleet = twoRegions();
    manual_clock clock;
    cap_table table(fleet, {.host = host_name("g"), .region = region_name("Gent"), .domain = domain_name("gent-a")});
    table.setRules(rulesOf("version 1\nlink Gent Antwerpen cap 16kbit/s # x\n"));
    table.setPartition({.index = 0, .count = 1}, clock.now(), clock.now());
    // 16 kbit/s are 2000 bytes per second, half of which belong to this domain.
    CHECK(table.chargeBytes(region_name("Antwerpen"), 900, clock.now()) == milliseconds(0));
    const auto wait = table.chargeBytes(region_name("Antwerpen"), 900, clock.now());
    CHECK(wait >= milliseconds(950));
    CHECK(!table.reserve({.kind = cap_kind::link, .service = {}, .other = region_name("Antwerpen")}, 200, clock.now()));
    CHECK(table.chargeBytes(region_name("Luik"), 1'000'000, clock.now()) == milliseconds(0));
}
