#include "core/random_source.h"
#include "fakes/manual_clock.h"
#include "fleet/exchange_planner.h"
#include "fleet/member_table.h"
#include "fleet/spread_tree.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

fleet_member memberOf(int number, int domains, std::uint64_t incarnation = 1)
{
    const int domain = number % domains;
    return {
        .host = host_name("h" + std::to_string(number)),
        .httpAddress = "http:" + std::to_string(number),
        .rpcAddress = "rpc:" + std::to_string(number),
        .region = region_name("r" + std::to_string(domain / 3)),
        .domain = domain_name("d" + std::to_string(domain)),
        .incarnation = incarnation,
    };
}

// Simulates daemons that exchange their tables by direct calls. `reachable` decides which pairs are connected.
class simulated_fleet
{
public:
    simulated_fleet(int size, int domains)
        : m_random(7)
        , m_domains(domains)
    {
        for (int i = 0; i < size; ++i) {
            tables.push_back(std::make_unique<member_table>(memberOf(i, domains), member_table_options {}));
            m_planners.emplace_back(host_name("h" + std::to_string(i)), std::vector<std::string> {"rpc:0"}, exchange_planner_options {});
        }
    }

    void restart(std::size_t host, std::uint64_t incarnation)
    {
        tables[host] = std::make_unique<member_table>(memberOf(static_cast<int>(host), m_domains, incarnation), member_table_options {});
    }

    void round()
    {
        clock.advance(milliseconds(250));
        for (std::size_t from = 0; from < tables.size(); ++from) {
            if (!tables[from]) {
                continue;
            }
            tables[from]->tick(clock.now());
            for (const auto &target : m_planners[from].nextTargets(tables[from]->members(), {}, m_random)) {
                const auto to = std::stoul(target.address.substr(target.address.find(':') + 1));
                exchange(from, to, target.host);
            }
        }
    }

    void rounds(int count)
    {
        for (int i = 0; i < count; ++i) {
            round();
        }
    }

    [[nodiscard]] bool hasConverged() const
    {
        std::set<std::uint64_t> digests;
        for (const auto &table : tables) {
            if (table) {
                digests.insert(table->tableDigest());
            }
        }
        return digests.size() == 1;
    }

    manual_clock clock;
    std::vector<std::unique_ptr<member_table>> tables;
    std::function<bool(std::size_t, std::size_t)> reachable = [](std::size_t, std::size_t) { return true; };

private:
    void exchange(std::size_t from, std::size_t to, const host_name &name)
    {
        if (!tables[to] || !reachable(from, to)) {
            tables[from]->onExchangeFailed(name, clock.now());
            return;
        }
        const auto now = clock.now();
        const bool differ = tables[from]->tableDigest() != tables[to]->tableDigest();
        for (const auto &member : tables[from]->recentChanges(now)) {
            tables[to]->merge(member, now);
        }
        tables[to]->merge(tables[from]->self(), now);
        tables[to]->onExchangeSucceeded(tables[from]->self().host, now);
        for (const auto &member : differ ? tables[to]->members() : member_list(tables[to]->recentChanges(now))) {
            tables[from]->merge(member, now);
        }
        tables[from]->merge(tables[to]->self(), now);
        tables[from]->onExchangeSucceeded(tables[to]->self().host, now);
    }

    seeded_random_source m_random;
    int m_domains;
    std::vector<exchange_planner> m_planners;
};

member_state stateOf(const member_table &table, int host)
{
    return table.find(host_name("h" + std::to_string(host)))->state;
}

} // namespace

TEST_CASE("fleet: daemons that know one seed find each other", "[fleet]")
{
    simulated_fleet fleet(60, 6);
    fleet.rounds(40);
    CHECK(fleet.hasConverged());
    CHECK(fleet.tables[59]->members().size() == 60);
}

TEST_CASE("fleet: a dead daemon is suspected first, then dead everywhere; its successor is alive", "[fleet]")
{
    simulated_fleet fleet(12, 6);
    fleet.rounds(40);
    fleet.tables[5].reset();
    bool suspected = false;
    for (int i = 0; i < 60; ++i) {
        fleet.round();
        suspected = suspected || stateOf(*fleet.tables[0], 5) == member_state::suspect;
    }
    CHECK(suspected);
    for (std::size_t i = 0; i < fleet.tables.size(); ++i) {
        if (fleet.tables[i]) {
            CHECK(stateOf(*fleet.tables[i], 5) == member_state::dead);
        }
    }
    fleet.restart(5, 2);
    fleet.rounds(60);
    CHECK(fleet.hasConverged());
    CHECK(stateOf(*fleet.tables[0], 5) == member_state::alive);
}

TEST_CASE("fleet: a slow daemon refutes the suspicion and stays", "[fleet]")
{
    simulated_fleet fleet(7, 6);
    fleet.rounds(40);
    // Unreachable for 1.5 s: less than it takes to be declared dead.
    fleet.reachable = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    fleet.rounds(6);
    fleet.reachable = [](std::size_t, std::size_t) { return true; };
    fleet.rounds(40);
    CHECK(stateOf(*fleet.tables[0], 3) == member_state::alive);
    CHECK(fleet.tables[3]->self().sequence > 0);
}

TEST_CASE("fleet: the two sides of a long cut find each other again, with nobody left dead", "[fleet]")
{
    simulated_fleet fleet(12, 6);
    fleet.rounds(40);
    fleet.reachable = [](std::size_t from, std::size_t to) { return (from < 6) == (to < 6); };
    fleet.rounds(200);
    CHECK(stateOf(*fleet.tables[0], 11) == member_state::dead);
    CHECK(stateOf(*fleet.tables[11], 0) == member_state::dead);
    fleet.reachable = [](std::size_t, std::size_t) { return true; };
    fleet.rounds(80);
    for (const auto &table : fleet.tables) {
        for (const auto &member : table->members()) {
            REQUIRE(member.state == member_state::alive);
        }
    }
}

TEST_CASE("spread_tree: every serving daemon is told exactly once, from any root", "[fleet]")
{
    std::vector<fleet_member> members;
    for (int i = 0; i < 350; ++i) {
        members.push_back(memberOf(i, 30));
    }
    members[17].state = member_state::dead;
    for (const auto &root : {members[0].host, members[203].host}) {
        std::set<host_name> notified {root};
        std::vector<host_name> frontier {root};
        std::size_t depth = 0;
        std::size_t maxChildren = 0;
        while (!frontier.empty()) {
            std::vector<host_name> next;
            for (const auto &sender : frontier) {
                const auto children = spreadChildren(members, sender, root, 4);
                maxChildren = std::max(maxChildren, children.size());
                for (const auto &child : children) {
                    REQUIRE(notified.insert(child.host).second);
                    next.push_back(child.host);
                }
            }
            frontier = std::move(next);
            ++depth;
        }
        CHECK(notified.size() == members.size() - 1);
        CHECK(depth <= 6);
        CHECK(maxChildren <= 16);
    }
}
